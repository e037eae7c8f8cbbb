#include "peer_sync.h"

#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <set>

namespace damask {

namespace {

constexpr int FullReportPeriod = 5; // one in this many heartbeats of a watcher reports its whole data centre
constexpr Duration EarlyHeartbeatInterval = std::chrono::milliseconds(100); // minimum between early heartbeats
constexpr Duration PushRetryInterval = std::chrono::seconds(1);             // before the same copy is sent again
constexpr Duration PushFailoverDelay = std::chrono::milliseconds(700);      // before pushing for other watchers
constexpr Duration RequestInterval = std::chrono::seconds(1);               // between requests to peers at the start
constexpr Duration SecondAnswerTimeout = std::chrono::seconds(2);           // then one answer is enough
constexpr size_t MaxRequestedPeers = 5;                                     // asked at the start
constexpr size_t RequiredAnswers = 2;   // before a copy is chosen; fewer when fewer peers are asked
constexpr size_t EnvelopeBytes = 60;    // of a message without its body
constexpr size_t MaxUpdateBytes = 4096; // in one message

/// A peer's answer to an instance that starts while the store is unreachable.
struct Candidate {
    DocumentCopy copy;
    TimePoint at;
};

} // namespace

struct PeerSync::State {
    Clock &clock;
    Metrics &metrics;
    KeeperOptions options;
    MemberTable &members;
    DocumentHolder &documents;
    PeerSyncHooks hooks;
    SendBudget budget;

    mutable RankedMutex mutex{LockRank::Control};
    UpdateQueue updateQueue;                     // guarded by mutex
    std::map<std::string, Candidate> candidates; // by sender; guarded by mutex
    std::map<std::string, TimePoint> pushedAt;   // by instance; ticking thread only
    std::map<std::string, uint64_t> pushed;      // version by instance; ticking thread only
    std::atomic<bool> heartbeatRequested{false};
    uint64_t heldVersion = 0;    // ticking thread only
    TimePoint heldSince;         // ticking thread only
    TimePoint nextHeartbeatAt;   // ticking thread only
    TimePoint lastHeartbeatAt;   // ticking thread only
    TimePoint nextRequestAt;     // ticking thread only
    uint64_t heartbeatCount = 0; // ticking thread only
    size_t nextPeer = 0;         // of the round robin over update receivers; ticking thread only

    State(Clock &clockIn, Metrics &metricsIn, const KeeperOptions &optionsIn, MemberTable &membersIn,
          DocumentHolder &documentsIn, PeerSyncHooks hooksIn)
        : clock(clockIn)
        , metrics(metricsIn)
        , options(optionsIn)
        , members(membersIn)
        , documents(documentsIn)
        , hooks(std::move(hooksIn))
        , budget(clockIn, metricsIn, optionsIn.budget)
    {
    }

    /// Sends within the budget. Returns false when the budget is exhausted; nothing is sent then.
    bool send(const Instance &to, TrafficClass trafficClass, const MessageBody &body, size_t bytes)
    {
        if (to.keeper.empty() || !budget.take(trafficClass, wireBytes(bytes + EnvelopeBytes))) {
            return false;
        }
        hooks.send(hooks.peerAt(to.keeper), body);
        return true;
    }

    static MemberReport reportOf(const MemberView &member)
    {
        MemberReport report{member.instance, member.confirmed, member.version, member.silence};
        report.instance.state = member.state == MemberState::Live ? InstanceState::Live : InstanceState::Leaving;
        return report;
    }

    static size_t sizeOf(const MemberReport &report)
    {
        constexpr size_t FieldBytes = 40;
        const Instance &it = report.instance;
        return it.name.size() + it.dataCentre.size() + it.region.size() + it.keeper.size() + FieldBytes;
    }

    /// This keeper's report comes first. A watcher adds those of its data centre for the watchers of other ones.
    Heartbeat heartbeat(std::span<const MemberView> all, bool withOthers) const
    {
        Heartbeat out;
        out.storeReachable = hooks.storeReachable();
        for (const MemberView &it : all) {
            if (it.instance.name == options.self.name) {
                out.members.insert(out.members.begin(), reportOf(it));
            } else if (withOthers && it.instance.dataCentre == options.self.dataCentre && !it.silent) {
                out.members.push_back(reportOf(it));
            }
        }
        return out;
    }

    static size_t sizeOf(const Heartbeat &beat)
    {
        size_t bytes = 0;
        for (const MemberReport &it : beat.members) {
            bytes += sizeOf(it);
        }
        return bytes;
    }

    void sendHeartbeats(std::span<const MemberView> all, bool onDuty)
    {
        const TimePoint now = clock.now();
        const bool early = heartbeatRequested && now - lastHeartbeatAt >= EarlyHeartbeatInterval;
        if (now < nextHeartbeatAt && !early) {
            return;
        }
        heartbeatRequested = false;
        lastHeartbeatAt = now;
        nextHeartbeatAt = now + options.heartbeat;
        const bool full = onDuty && (early || ++heartbeatCount % FullReportPeriod == 0);
        const Heartbeat own = heartbeat(all, false);
        const Heartbeat remoteHeartbeat = full ? heartbeat(all, true) : own;
        for (const Instance &it : heartbeatPeers(all, options.self.name, options.duty)) {
            const Heartbeat &message = it.dataCentre == options.self.dataCentre ? own : remoteHeartbeat;
            send(it, TrafficClass::Control, message, sizeOf(message));
        }
    }

