#include "programs/damask-node/node.h"

#include "base/log.h"
#include "base/thread.h"
#include "base/worker_pool.h"
#include "operate/routes.h"
#include "programs/damask-node/node_events.h"
#include "programs/damask-node/node_quota.h"
#include "programs/damask-node/preview_json.h"
#include "quota/shared_credit.h"
#include "route/placement.h"

#include <atomic>
#include <unistd.h>

namespace damask {

namespace {

constexpr Duration IdleCloseInterval = std::chrono::seconds(5); // between sweeps of idle connections to targets
constexpr double ExitMarginShareOfGrace = 1.0 / 12;   // share of the grace period reserved for the process to exit
constexpr double AnswerMarginShareOfGrace = 1.0 / 48; // before that, to deliver the last answers

Duration shareOf(Duration total, double share)
{
    return std::chrono::duration_cast<Duration>(total * share);
}

} // namespace

struct Node::State {
    State(Clock &c, Metrics &m, const NodeOptions &o, NodeProtocol p);

    Result<Permit> acquire(const AcquireRequest &request);
    DispatcherHooks dispatcherHooks();
    std::unique_ptr<SharedCredit> makeCredit();
    std::function<std::optional<CreditGrant>(const CreditRequest &)> creditHook();
    std::vector<LoadUpdate> probeTargets(std::span<const TargetCandidate> candidates, Duration timeout);
    void apply(std::shared_ptr<const Configuration> next, const WatchedConfiguration &watched);
    void logUnknownRegions(const Configuration &applied, uint64_t version);
    FollowerOptions followerOptions() const;
    WatchedConfiguration readConfiguration(WatchedConfiguration read) const;
    Result<void> readiness() const;
    OperateResponse answerReadiness();
    std::string status() const;
    void closeIdleLoop();
    void enforceGracePeriod(TimePoint latest);
    void waitShutdownDelay(TimePoint until);

    Clock &clock;
    Metrics &metrics;
    NodeOptions options;
    NodeProtocol protocol;
    std::atomic<bool> leaving{false};
    uint64_t regionsCheckedIn = 0; // version of the configuration; used by the follower's thread only
    std::atomic<bool> configured{false};
    std::atomic<bool> reportedReady{false}; // the last readiness answer

    RankedMutex stopMutex{LockRank::Program};
    Condition stopChanged; // wakes the idle closer and the thread that enforces the grace period
    bool stopped = false;  // under stopMutex

