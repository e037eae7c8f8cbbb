/// The state of one service in this instance: its targets, their load and health, and the calls queued for a slot.
///
/// Not thread-safe. The Balancer holds one lock for each table so that services do not contend for a lock.
#pragma once

#include "config/model.h"
#include "route/balancer.h"
#include "route/caller_share.h"
#include "route/cold_start.h"
#include "route/deadline_history.h"
#include "route/expected_time.h"
#include "route/placement.h"
#include "route/preview.h"
#include "route/region_budget.h"
#include "route/report_trust.h"
#include "route/shortage.h"
#include "route/spillover.h"
#include "route/target_health.h"
#include "route/target_load.h"
#include "route/wait_queue.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// One target as this instance sees it.
struct TargetEntry {
    std::shared_ptr<const TargetAddress> address;      // where to send
    Target                               target;       // as configured
    TargetLoad                           load;         // calls in flight and reports
    TargetHealth                         health;       // ejection and slow start
    Duration                             linkDelay{0}; // round trip
    std::string                          region;       // empty: not known
    bool                                 otherRegion = false;
    bool                                 reportsDrain = false; // set by its last report
    TimePoint                            leavingUntil{};       // extended by each update that reports leaving
    TimePoint                            unresponsiveUntil{};  // penalised until then: a probe got no answer
    ColdState                            cold;                 // it is slow at first, and may be limited
    bool                                 unhealthy = false;    // as reported in its last probe answer
    bool                                 evacuated = false;    // its data centre gets no requests
    bool                                 leaving = false;   // its process has said so; only another process clears it
    TimePoint                            pushBackUntil{};   // it wants nothing from this instance until then
    bool                                 configured = true; // false: removed, kept until its calls have ended
    uint64_t                             lastSequence = 0;  // of the last choice that considered it
};

/// What a removed or replaced process of a target has said, in case its entry returns.
struct FormerTarget {
    int64_t     startedAt = 0;
    std::string address; // "address:port"
    std::string instance;
    bool        leaving = false;
    TimePoint   pushBackUntil{};
    uint64_t    sequence = 0; // of its removal
};

/// Choices around cold targets whose requests are limited, since the last takeColdCounts().
struct ColdCounts {
    uint64_t granted = 0; // tokens taken
    uint64_t gone = 0;    // tokens that were gone when they were to be taken
    uint64_t leftOut = 0; // targets left out for lack of a token
    uint64_t wanted = 0;  // tokens asked for
};

/// The result of a choice.
struct Choice {
    TargetEntry *target = nullptr; // null: see code
    Code         code = Code::Ok;  // Ok without a target: all are full, queue the call
};

class ServiceTable
{
public:
    static constexpr size_t MaxCandidates = 24;     // targets considered in one choice
    static constexpr size_t MaxRecentReporters = 8; // of these, the latest to report
    static constexpr size_t MaxRanks = 16;          // with a history of deadlines

    ServiceTable(const BalancerOptions &options, const BalancerHooks &hooks, std::string_view name, TimePoint now);

    void apply(const Configuration &configuration, const Service &service, TimePoint now);
    void retire(std::vector<ResolvedWait> &resolved); // service removed: refuses queued calls; sent ones end normally
    bool retired() const;
    int  inFlight() const;

    Code   arrive(const AcquireRequest &request, TimePoint now);      // as admit(), or ObjectiveMissed; once a call
    Code   admit(const AcquireRequest &request, TimePoint now) const; // Ok, NoSuchService or DeadlineTooShort
    Code   checkPlacement(const AcquireRequest &request) const;       // Ok, or that it has no target, whatever the load
    bool   holdsBack(const AcquireRequest &request, TimePoint now);   // a queued call goes before it
    Choice choose(const AcquireRequest &request, TimePoint now, Duration waited);
    Choice chooseFree(const AcquireRequest &request, TimePoint now); // for AcquireRequest::onlyFree
    std::vector<TargetCandidate> bestCandidates(const AcquireRequest &request, TimePoint now, size_t limit);
    Permit grant(TargetEntry &target, const AcquireRequest &request, uint32_t caller, TimePoint now, Duration waited);
    bool   permitHolds(const Permit &permit, TimePoint now); // its target may still get the request
    void   finish(const Permit &permit, const PermitReport &report, TimePoint now);
    void   updateLoad(const LoadUpdate &update, TimePoint now);

