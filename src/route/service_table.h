/// The table of one service in one entry: its targets, what is known of them, and the calls that wait for a slot.
///
/// Not safe to share by itself: the Balancer holds one lock for each table, so that services do not contend.
#pragma once

#include "config/model.h"
#include "route/balancer.h"
#include "route/caller_share.h"
#include "route/expected_time.h"
#include "route/region_budget.h"
#include "route/report_trust.h"
#include "route/target_health.h"
#include "route/target_load.h"
#include "route/wait_queue.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// One target as this entry sees it.
struct TargetEntry {
    std::shared_ptr<const TargetAddress> address;      // where to send
    Target                               target;       // as configured
    TargetLoad                           load;         // what is known
    TargetHealth                         health;       // whether it gets work
    Duration                             linkDelay{0}; // there and back
    bool                                 otherRegion = false;
    bool                                 reportsDrain = false; // its last report said so
    TimePoint                            leavingUntil{};       // news said that it leaves; repeated while it holds
    TimePoint                            unresponsiveUntil{};  // it gave no answer when asked; not a first choice
    TimePoint                            coldStartUntil{};     // its process is slow after its start
    bool                                 unwell = false;       // it called itself not well when asked last
    bool                                 configured = true;    // false: gone, kept until its calls ended
    uint64_t                             lastSequence = 0;     // the last choice that looked at it
};

/// What a choice came to.
struct Choice {
    TargetEntry *target = nullptr; // none: see code
    Code         code = Code::Ok;  // Ok with no target: all are full, wait
};

class ServiceTable
{
public:
    static constexpr size_t MaxCandidates = 24;     // targets looked at in one choice
    static constexpr size_t MaxRecentReporters = 8; // of them those that reported last

    ServiceTable(const BalancerOptions &options, const BalancerHooks &hooks, std::string_view name, TimePoint now);

    void apply(const Configuration &configuration, const Service &service, TimePoint now);
    void retire(std::vector<ResolvedWait> &resolved); // the service is gone: waiters are refused, calls end as they may
    bool retired() const;
    int  inFlight() const;

    Code   admit(const AcquireRequest &request, TimePoint now) const; // Ok, NoSuchService, DeadlineTooShort
    Choice choose(const AcquireRequest &request, TimePoint now, Duration waited);
    std::vector<TargetCandidate> bestCandidates(const AcquireRequest &request, TimePoint now, size_t most);
    Permit grant(TargetEntry &target, const AcquireRequest &request, uint32_t caller, TimePoint now, Duration waited);
    void   finish(const Permit &permit, const PermitReport &report, TimePoint now);
    void   updateLoad(const LoadUpdate &update, TimePoint now);

    Code      wait(const AcquireRequest &request, uint64_t id, GrantHook granted, TimePoint now,
                   std::vector<ResolvedWait> &resolved);
    void      cancel(uint64_t id, std::vector<ResolvedWait> &resolved);
    TimePoint processQueue(TimePoint now, std::vector<ResolvedWait> &resolved); // when to run them next

    void             appendUpdates(TimePoint now, std::vector<LoadUpdate> &updates) const;
    void             appendStatus(TimePoint now, std::vector<TargetStatus> &status) const;
    const WaitQueue &queue() const;

private:
    void         applyTarget(const Configuration &configuration, const Pool &pool, const Target &target, TimePoint now);
    void         updateDistance(const Configuration &configuration, TargetEntry &entry) const;
    void         eraseRemoved();
    void         sortByDistance();
    bool         grantOne(TimePoint now, std::vector<ResolvedWait> &resolved); // false: nothing more to do now
    bool         draining(const TargetEntry &entry, TimePoint now) const;
    bool         allowed(const TargetEntry &entry, const AcquireRequest &request, TimePoint now) const;
    void         collect(const AcquireRequest &request, TimePoint now);
    void         collectFrom(size_t begin, size_t end, size_t most, const AcquireRequest &request, TimePoint now);
    void         addView(size_t index, const AcquireRequest &request, TimePoint now);
    void         noteRecent(size_t index);
    TargetView   viewOf(const TargetEntry &entry, TimePoint now) const;
    Duration     distanceCost(const TargetEntry &entry) const;
    void         appendHalfOpen(const AcquireRequest &request, TimePoint now, std::vector<TargetCandidate> &out) const;
    Duration     queueWait(const AcquireRequest &request) const;
    TargetEntry *findHalfOpen(const AcquireRequest &request, TimePoint now);
    bool         mayIgnoreEstimates(TimePoint now) const;
    ReportAging  aging() const;
    void         recordResult(TargetEntry &entry, const Permit &permit, const PermitReport &report, TimePoint now);
    void         recordAnswer(TargetEntry &entry, const Permit &permit, TimePoint now);
    void         recordProbeAnswer(TargetEntry &entry, const LoadUpdate &update, TimePoint now);
    void         recordFailure(TargetEntry &entry, TimePoint now, std::string_view reason);
    void         recordSuccess(TargetEntry &entry, TimePoint now, std::string_view reason);
    void         recordReport(TargetEntry &entry, const LoadReport &report, TimePoint takenAt);
    TargetEntry *find(std::string_view name);

    BalancerOptions                           m_options;
    const BalancerHooks                      &m_hooks;
    Service                                   m_service;
    std::vector<std::unique_ptr<TargetEntry>> m_targets; // the nearest first; gone ones last
    size_t                                    m_configured = 0;
    size_t                                    m_localEnd = 0;      // targets before it are in this data centre
    size_t                                    m_regionEnd = 0;     // targets before it are in this region
    std::array<size_t, MaxRecentReporters>    m_recentReporters{}; // the targets that reported last
    size_t                                    m_nextRecentReporter = 0;
    std::vector<TargetView>                   m_views;             // of one choice, kept for its memory
    ReportAging                               m_aging;             // of one choice
    bool                                      m_regionOpen = true; // the budget across regions allows this choice
    WaitQueue                                 m_queue;
    CallerShares                              m_shares;
    ExpectedTime                              m_expected;
    ReportTrust                               m_trust;
    RegionBudget                              m_regionBudget;
    double                                    m_fleetOthers = 0;   // others' calls on a target, smoothed over all
    float                                     m_fleetSlowdown = 1; // as told, smoothed over all
    float                                     m_fleetTime = 0;     // ms, of answers, smoothed over all
    uint64_t                                  m_sequence = 0;
    uint64_t                                  m_revision = 0; // of the configuration in force
    int                                       m_inFlight = 0;
    size_t                                    m_ejected = 0;           // targets out, with those on trial
    TimePoint                                 m_lastProgressAt{};      // of the last answer, or grant without one
    int                                       m_replacementCredit = 0; // one call may replace one that just ended
    bool                                      m_retired = false;
};

} // namespace damask
