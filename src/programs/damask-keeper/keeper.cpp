#include "keeper.h"

#include "base/log.h"
#include "base/thread.h"
#include "control/effective_configuration.h"
#include "document_holder.h"
#include "entry_link.h"
#include "member/pause_guard.h"
#include "member_table.h"
#include "peer_sync.h"
#include "process_usage.h"
#include "settings/settings.h"
#include "status.h"
#include "store_sync.h"
#include "ticket_acceptor.h"
#include "wire/document_codec.h"

#include <atomic>

namespace damask {

namespace {

constexpr std::string_view EntryDomain = "entry";
constexpr std::string_view PeerDomain = "peer";
constexpr Duration PauseLimit = std::chrono::seconds(5); // below the time after which others go on without it

int64_t wallClock()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Returns the address for key slot b, which is one port above that of slot a.
std::string slotBAddress(std::string_view address)
{
    const size_t colon = address.rfind(':');
    const auto port = parseNumber(address.substr(colon + 1));
    return port ? std::string(address.substr(0, colon + 1)) + std::to_string(*port + 1) : std::string(address);
}

} // namespace

struct Keeper::State {
    Clock &clock;
    Metrics &metrics;
    KeeperOptions options;
    KeyTable keys;
    MemberTable members;
    PauseGuard pauseGuard;
    DocumentHolder documents;
    EntryLink entry;
    WireNode node;
    StoreSync store;
    PeerSync peers;
    TicketController ticketController;
    TicketAcceptor acceptor;

    RankedMutex mutex{LockRank::Program};
    Condition wake;
    bool stopping = false;      // guarded by mutex
    bool wakeRequested = false; // guarded by mutex
    std::atomic<bool> leaving{false};
    Thread thread;

    State(Clock &clockIn, Metrics &metricsIn, const KeeperOptions &optionsIn)
        : clock(clockIn)
        , metrics(metricsIn)
        , options(optionsIn)
        , members(clockIn, optionsIn.self)
        , pauseGuard(PauseLimit, clockIn.now())
        , documents(metricsIn)
        , entry(clockIn, {.send =
                              [this](const WireSource &to, MessageBody body) {
                                  reply(to, std::move(body));
                              }})
        , node(clockIn, metricsIn, nodeOptions(optionsIn),
               {.receive = [this](const WireSource &from, Message message) { receive(from, message); },
                .admit =
                    [this](std::string_view domain, std::string_view key) {
                        return admit(domain, key);
                    }})
        , store(clockIn, metricsIn, optionsIn, members, storeHooks())
        , peers(clockIn, metricsIn, optionsIn, members, documents, peerHooks())
        , ticketController(metricsIn, operatorDocuments(),
                           {.wallClock = wallClock,
                            .instances =
                                [this] {
                                    return members.instanceViews();
                                }},
                           {.accept = optionsIn.accept})
        , acceptor(clockIn, metricsIn, optionsIn, members, documents, store)
        , wake(clockIn)
    {
        keys.allow(options.slotA.publicKey);
        keys.allow(options.slotB.publicKey);
    }

    static WireNodeOptions nodeOptions(const KeeperOptions &options)
    {
        WireNodeOptions out;
        out.name = options.self.name;
        out.listeners.push_back({options.entryListen, std::string(EntryDomain), options.slotA});
        out.listeners.push_back({options.peerListen, std::string(PeerDomain), options.slotA});
        if (!options.slotB.empty()) {
            out.listeners.push_back({slotBAddress(options.peerListen), std::string(PeerDomain), options.slotB});
        }
        return out;
    }

    StoreSyncHooks storeHooks()
    {
        return {.adopt = [this](VersionedDocument document, std::string bytes,
                                std::string_view source) { adopt(std::move(document), std::move(bytes), source); },
                .codec = {.encode = encodeDocument, .decode = decodeDocument}};
    }