    Code      wait(const AcquireRequest &request, uint64_t id, GrantHook granted, TimePoint now,
                   std::vector<ResolvedWait> &resolved);
    void      cancel(uint64_t id, std::vector<ResolvedWait> &resolved);
    TimePoint processQueue(TimePoint now, std::vector<ResolvedWait> &resolved); // returns when to call it next

    Duration         pushBackLeft(TimePoint now) const; // until the first target that pushes back takes requests
    ServicePreview   preview(const AcquireRequest &request, TimePoint now) const; // read-only, see preview.h
    void             appendUpdates(TimePoint now, std::vector<LoadUpdate> &updates) const;
    void             appendStatus(TimePoint now, std::vector<TargetStatus> &status) const;
    const WaitQueue &queue() const;
    ColdCounts       takeColdCounts();
    uint64_t         takeSpillovers(); // permits for targets elsewhere that have room, since the last call

private:
    void         applyTarget(const Configuration &configuration, const Target &target, std::string_view name,
                             TargetEntry *entry, TimePoint now);
    void         updateDistance(const Configuration &configuration, TargetEntry &entry) const;
    void         applyEvacuations(std::span<const std::string> evacuated, TimePoint now);
    void         countRegions();
    void         eraseRemoved(TimePoint now);
    void         remember(const TargetEntry &entry, TimePoint now);
    void         recall(TargetEntry &entry) const;
    void         sortByDistance();
    bool         isLate(const AcquireRequest &request) const;
    bool         competesFor(const HomeReach &reach, const Waiter &waiter, TimePoint now);
    bool         grantOne(TimePoint now, std::vector<ResolvedWait> &resolved); // false: nothing to grant now
    bool         draining(const TargetEntry &entry, TimePoint now) const;
    bool         allowed(const TargetEntry &entry, const AcquireRequest &request, TimePoint now) const;
    HomeReach    reachOf(const AcquireRequest &request) const;
    bool         lacksHome(const AcquireRequest &request) const;
    Code         refusalWithoutTarget(const AcquireRequest &request, const HomeReach &reach, TimePoint now) const;
    Duration     pushBackLeft(const AcquireRequest &request, TimePoint now) const;
    void         beginChoice(const AcquireRequest &request, TimePoint now);
    bool         mostMayBeIneligible(const AcquireRequest &request, TimePoint now) const;
    bool         isCandidate(const TargetEntry &entry, const AcquireRequest &request, TimePoint now) const;
    bool         tracksCold() const;
    void         setCold(TargetEntry &entry, TimePoint until, ColdReason reason, TimePoint now);
    void         appendUnconfirmedCold(TimePoint now, size_t limit, std::vector<TargetCandidate> &out) const;
    bool         limitsCold(TimePoint now) const;
    bool         needsToken(const TargetEntry &entry, TimePoint now) const;
    ColdTarget   coldTarget(const TargetEntry &entry) const;
    bool         passesColdLimit(TargetEntry &entry, size_t index, TimePoint now);
    bool         takeToken(const TargetEntry &entry, TimePoint now); // sets m_tokenExpiresAt
    size_t       wantsLeft(bool nothingElseHasRoom, TimePoint now);
    void         wantTokens(bool nothingElseHasRoom, TimePoint now);
    TargetEntry *pickTarget(TimePoint now, Duration waited);
    void         collect(const AcquireRequest &request, TimePoint now);
    void         collectFrom(size_t begin, size_t end, size_t limit, const AcquireRequest &request, TimePoint now);
    void         collectEligible(size_t begin, size_t end, size_t limit, const AcquireRequest &request, TimePoint now);
    void         addView(size_t index, const AcquireRequest &request, TimePoint now);
    void         addRecentReporter(size_t index);
    TargetView   viewOf(const TargetEntry &entry, size_t bodyBytes, TimePoint now, const ReportAging &reportAging,
                        const HomeReach &reach) const;
    LeftOut      leftOut(const TargetEntry &entry, const AcquireRequest &request, TimePoint now, bool regionOpen) const;
    Duration     distanceCost(const TargetEntry &entry, size_t bodyBytes, TimePoint now, const HomeReach &reach) const;
    void         appendUnknownCentre(const AcquireRequest &request, TimePoint now, std::vector<TargetCandidate> &out);
    void         appendHalfOpen(const AcquireRequest &request, TimePoint now, std::vector<TargetCandidate> &out) const;
    Duration     queueWait(const AcquireRequest &request) const;
    TargetEntry *findHalfOpen(const AcquireRequest &request, TimePoint now);
    bool         mayIgnoreEstimates(TimePoint now) const;
    ReportAging  aging() const;
    void         recordResult(TargetEntry &entry, const Permit &permit, const PermitReport &report, TimePoint now);
    void         recordOvertaken(TargetEntry &entry, const Permit &permit, TimePoint now);
    void         recordAnswer(TargetEntry &entry, const Permit &permit, TimePoint now);
    void         recordProbeAnswer(TargetEntry &entry, const LoadUpdate &update, TimePoint now);
    void         recordFailure(TargetEntry &entry, TimePoint now, std::string_view reason);
    void         recordSuccess(TargetEntry &entry, TimePoint now, std::string_view reason);
    void         recordReport(TargetEntry &entry, const LoadReport &report, TimePoint takenAt, int justEnded);
    void         recordCentreLoad(const TargetEntry &entry, const LoadReport &report, TimePoint takenAt, int justEnded);
    void         recordNotice(TargetEntry &entry, const TargetNotice &notice, TimePoint now);
    TargetEntry *find(std::string_view name);