    /// Sends the document to each keeper of this data centre that holds an older one. The watchers divide the keepers
    /// among themselves; after PushFailoverDelay each watcher also pushes to the keepers of the others.
    void push(std::span<const MemberView> all)
    {
        const auto held = documents.current();
        const auto watchers = watchersOf(all, options.self.dataCentre, options.duty);
        const auto own = std::find(watchers.begin(), watchers.end(), options.self.name);
        if (!held || own == watchers.end()) {
            return;
        }
        const TimePoint now = clock.now();
        if (held->versioned.version != heldVersion) {
            heldVersion = held->versioned.version;
            heldSince = now;
        }
        const auto rank = static_cast<size_t>(own - watchers.begin());
        size_t n = 0;
        for (const MemberView &it : all) {
            if (it.instance.dataCentre != options.self.dataCentre || it.state == MemberState::Gone) {
                continue;
            }
            const bool assigned = n++ % watchers.size() == rank;
            const bool due = assigned || now >= heldSince + PushFailoverDelay;
            if (due && it.instance.name != options.self.name && it.version < heldVersion) {
                pushTo(it, *held, now);
            }
        }
    }

    void pushTo(const MemberView &member, const HeldDocument &held, TimePoint now)
    {
        const std::string &name = member.instance.name;
        if (pushed[name] == heldVersion && now < pushedAt[name] + PushRetryInterval) {
            return;
        }
        const DocumentCopy copy{heldVersion, held.bytes, hashBytes(held.bytes), hooks.storeReachable()};
        if (send(member.instance, TrafficClass::Control, copy, held.bytes.size())) {
            pushed[name] = heldVersion;
            pushedAt[name] = now;
            metrics.count("damask_keeper_pushes_total");
        }
    }

    std::vector<Instance> updateReceivers(std::span<const MemberView> all)
    {
        std::vector<Instance> local;
        for (const MemberView &it : all) {
            if (it.instance.dataCentre == options.self.dataCentre && it.instance.name != options.self.name
                && it.state != MemberState::Gone && !it.silent) {
                local.push_back(it.instance);
            }
        }
        std::vector<Instance> out;
        for (size_t n = 0; n < std::min(options.updateFanOut, local.size()); ++n) {
            out.push_back(local[nextPeer++ % local.size()]);
        }
        return out;
    }

    /// The first watcher of each other data centre.
    std::vector<Instance> remoteWatchers(std::span<const MemberView> all) const
    {
        std::vector<Instance> out;
        std::set<std::string, std::less<>> seen{options.self.dataCentre};
        for (const MemberView &it : all) {
            if (it.state == MemberState::Live && !it.silent && seen.insert(it.instance.dataCentre).second) {
                out.push_back(it.instance);
            }
        }
        return out;
    }

    void spreadUpdates(std::span<const MemberView> all, bool onDuty)
    {
        std::vector<Instance> local = updateReceivers(all);
        std::vector<Instance> remote;
        std::vector<LoadUpdate> drains;
        std::vector<LoadUpdate> updates;
        {
            LockGuard lock(mutex);
            if (onDuty && updateQueue.hasDrains()) {
                remote = remoteWatchers(all);
            }
            const size_t receivers = std::max<size_t>(local.size() + remote.size(), 1);
            const double share = budget.available(TrafficClass::LoadUpdates) / static_cast<double>(receivers);
            const auto overhead = static_cast<double>(wireBytes(EnvelopeBytes));
            const double maxBytes = std::min(share - overhead, static_cast<double>(MaxUpdateBytes));
            if (maxBytes <= 0) {
                return;
            }
            drains = updateQueue.take(UpdateScope::Drains, static_cast<size_t>(maxBytes), clock.now());
            updates = updateQueue.take(UpdateScope::All, static_cast<size_t>(maxBytes), clock.now());
        }
        sendUpdates(remote, drains);
        sendUpdates(local, updates);
    }

    void sendUpdates(std::span<const Instance> to, std::span<const LoadUpdate> updates)
    {
        if (updates.empty()) {
            return;
        }
        size_t bytes = 0;
        for (const LoadUpdate &it : updates) {
            bytes += updateBytes(it);
        }
        for (const Instance &it : to) {
            send(it, TrafficClass::LoadUpdates, LoadUpdateBatch{{updates.begin(), updates.end()}}, bytes);
        }
    }