    PeerSyncHooks peerHooks()
    {
        return {.send = [this](const WirePeer &to, MessageBody body) { send(to, std::move(body)); },
                .reply = [this](const WireSource &to, MessageBody body) { reply(to, std::move(body)); },
                .peerAt = [this](std::string_view address) { return peerAt(address); },
                .adopt = [this](std::string_view bytes, uint64_t version,
                                std::string_view source) { adoptBytes(bytes, version, source); },
                .updateLoad = [this](std::span<const LoadUpdate> updates) { entry.sendUpdates(updates); },
                .storeReachable =
                    [this] {
                        return store.reachable();
                    }};
    }

    /// An entry's key is local to its instance, so tickets rotate only the keys between keepers.
    Result<void> admit(std::string_view domain, std::string_view key) const
    {
        if (domain == EntryDomain && key == options.slotA.publicKey) {
            return {};
        }
        return keys.admit(key);
    }

    WirePeer peerAt(std::string_view address) const
    {
        const KeyPair &pair = activeSlot(keys, options.slotA, options.slotB);
        const bool first = &pair == &options.slotA;
        return {first ? std::string(address) : slotBAddress(address), pair.publicKey, pair};
    }

    void countRefusal(const Result<void> &sent)
    {
        if (!sent) {
            metrics.countCode("damask_keeper_send_refusals_total", sent.error().code);
        }
    }

    void send(const WirePeer &to, MessageBody body)
    {
        countRefusal(node.send(to, {options.self.name, options.self.incarnation, std::move(body)}));
    }

    void reply(const WireSource &to, MessageBody body)
    {
        countRefusal(node.reply(to, {options.self.name, options.self.incarnation, std::move(body)}));
    }

    void receive(const WireSource &from, const Message &message)
    {
        if (from.domain != EntryDomain) {
            peers.handleMessage(from, message);
            const auto held = documents.current();
            if (held && held->versioned.document.staged) {
                wakeTick(); // this may have been the last confirmation
            }
            return;
        }
        if (const auto *batch = std::get_if<LoadUpdateBatch>(&message.body)) {
            peers.queueUpdates(batch->updates);
            return;
        }
        if (!pauseGuard.mayAct(clock.now())) {
            return; // the document held here may be out of date; the entry asks again
        }
        const uint64_t before = entry.confirmedRevision();
        entry.handleMessage(from, message);
        if (entry.confirmedRevision() != before) {
            peers.requestHeartbeat();
            wakeTick();
        }
    }

    void adoptBytes(std::string_view bytes, uint64_t version, std::string_view source)
    {
        auto document = decodeDocument(bytes);
        if (!document) {
            metrics.countCode("damask_keeper_document_refusals_total", document.error().code);
            return;
        }
        adopt({std::move(*document), version}, std::string(bytes), source);
    }

    void adopt(VersionedDocument document, std::string bytes, std::string_view source)
    {
        const uint64_t version = document.version;
        const auto adopted = documents.adopt(std::move(document), std::move(bytes), source);
        if (!adopted && adopted.error().code == Code::OlderRevision && fromStore(source)) {
            store.restore(documents.current(), version);
        }
        if (!adopted || *adopted == DocumentChange::None) {
            return;
        }
        const auto held = documents.current();
        if (*adopted == DocumentChange::Effective) {
            logEvent(Severity::Info, "document-adopted",
                     {{"version", held->versioned.version}, {"effective", held->effective}, {"source", source}});
            offerCurrent();
        }
        if (keys.replace(held->versioned.document.accepted.keys)) {
            node.reconnect();
        }
        peers.requestHeartbeat();
        wakeTick();
    }

    static bool fromStore(std::string_view source)
    {
        return source == StoreSource || source == WatchSource;
    }