    Sender sender;
    NodeQuota quota;
    std::unique_ptr<SharedCredit> credit; // null unless nodes share the hedge limit
    std::unique_ptr<WorkerPool> hedges;   // null if hedging is off
    Balancer balancer;
    SelectionProbe selectionProbe;
    Dispatcher dispatcher;
    FrontServer front;
    StoreClient store;
    Follower follower;
    Neighbours neighbours; // declared after the follower, from which it answers until it has stopped
    OperateServer readyServer;
    OperateServer operate;
    Thread idleCloser;
};

Node::State::State(Clock &c, Metrics &m, const NodeOptions &o, NodeProtocol p)
    : clock(c)
    , metrics(m)
    , options(o)
    , protocol(std::move(p))
    , stopChanged(c)
    , sender(c, m, o.sender, protocol.target)
    , quota(c, m, o.quota,
            [this](std::string_view address, const AllowanceRequest &request) {
                neighbours.sendAllowanceRequest(address, request);
            })
    , credit(makeCredit())
    , hedges(o.hedgeLimit > 0 ? std::make_unique<WorkerPool>(
                 c, WorkerPoolOptions{.name = "hedge", .threads = NodeHedgeThreads, .queueLimit = NodeHedgeThreads})
                              : nullptr)
    , balancer(c, m, o.balancer,
               {.healthChanged = [this](const HealthChange &change) { recordHealthChange(metrics, change); },
                .noticeReceived = [this](const NoticeReceived &notice) { recordNotice(metrics, notice); },
                .coldChanged = [this](const ColdChange &change) { recordColdChange(metrics, change); },
                .spilloverChanged =
                    [this](const SpilloverChange &change) {
                        recordSpilloverChange(metrics, options.balancer.dataCentre, change);
                    },
                .hasColdToken = [this](const ColdTarget &target) { return quota.hasColdToken(target); },
                .takeColdToken = [this](const ColdTarget &target) { return quota.takeColdToken(target); },
                .wantColdToken =
                    [this](const ColdTarget &target) {
                        quota.wantColdToken(target);
                    }})
    , selectionProbe(c, o.selectionProbe,
                     {.bestCandidates = [this](const AcquireRequest &request,
                                               size_t most) { return balancer.bestCandidates(request, most); },
                      .ask = [this](std::span<const TargetCandidate> candidates,
                                    Duration timeout) { return probeTargets(candidates, timeout); },
                      .updateLoad =
                          [this](std::span<const LoadUpdate> updates) {
                              balancer.updateLoad(updates);
                          }})
    , dispatcher(c, m, o.dispatcher, dispatcherHooks())
    , front(
          c, m, o.front,
          [this](const CallRequest &call, CancelToken &cancel) { return dispatcher.dispatch(call, cancel); },
          protocol.caller, [this](const CallRequest &call) { return dispatcher.streamsBody(call); },
          [this](const CallRequest &call) { return dispatcher.mayRepeat(call); })
    , store(c, m, o.store, protocol.store)
    , follower(c, m, store, followerOptions(),
               {.readConfiguration =
                    [this](std::string_view value) {
                        return protocol.readConfiguration(value).map(
                            [this](WatchedConfiguration it) { return readConfiguration(std::move(it)); });
                    },
                .readTarget = protocol.readTarget,
                .apply = [this](std::shared_ptr<const Configuration> next,
                                const WatchedConfiguration &watched) { apply(std::move(next), watched); },
                .sendRequests = [this](std::span<const SeedRequest> requests) { neighbours.sendRequests(requests); },
                .newsAvailable =
                    [this] {
                        neighbours.notifyFollowers();
                    }})
    , neighbours(
          c, m, o.neighbours,
          {.news = [this](const FollowRequest &request, size_t maxBytes) { return follower.news(request, maxBytes); },
           .newsReceived = [this](StoreNews news) { follower.receive(std::move(news)); },
           .grantAllowances = [this](const AllowanceRequest &request) { return quota.grant(request); },
           .allowancesGranted = [this](const AllowanceGrant &grant) { quota.receive(grant); },
           .grantCredit = creditHook(),
           .creditGranted =
               [this](const CreditGrant &grant) {
                   if (credit) {
                       credit->receive(grant);
                   }
               }})
    , readyServer(o.readiness)
    , operate(o.operate)
{
}

DispatcherHooks Node::State::dispatcherHooks()
{
    DispatcherHooks out;
    out.send = [this](const Attempt &attempt) {
        return sender.send(attempt);
    };
    out.acquire = [this](const AcquireRequest &request) {
        return acquire(request);
    };
    out.finish = [this](const Permit &permit, const PermitReport &report) {
        balancer.finish(permit, report);
    };
    out.status = [this](std::string_view service) {
        return balancer.status(service);
    };
    out.pushBackLeft = [this](std::string_view service) {
        return balancer.pushBackLeft(service);
    };
    out.preview = [this](const AcquireRequest &request) {
        return balancer.preview(request);
    };
    out.checkPlacement = [this](const AcquireRequest &request) {
        return balancer.checkPlacement(request);
    };
    out.permitHolds = [this](const Permit &permit) {
        return balancer.permitHolds(permit);
    };
    out.takeQuota = [this](const ClientAccount &account, TimePoint until, CancelToken &cancel) {
        return quota.take(account, until, cancel);
    };
    out.giveBackQuota = [this](const ClientAccount &account, TimePoint expiresAt) {
        quota.giveBack(account, expiresAt);
    };
    out.quotaState = [this](const ClientAccount &account) {
        return quota.state(account);
    };
    out.configurationAge = [this] {
        return clock.now() - follower.status().verifiedAt;
    };
    if (credit) {
        out.hedgeCredit.earn = [this](std::string_view service) {
            credit->earn(service);
        };
        out.hedgeCredit.balance = [this](std::string_view service) {
            return credit->balance(service);
        };
        out.hedgeCredit.tryTake = [this](std::string_view service) {
            return credit->tryTake(service);
        };
        out.hedgeCredit.want = [this](std::string_view service) {
            credit->want(service);
        };
    }
    if (hedges) {
        out.runAsync = [this](std::function<void()> work) {
            return hedges->submit(std::move(work)).has_value();
        };
    }
    return out;
}

/// Null unless the settings share the hedge limit.
std::unique_ptr<SharedCredit> Node::State::makeCredit()
{
    if (!options.shareCredit || options.hedgeLimit <= 0) {
        return nullptr;
    }
    return std::make_unique<SharedCredit>(
        clock, metrics,
        SharedCreditOptions{.ratio = options.hedgeLimit,
                            .window = options.retryWindow,
                            .grantors = options.quota.grantors,
                            .own = options.quota.own},
        SharedCreditHooks{.send = [this](std::string_view address, const CreditRequest &request) {
            neighbours.sendCreditRequest(address, request);
        }});
}

/// Empty unless the settings share the hedge limit, so that requests are refused.
std::function<std::optional<CreditGrant>(const CreditRequest &)> Node::State::creditHook()
{
    if (!credit) {
        return {};
    }
    return [this](const CreditRequest &request) {
        return credit->grant(request);
    };
}

/// Probes the best candidates first, so that the choice is based on current load. A call that is refused anyway is
/// refused before.
Result<Permit> Node::State::acquire(const AcquireRequest &request)
{
    if (const Code code = balancer.admit(request); code != Code::Ok) {
        return fail(code);
    }
    const size_t probed = selectionProbe.probe(request);
    auto permit = balancer.acquire(request);
    if (permit) {
        permit->asked = probed;
    }
    return permit;
}

std::vector<LoadUpdate> Node::State::probeTargets(std::span<const TargetCandidate> candidates, Duration timeout)
{
    std::vector<std::shared_ptr<const TargetAddress>> targets;
    targets.reserve(candidates.size());
    for (const TargetCandidate &it : candidates) {
        targets.push_back(it.address);
    }
    const std::vector<ProbeResult> replies = sender.ask(targets, timeout);
    std::vector<LoadUpdate> updates;
    for (size_t n = 0; n < replies.size(); ++n) {
        LoadUpdate it;
        it.target = targets[n]->name;
        it.notice = replies[n].notice;
        it.startedAt = targets[n]->startedAt;
        if (replies[n].report) {
            it.report = *replies[n].report;
            it.asked = true;
        } else if (replies[n].report.error().code == Code::TargetShares) {
            continue; // refused by this node's own limit; says nothing about the target
        } else if (replies[n].report.error().code == Code::TargetReplaced) {
            it.leaving = true;
        } else if (it.notice.pushBack == Duration::zero()) {
            it.silent = true;
        }
        updates.push_back(std::move(it));
    }
    return updates;
}

FollowerOptions Node::State::followerOptions() const
{
    FollowerOptions out = options.follower;
    out.configurationKey = protocol.configurationKey;
    out.targetPrefix = protocol.targetPrefix;
    out.evacuationPrefix = protocol.evacuationPrefix;
    out.watchedPrefix = protocol.watchedPrefix;
    return out;
}

/// Fills in what the operators' configuration leaves to the settings.
WatchedConfiguration Node::State::readConfiguration(WatchedConfiguration read) const
{
    for (Service &it : read.services) {
        it.queueLimit = static_cast<int>(options.queueLimit);
        it.queueWait = options.queueWait;
        it.retryRatio = options.retryRatio * RetryRatioSafetyFactor;
        it.minRetriesPerWindow = 0; // the budget is a share of this node's own calls, with no fixed allowance on top
        it.retryWindow = options.retryWindow;
        it.hedge = options.hedgeLimit > 0;
        it.hedgeLimit = options.hedgeLimit;
    }
    return read;
}

void Node::State::apply(std::shared_ptr<const Configuration> next, const WatchedConfiguration &watched)
{
    balancer.apply(next);
    quota.apply(next->accounts, watched.version);
    dispatcher.apply(next);
    front.setLimits({watched.limits.headerBytes, watched.limits.bodyBytes}, watched.limits.idleTimeout,
                    watched.limits.headerTimeout);
    size_t targets = 0;
    for (const Pool &it : next->pools) {
        targets += it.targets.size();
    }
    logUnknownRegions(*next, watched.version);
    logEvent(Severity::Info, "configuration-applied",
             {{"revision", next->revision},
              {"version", watched.version},
              {"rules", static_cast<uint64_t>(next->rules.size())},
              {"services", static_cast<uint64_t>(next->services.size())},
              {"targets", static_cast<uint64_t>(targets)},
              {"accountsInForce", next->accounts != nullptr},
              {"accounts", static_cast<uint64_t>(next->accounts ? next->accounts->accounts().size() : 0)},
              {"evacuated", static_cast<uint64_t>(next->evacuatedDataCentres.size())}});
    if (!configured.exchange(true)) {
        logEvent(Severity::Info, "ready", {{"version", watched.version}});
    }
}

/// Once for each version: registered targets change far more often, and don't matter here.
void Node::State::logUnknownRegions(const Configuration &applied, uint64_t version)
{
    if (std::exchange(regionsCheckedIn, version) == version) {
        return;
    }
    recordUnknownRegions(metrics, applied, version);
}

Result<void> Node::State::readiness() const
{
    if (leaving) {
        return fail(Code::EntryLeaving, "the node is stopping");
    }
    return configured ? Result<void>() : fail(Code::NoConfiguration, "no configuration has been read yet");
}

OperateResponse Node::State::answerReadiness()
{
    const auto n = readiness();
    if (reportedReady.exchange(n.has_value()) != n.has_value()) {
        logEvent(Severity::Info, "readiness-changed",
                 {{"ready", n.has_value()}, {"reason", n ? std::string_view("configured") : codeName(n.error().code)}});
    }
    return n ? OperateResponse{200, "text/plain", "ready\n"} : operateError(503, n.error());
}

std::string Node::State::status() const
{
    const FollowStatus n = follower.status();
    const FrontStatus f = front.status();
    std::string out = "{\"instance\": ";
    appendJsonString(out, options.instance);
    out += ", \"leaving\": " + std::string(leaving ? "true" : "false");
    out += ", \"storeAnswers\": " + std::string(n.storeReachable ? "true" : "false");
    out += ", \"heardAgeMs\": " + std::to_string(static_cast<int64_t>(toMilliseconds(clock.now() - n.verifiedAt)));
    out += ", \"source\": ";
    appendJsonString(out, n.source.empty() ? "store" : std::string_view(n.source));
    out += ", \"followers\": " + std::to_string(neighbours.followers());
    out += ", \"version\": " + std::to_string(n.version);
    out += ", \"storeRevision\": " + std::to_string(n.revision);
    out += ", \"storeEra\": " + std::to_string(n.era);
    out += ", \"targets\": " + std::to_string(n.targets);
    out += ", \"quota\": ";
    quota.appendStatus(out);
    if (credit) {
        out += ", \"sharedCredit\": ";
        credit->appendStatus(out);
    }
    out += ", \"evacuated\": [";
    for (const std::string &it : n.evacuated) {
        out += &it == &n.evacuated.front() ? "" : ", ";
        appendJsonString(out, it);
    }
    out += "]";
    out += ", \"connections\": " + std::to_string(f.connections);
    out += ", \"callsInFlight\": " + std::to_string(f.callsInFlight) + "}\n";
    return out;
}

/// Closes idle connections to targets at a fixed interval until the node stops.
void Node::State::closeIdleLoop()
{
    LockGuard lock(stopMutex);
    while (!stopped) {
        const TimePoint next = clock.now() + IdleCloseInterval;
        while (!stopped && stopChanged.waitUntil(lock, next)) { }
        sender.closeIdle();
    }
}

/// Exits the process when calls in flight would keep it beyond the grace period; their callers see a closed connection.
void Node::State::enforceGracePeriod(TimePoint latest)
{
    LockGuard lock(stopMutex);
    while (!stopped && stopChanged.waitUntil(lock, latest)) { }
    if (!stopped) {
        logEvent(Severity::Warning, "stop-cut",
                 {{"callsInFlight", static_cast<uint64_t>(front.status().callsInFlight)}});
        _exit(0);
    }
}

/// Keeps the port open after readiness has failed, so that whoever routes callers here notices first.
void Node::State::waitShutdownDelay(TimePoint until)
{
    RankedMutex waitMutex{LockRank::Program};
    Condition waitCondition(clock);
    LockGuard lock(waitMutex);
    while (waitCondition.waitUntil(lock, until)) { }
}

Node::Node(Clock &clock, Metrics &metrics, const NodeOptions &options, NodeProtocol protocol)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(protocol)))
{
}