    /// While this keeper holds no document: requests it from peers and chooses among their answers.
    void recover(std::span<const MemberView> all)
    {
        const TimePoint now = clock.now();
        if (documents.current() || now < nextRequestAt) {
            return;
        }
        nextRequestAt = now + RequestInterval;
        std::set<std::string> asked(options.seeds.begin(), options.seeds.end());
        for (const MemberView &it : all) {
            if (it.instance.name != options.self.name && !it.instance.keeper.empty()
                && asked.size() < MaxRequestedPeers) {
                asked.insert(it.instance.keeper);
            }
        }
        asked.erase(options.self.keeper);
        for (const auto &it : asked) {
            if (budget.take(TrafficClass::Control, wireBytes(EnvelopeBytes))) {
                hooks.send(hooks.peerAt(it), DocumentRequest{0});
            }
        }
        chooseCandidate(asked.size(), now);
    }

    /// Adopts the newest copy once enough peers have answered. Every peer has a known key and holds only documents
    /// that were in the store, so the accepted part of each copy really was accepted. Copies that differ under the
    /// same version are refused.
    void chooseCandidate(size_t asked, TimePoint now)
    {
        std::string source;
        DocumentCopy best;
        {
            LockGuard lock(mutex);
            TimePoint first = now;
            for (const auto &[name, it] : candidates) {
                first = std::min(first, it.at);
                if (it.copy.version == best.version && !source.empty() && it.copy.hash != best.hash) {
                    metrics.countCode("damask_keeper_document_refusals_total", Code::BadConfiguration);
                    logEvent(Severity::Error, "peers-differ",
                             {{"version", best.version}, {"first", source}, {"second", name}});
                    candidates.clear();
                    return;
                }
                if (source.empty() || it.copy.version > best.version) {
                    best = it.copy;
                    source = name;
                }
            }
            const bool enoughAnswers = candidates.size() >= std::min(RequiredAnswers, asked);
            if (source.empty() || (!enoughAnswers && now - first < SecondAnswerTimeout)) {
                return;
            }
            candidates.clear();
        }
        logEvent(Severity::Warning, "document-from-peers", {{"version", best.version}, {"from", source}});
        hooks.adopt(best.document, best.version, source);
    }

    void take(const Message &message, const DocumentCopy &copy)
    {
        if (documents.current()) {
            hooks.adopt(copy.document, copy.version, message.sender);
            return;
        }
        LockGuard lock(mutex);
        candidates[message.sender] = {copy, clock.now()};
    }

    void answer(const WireSource &source, const DocumentRequest &request)
    {
        const auto held = documents.current();
        if (!held || held->versioned.version <= request.version) {
            return;
        }
        if (budget.take(TrafficClass::Control, wireBytes(held->bytes.size() + EnvelopeBytes))) {
            hooks.reply(source, DocumentCopy{held->versioned.version, held->bytes, hashBytes(held->bytes),
                                             hooks.storeReachable()});
        }
    }

    void take(const LoadUpdateBatch &batch)
    {
        hooks.updateLoad(batch.updates);
        std::vector<LoadUpdate> drains;
        for (const LoadUpdate &it : batch.updates) {
            if (it.leaving || it.report.draining) {
                drains.push_back(it); // forwarded: the sender may not reach every keeper that this one reaches
            }
        }
        LockGuard lock(mutex);
        updateQueue.add(drains, clock.now());
    }
};

PeerSync::PeerSync(Clock &clock, Metrics &metrics, const KeeperOptions &options, MemberTable &members,
                   DocumentHolder &documents, PeerSyncHooks hooks)
    : m_state(std::make_unique<State>(clock, metrics, options, members, documents, std::move(hooks)))
{
}

PeerSync::~PeerSync() = default;

void PeerSync::tick(std::span<const MemberView> members, bool onDuty)
{
    m_state->recover(members);
    m_state->push(members);
    m_state->sendHeartbeats(members, onDuty);
    m_state->spreadUpdates(members, onDuty);
}

void PeerSync::requestHeartbeat()
{
    m_state->heartbeatRequested = true;
}

void PeerSync::handleMessage(const WireSource &source, const Message &message)
{
    if (const auto *beat = std::get_if<Heartbeat>(&message.body)) {
        for (const MemberReport &it : beat->members) {
            const bool fromOther = it.instance.name != m_state->options.self.name;
            if (fromOther && m_state->members.applyReport(it)
                && it.instance.dataCentre == m_state->options.self.dataCentre) {
                requestHeartbeat(); // a watcher relays it to the other data centres
            }
        }
    } else if (const auto *copy = std::get_if<DocumentCopy>(&message.body)) {
        m_state->take(message, *copy);
    } else if (const auto *request = std::get_if<DocumentRequest>(&message.body)) {
        m_state->answer(source, *request);
    } else if (const auto *batch = std::get_if<LoadUpdateBatch>(&message.body)) {
        m_state->take(*batch);
    }
}

void PeerSync::queueUpdates(std::span<const LoadUpdate> updates)
{
    LockGuard lock(m_state->mutex);
    m_state->updateQueue.add(updates, m_state->clock.now());
}

void PeerSync::announceLeaving()
{
    const auto all = m_state->members.members();
    const Heartbeat beat = m_state->heartbeat(all, false);
    for (const Instance &it : heartbeatPeers(all, m_state->options.self.name, m_state->options.duty)) {
        m_state->send(it, TrafficClass::Control, beat, State::sizeOf(beat));
    }
}

} // namespace damask