    /// Refuses a document that is older than the one held here, so that operators' tickets are never based on a store
    /// that was restored to an older state.
    DocumentStore operatorDocuments()
    {
        DocumentStore out = store.documents();
        out.load = [this, load = out.load]() -> Result<VersionedDocument> {
            auto document = load();
            const auto held = documents.current();
            if (!document || !held) {
                return document;
            }
            if (const auto allowed = checkNotOlder(held->effective, document->document); !allowed) {
                return tl::make_unexpected(allowed.error());
            }
            return document;
        };
        return out;
    }

    /// Two threads may adopt at once, so the document to offer is read under the lock that orders the offers.
    void offerCurrent()
    {
        LockGuard lock(mutex);
        const auto held = documents.current();
        if (held->effective > entry.offeredRevision()) {
            entry.offer(held->configuration);
        }
    }

    void wakeTick()
    {
        LockGuard lock(mutex);
        wakeRequested = true;
        wake.notifyAll();
    }

    /// During a pause other instances may have accepted a ticket without this one, so it joins and reads the document
    /// again before it acts.
    void rejoinAfterPause()
    {
        if (pauseGuard.mayAct(clock.now())) {
            return;
        }
        const uint64_t pauses = pauseGuard.pauses();
        store.rejoin([this, pauses] {
            pauseGuard.confirm(pauses);
            logEvent(Severity::Info, "rejoined", {{"pauses", pauses}});
        });
    }

    void tick()
    {
        pauseGuard.tick(clock.now());
        rejoinAfterPause();
        const auto held = documents.current();
        members.updateSelf(entry.confirmedRevision(), held ? held->versioned.version : 0, leaving);
        const auto all = members.members();
        const auto watchers = watchersOf(all, options.self.dataCentre, options.duty);
        const bool onDuty = std::find(watchers.begin(), watchers.end(), options.self.name) != watchers.end();
        store.tick(onDuty && store.joined(), all.size());
        peers.tick(all, onDuty);
        acceptor.tick(all, onDuty && store.joined());
        metrics.gauge("damask_keeper_on_duty").Set(onDuty ? 1 : 0);
        exportProcessUsage(metrics);
    }

    bool waitForNextTick()
    {
        LockGuard lock(mutex);
        const TimePoint until = clock.now() + options.tick;
        while (!stopping && !wakeRequested && wake.waitUntil(lock, until)) { }
        wakeRequested = false;
        return !stopping;
    }

    void run()
    {
        do {
            tick();
        } while (waitForNextTick());
    }
};

Keeper::Keeper(Clock &clock, Metrics &metrics, const KeeperOptions &options)
    : m_state(std::make_unique<State>(clock, metrics, options))
{
}

Keeper::~Keeper()
{
    stop();
}

Result<void> Keeper::start()
{
    if (auto started = m_state->node.start(); !started) {
        return started;
    }
    m_state->thread = Thread("keeper", [this] { m_state->run(); });
    return {};
}

void Keeper::stop()
{
    {
        LockGuard lock(m_state->mutex);
        if (std::exchange(m_state->stopping, true)) {
            return;
        }
        m_state->wake.notifyAll();
    }
    m_state->thread.join();
    m_state->leaving = true;
    m_state->members.updateSelf(m_state->entry.confirmedRevision(), 0, true);
    m_state->peers.announceLeaving();
    m_state->store.stop();
    m_state->node.stop();
}

bool Keeper::ready() const
{
    return m_state->documents.current() != nullptr;
}

std::string Keeper::statusJson() const
{
    return keeperStatusJson({.self = m_state->options.self,
                             .joined = m_state->store.joined(),
                             .storeReachable = m_state->store.reachable(),
                             .document = m_state->documents.current(),
                             .entry = m_state->entry.status(),
                             .decision = m_state->acceptor.decision(),
                             .members = m_state->members.members(),
                             .watchers = allWatchers(m_state->members.members(), m_state->options.duty)});
}

TicketController &Keeper::ticketController()
{
    return m_state->ticketController;
}

std::string Keeper::peerAddress() const
{
    return m_state->node.address(1);
}

std::string Keeper::entryAddress() const
{
    return m_state->node.address(0);
}

} // namespace damask
