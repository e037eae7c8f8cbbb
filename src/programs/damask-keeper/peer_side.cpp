#include "peer_side.h"

#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <set>

namespace damask {

namespace {

constexpr int FullReportEvery = 5;                                // heartbeats
constexpr Duration HurryGap = std::chrono::milliseconds(100);     // between heartbeats sent early
constexpr Duration PushGap = std::chrono::seconds(1);             // before a copy is sent again
constexpr Duration StandInDelay = std::chrono::milliseconds(700); // by which a lower rank pushes later
constexpr Duration AskGap = std::chrono::seconds(1);              // between requests to peers at the start
constexpr Duration AnswerWait = std::chrono::seconds(2);          // for a second answer at the start
constexpr size_t AskedPeers = 5;                                  // at the start
constexpr size_t ProofAnswers = 2;                                // that agree, when there are as many
constexpr size_t EnvelopeBytes = 60;                              // of a message, beside its body
constexpr size_t MostNewsBytes = 4096;                            // in one message

/// What a peer answered to an instance that starts without the store.
struct Candidate {
    DocumentCopy copy;
    TimePoint at;
};

} // namespace

struct PeerSide::State {
    Clock &clock;
    Metrics &metrics;
    KeeperOptions options;
    MemberTable &members;
    DocumentHolder &documents;
    PeerSideHooks hooks;
    SendBudget budget;

    mutable RankedMutex mutex{LockRank::Control};
    NewsBoard board;                             // guarded by mutex
    std::map<std::string, Candidate> candidates; // by sender; guarded by mutex
    std::map<std::string, TimePoint> pushedAt;   // by instance; ticking thread alone
    std::map<std::string, uint64_t> pushed;      // version by instance; ticking thread alone
    std::atomic<bool> hurried{false};
    uint64_t heldVersion = 0; // ticking thread alone
    TimePoint heldSince;      // ticking thread alone
    TimePoint beatAt;         // ticking thread alone
    TimePoint lastBeat;       // ticking thread alone
    TimePoint askAt;          // ticking thread alone
    uint64_t beats = 0;       // ticking thread alone
    size_t nextPeer = 0;      // of the rotation of news; ticking thread alone

    State(Clock &clockIn, Metrics &metricsIn, const KeeperOptions &optionsIn, MemberTable &membersIn,
          DocumentHolder &documentsIn, PeerSideHooks hooksIn)
        : clock(clockIn)
        , metrics(metricsIn)
        , options(optionsIn)
        , members(membersIn)
        , documents(documentsIn)
        , hooks(std::move(hooksIn))
        , budget(clockIn, metricsIn, optionsIn.budget)
    {
    }

    /// Sends within the budget; false: it was spent, and nothing went out.
    bool send(const Instance &to, SendKind kind, const MessageBody &body, size_t bytes)
    {
        if (to.keeper.empty() || !budget.take(kind, wireBytes(bytes + EnvelopeBytes))) {
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

    /// Own report first; a watcher adds those of its data centre for the watchers of the others.
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

    void beat(std::span<const MemberView> all, bool onDuty)
    {
        const TimePoint now = clock.now();
        const bool early = hurried && now - lastBeat >= HurryGap;
        if (now < beatAt && !early) {
            return;
        }
        hurried = false;
        lastBeat = now;
        beatAt = now + options.heartbeat;
        const bool full = onDuty && (early || ++beats % FullReportEvery == 0);
        const Heartbeat own = heartbeat(all, false);
        const Heartbeat wide = full ? heartbeat(all, true) : own;
        for (const Instance &it : heartbeatPeers(all, options.self.name, options.duty)) {
            const Heartbeat &message = it.dataCentre == options.self.dataCentre ? own : wide;
            send(it, SendKind::Control, message, sizeOf(message));
        }
    }

    /// The watchers of a data centre share its keepers out, and stand in for each other after a while: each keeper
    /// that holds an older document gets it.
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
            const bool mine = n++ % watchers.size() == rank;
            const bool due = mine || now >= heldSince + StandInDelay;
            if (due && it.instance.name != options.self.name && it.version < heldVersion) {
                pushTo(it, *held, now);
            }
        }
    }

    void pushTo(const MemberView &member, const HeldDocument &held, TimePoint now)
    {
        const std::string &name = member.instance.name;
        if (pushed[name] == heldVersion && now < pushedAt[name] + PushGap) {
            return;
        }
        const DocumentCopy copy{heldVersion, held.bytes, hashBytes(held.bytes), hooks.storeReachable()};
        if (send(member.instance, SendKind::Control, copy, held.bytes.size())) {
            pushed[name] = heldVersion;
            pushedAt[name] = now;
            metrics.count("damask_keeper_pushes_total");
        }
    }

    std::vector<Instance> newsPeers(std::span<const MemberView> all)
    {
        std::vector<Instance> near;
        for (const MemberView &it : all) {
            if (it.instance.dataCentre == options.self.dataCentre && it.instance.name != options.self.name
                && it.state != MemberState::Gone && !it.silent) {
                near.push_back(it.instance);
            }
        }
        std::vector<Instance> out;
        for (size_t n = 0; n < std::min(options.newsFanOut, near.size()); ++n) {
            out.push_back(near[nextPeer++ % near.size()]);
        }
        return out;
    }

    /// The first watcher of each other data centre.
    std::vector<Instance> farWatchers(std::span<const MemberView> all) const
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