Node::~Node()
{
    stop();
}

Result<void> Node::start()
{
    State &state = *m_state;
    state.readyServer.route(
        "GET", state.protocol.readyPath, [&state](const OperateRequest &) { return state.answerReadiness(); }, true);
    addStandardRoutes(state.operate, state.metrics,
                      {.ready = [&state] { return state.readiness(); },
                       .status =
                           [&state] {
                               return state.status();
                           }});
    state.operate.route("GET", "/where",
                        [&state](const OperateRequest &request) { return answerWhere(state.dispatcher, request); });
    const auto started = state.readyServer.start()
                             .and_then([&] { return state.operate.start(); })
                             .and_then([&] { return state.neighbours.start(); })
                             .and_then([&] { return state.front.start(); });
    if (!started) {
        return started;
    }
    state.follower.start();
    state.idleCloser = Thread("node-tidy", [&state] { state.closeIdleLoop(); });
    logEvent(Severity::Info, "node-started",
             {{"instance", state.options.instance},
              {"dataCentre", state.options.balancer.dataCentre},
              {"callerPort", static_cast<int>(state.front.port())},
              {"operatorPort", static_cast<int>(state.operate.port())}});
    return {};
}

void Node::stop()
{
    State &state = *m_state;
    if (!state.idleCloser.running()) {
        return;
    }
    const TimePoint requestedAt = state.clock.now();
    logEvent(Severity::Info, "node-leaving",
             {{"callsInFlight", static_cast<uint64_t>(state.front.status().callsInFlight)}});
    state.leaving = true;
    const Duration grace = state.options.gracePeriod;
    const TimePoint exitAt = requestedAt + grace - shareOf(grace, ExitMarginShareOfGrace);
    const TimePoint noticedAt = requestedAt + state.options.shutdownDelay;
    const TimePoint lastAnswerAt = exitAt - shareOf(grace, AnswerMarginShareOfGrace);
    state.dispatcher.startShutdown({.acceptsAnyUntil = noticedAt, .lastAnswerAt = lastAnswerAt});
    state.front.startDraining(lastAnswerAt);
    Thread graceEnforcer("stop-limit", [&state, exitAt] { state.enforceGracePeriod(exitAt); });
    state.waitShutdownDelay(noticedAt);
    state.front.stop();
    state.follower.stop();
    state.neighbours.stop();
    state.readyServer.stop();
    state.operate.stop();
    {
        LockGuard lock(state.stopMutex);
        state.stopped = true;
        state.stopChanged.notifyAll();
    }
    graceEnforcer.join();
    state.idleCloser.join();
    logEvent(Severity::Info, "node-stopped", {{"tookMs", toMilliseconds(state.clock.now() - requestedAt)}});
}

uint16_t Node::callerPort() const
{
    return m_state->front.port();
}

uint16_t Node::operatorPort() const
{
    return m_state->operate.port();
}

} // namespace damask