    BalancerOptions                           m_options;
    const BalancerHooks                      &m_hooks;
    Service                                   m_service;
    std::vector<std::unique_ptr<TargetEntry>> m_targets; // nearest first, removed ones last
    std::map<std::string, FormerTarget>       m_former;  // by name; bounded
    uint64_t                                  m_removals = 0;
    size_t                                    m_configured = 0;
    size_t                                    m_localEnd = 0;      // end of the targets in this data centre
    size_t                                    m_regionEnd = 0;     // end of the targets in this region
    std::array<size_t, MaxRecentReporters>    m_recentReporters{}; // ring of the last targets to report
    size_t                                    m_nextRecentReporter = 0;
    std::vector<TargetView>                   m_views;             // of one choice; a member to reuse its memory
    ReportAging                               m_aging;             // of one choice
    bool                                      m_regionOpen = true; // the cross-region budget allows this choice
    HomeReach                                 m_reach;             // of the request of the latest choice
    std::vector<size_t>                       m_eligible;          // of one choice; a member to reuse its memory
    std::vector<size_t>                       m_withoutToken;      // targets left out in one choice for lack of a token
    std::vector<size_t>                       m_trialsWithoutToken;     // the same of half-open ones
    std::vector<size_t>                       m_withoutRoom;            // queue positions left out in one grantOne()
    TimePoint                                 m_tokenExpiresAt = Never; // of the token taken by the latest choice
    size_t                                    m_tokenChecks = 0;        // of one choice
    TimePoint                                 m_coldUntil{};            // of any target, at most
    std::deque<TimePoint>                     m_wantedForCalls;         // tokens asked for as nothing else had room
    ColdCounts                                m_coldCounts;
    std::vector<RegionTargets>                m_regions;   // of the targets that are configured and not evacuated
    std::vector<std::string>                  m_evacuated; // data centres
    bool         m_placementChanged = false; // since the last processQueue(): queued calls may have lost their home
    WaitQueue    m_queue;
    CallerShares m_shares;
    std::map<int, DeadlineHistory> m_deadlines; // by rank of the rule; at most MaxRanks
    Shortage                       m_shortage;
    ExpectedTime                   m_expected;
    ReportTrust                    m_trust;
    RegionBudget                   m_regionBudget;
    Spillover                      m_spillover;
    uint64_t                       m_spillovers = 0;
    double                         m_fleetOthers = 0;   // calls of other instances on a target, mean of all
    float                          m_fleetSlowdown = 1; // as reported, mean of all targets
    float                          m_fleetTime = 0;     // ms, mean answer time of all targets
    uint64_t                       m_sequence = 0;
    uint64_t                       m_revision = 0; // of the applied configuration
    int                            m_inFlight = 0;
    size_t                         m_ejected = 0;           // targets, including half-open ones
    TimePoint                      m_lastReportAt{};        // latest of any target
    TimePoint                      m_lastProgressAt{};      // last answer, or grant that ignored estimates
    int                            m_replacementCredit = 0; // calls that may replace one that just ended
    bool                           m_retired = false;
};

} // namespace damask