    void tellNews(std::span<const MemberView> all, bool onDuty)
    {
        std::vector<Instance> near = newsPeers(all);
        std::vector<Instance> far;
        std::vector<LoadUpdate> drains;
        std::vector<LoadUpdate> updates;
        {
            LockGuard lock(mutex);
            if (onDuty && board.hasDrains()) {
                far = farWatchers(all);
            }
            const size_t receivers = std::max<size_t>(near.size() + far.size(), 1);
            const double share = budget.left(SendKind::News) / static_cast<double>(receivers);
            const auto overhead = static_cast<double>(wireBytes(EnvelopeBytes));
            const double room = std::min(share - overhead, static_cast<double>(MostNewsBytes));
            if (room <= 0) {
                return;
            }
            drains = board.take(NewsScope::Drains, static_cast<size_t>(room), clock.now());
            updates = board.take(NewsScope::All, static_cast<size_t>(room), clock.now());
        }
        sendNews(far, drains);
        sendNews(near, updates);
    }

    void sendNews(std::span<const Instance> to, std::span<const LoadUpdate> updates)
    {
        if (updates.empty()) {
            return;
        }
        size_t bytes = 0;
        for (const LoadUpdate &it : updates) {
            bytes += newsBytes(it);
        }
        for (const Instance &it : to) {
            send(it, SendKind::News, LoadUpdateBatch{{updates.begin(), updates.end()}}, bytes);
        }
    }

    /// Without the store and without a document: asks peers, and takes what they prove to be accepted.
    void recover(std::span<const MemberView> all)
    {
        const TimePoint now = clock.now();
        if (documents.current() || now < askAt) {
            return;
        }
        askAt = now + AskGap;
        std::set<std::string> asked(options.seeds.begin(), options.seeds.end());
        for (const MemberView &it : all) {
            if (it.instance.name != options.self.name && !it.instance.keeper.empty() && asked.size() < AskedPeers) {
                asked.insert(it.instance.keeper);
            }
        }
        asked.erase(options.self.keeper);
        for (const auto &it : asked) {
            if (budget.take(SendKind::Control, wireBytes(EnvelopeBytes))) {
                hooks.send(hooks.peerAt(it), DocumentRequest{0});
            }
        }
        choose(asked.size(), now);
    }

    /// The newest copy wins once enough peers have answered. All peers hold a known key and hold only documents that
    /// the store has had, so that each copy's accepted part was accepted; two that differ under one version are
    /// refused.
    void choose(size_t asked, TimePoint now)
    {
        std::string who;
        DocumentCopy best;
        {
            LockGuard lock(mutex);
            TimePoint first = now;
            for (const auto &[name, it] : candidates) {
                first = std::min(first, it.at);
                if (it.copy.version == best.version && !who.empty() && it.copy.hash != best.hash) {
                    metrics.countCode("damask_keeper_document_refusals_total", Code::BadConfiguration);
                    logEvent(Severity::Error, "peers-differ",
                             {{"version", best.version}, {"first", who}, {"second", name}});
                    candidates.clear();
                    return;
                }
                if (who.empty() || it.copy.version > best.version) {
                    best = it.copy;
                    who = name;
                }
            }
            const bool proven = candidates.size() >= std::min(ProofAnswers, asked);
            if (who.empty() || (!proven && now - first < AnswerWait)) {
                return;
            }
            candidates.clear();
        }
        logEvent(Severity::Warning, "document-from-peers", {{"version", best.version}, {"from", who}});
        hooks.adopt(best.document, best.version, who);
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
        if (budget.take(SendKind::Control, wireBytes(held->bytes.size() + EnvelopeBytes))) {
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
                drains.push_back(it); // passed on: the sender may not reach all that we reach
            }
        }
        LockGuard lock(mutex);
        board.put(drains, clock.now());
    }
};

PeerSide::PeerSide(Clock &clock, Metrics &metrics, const KeeperOptions &options, MemberTable &members,
                   DocumentHolder &documents, PeerSideHooks hooks)
    : m_state(std::make_unique<State>(clock, metrics, options, members, documents, std::move(hooks)))
{
}

PeerSide::~PeerSide() = default;

void PeerSide::tick(std::span<const MemberView> members, bool onDuty)
{
    m_state->recover(members);
    m_state->push(members);
    m_state->beat(members, onDuty);
    m_state->tellNews(members, onDuty);
}

void PeerSide::hurry()
{
    m_state->hurried = true;
}

void PeerSide::hear(const WireSource &source, const Message &message)
{
    if (const auto *beat = std::get_if<Heartbeat>(&message.body)) {
        for (const MemberReport &it : beat->members) {
            const bool others = it.instance.name != m_state->options.self.name;
            if (others && m_state->members.hear(it) && it.instance.dataCentre == m_state->options.self.dataCentre) {
                hurry(); // a watcher tells the other data centres
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

void PeerSide::takeNews(std::span<const LoadUpdate> updates)
{
    LockGuard lock(m_state->mutex);
    m_state->board.put(updates, m_state->clock.now());
}

void PeerSide::sayGoodbye()
{
    const auto all = m_state->members.members();
    const Heartbeat beat = m_state->heartbeat(all, false);
    for (const Instance &it : heartbeatPeers(all, m_state->options.self.name, m_state->options.duty)) {
        m_state->send(it, SendKind::Control, beat, State::sizeOf(beat));
    }
}

} // namespace damask
