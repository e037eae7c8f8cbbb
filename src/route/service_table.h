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
    TimePoint                            silentUntil{};        // it gave no answer when asked; not a first choice
    TimePoint                            coldUntil{};          // its process is slow after its start
    bool                                 unhealthy = false;    // it called itself not well when asked last
    bool                                 configured = true;    // false: gone, kept until its calls ended
    uint64_t                             seenBy = 0;           // the last choice that looked at it
};

/// What a choice came to.
struct Choice {
    TargetEntry *target = nullptr; // none: see code
    Code         code = Code::Ok;  // Ok with no target: all are full, wait
};

class ServiceTable
{
public:
    static constexpr size_t MostCandidates = 24; // targets looked at in one choice
    static constexpr size_t RecentTargets = 8;   // of them those that reported last

    ServiceTable(const BalancerOptions &options, const BalancerHooks &hooks, std::string_view name, TimePoint now);

    void apply(const Configuration &configuration, const Service &service, TimePoint now);
    void retire(std::vector<Decided> &decided); // the service is gone: waiters are refused, calls end as they may
    bool retired() const;
    int  inFlight() const;

    Code   admit(const AcquireRequest &request, TimePoint now) const; // Ok, NoSuchService, DeadlineTooShort
    Choice choose(const AcquireRequest &request, TimePoint now, Duration waited);
    std::vector<Prospect> promising(const AcquireRequest &request, TimePoint now, size_t most);
    Permit grant(TargetEntry &target, const AcquireRequest &request, uint32_t caller, TimePoint now, Duration waited);
    void   finish(const Permit &permit, const PermitReport &report, TimePoint now);
    void   absorb(const LoadNews &news, TimePoint now);

    Code      wait(const AcquireRequest &request, uint64_t id, GrantHook granted, TimePoint now,
                   std::vector<Decided> &decided);
    void      cancel(uint64_t id, std::vector<Decided> &decided);
    TimePoint runWaits(TimePoint now, std::vector<Decided> &decided); // when to run them next

    void             appendNews(TimePoint now, std::vector<LoadNews> &news) const;
    void             appendStatus(TimePoint now, std::vector<TargetStatus> &status) const;
    const WaitQueue &queue() const;

private:
    void         applyTarget(const Configuration &configuration, const Pool &pool, const Target &target, TimePoint now);
    void         place(const Configuration &configuration, TargetEntry &entry) const;
    void         dropGone();
    void         sortByDistance();
    bool         grantOne(TimePoint now, std::vector<Decided> &decided); // false: nothing more to do now
    bool         draining(const TargetEntry &entry, TimePoint now) const;
    bool         allowed(const TargetEntry &entry, const AcquireRequest &request, TimePoint now) const;
    void         collect(const AcquireRequest &request, TimePoint now);
    void         collectFrom(size_t begin, size_t end, size_t most, const AcquireRequest &request, TimePoint now);
    void         addView(size_t index, const AcquireRequest &request, TimePoint now);
    void         remember(size_t index);
    TargetView   viewOf(const TargetEntry &entry, TimePoint now) const;
    Duration     placeCost(const TargetEntry &entry) const;
    void         appendTrial(const AcquireRequest &request, TimePoint now, std::vector<Prospect> &out) const;
    Duration     queueWait(const AcquireRequest &request) const;
    TargetEntry *trialFor(const AcquireRequest &request, TimePoint now);
    bool         hurry(TimePoint now) const;
    ReportAging  aging() const;
    void         learn(TargetEntry &entry, const Permit &permit, const PermitReport &report, TimePoint now);
    void         learnAnswer(TargetEntry &entry, const Permit &permit, TimePoint now);
    void         learnAsked(TargetEntry &entry, const LoadNews &news, TimePoint now);
    void         learnFailure(TargetEntry &entry, TimePoint now, std::string_view reason);
    void         learnGood(TargetEntry &entry, TimePoint now, std::string_view reason);
    void         learnReport(TargetEntry &entry, const LoadReport &report, TimePoint takenAt);
    TargetEntry *find(std::string_view name);

    BalancerOptions                           m_options;
    const BalancerHooks                      &m_hooks;
    Service                                   m_service;
    std::vector<std::unique_ptr<TargetEntry>> m_targets; // the nearest first; gone ones last
    size_t                                    m_configured = 0;
    size_t                                    m_nearEnd = 0;   // targets before it are in this data centre
    size_t                                    m_regionEnd = 0; // targets before it are in this region
    std::array<size_t, RecentTargets>         m_recent{};      // the targets that reported last
    size_t                                    m_recentNext = 0;
    std::vector<TargetView>                   m_views;             // of one choice, kept for its memory
    ReportAging                               m_aging;             // of one choice
    bool                                      m_regionOpen = true; // the budget across regions allows this choice
    WaitQueue                                 m_queue;
    CallerShares                              m_shares;
    ExpectedTime                              m_expected;
    ReportTrust                               m_trust;
    RegionBudget                              m_regionBudget;
    double                                    m_usualOthers = 0;   // others' calls on a target, smoothed over all
    float                                     m_usualSlowdown = 1; // as told, smoothed over all
    float                                     m_fleetTime = 0;     // ms, of answers, smoothed over all
    uint64_t                                  m_sequence = 0;
    uint64_t                                  m_revision = 0; // of the configuration in force
    int                                       m_inFlight = 0;
    size_t                                    m_ejected = 0; // targets out, with those on trial
    TimePoint                                 m_heardAt{};   // of the last answer, or grant without one
    int                                       m_credit = 0;  // one call may replace one that just ended
    bool                                      m_retired = false;
};

} // namespace damask
