#include "keeper.h"

#include "acceptor.h"
#include "accounting.h"
#include "base/log.h"
#include "base/thread.h"
#include "control/effective_configuration.h"
#include "document_holder.h"
#include "entry_port.h"
#include "member/pause_guard.h"
#include "member_table.h"
#include "peer_side.h"
#include "settings/settings.h"
#include "status.h"
#include "store_side.h"
#include "wire/document_codec.h"

#include <atomic>

namespace damask {

namespace {

constexpr std::string_view EntryDomain = "entry";
constexpr std::string_view PeerDomain = "peer";
constexpr Duration PauseLimit = std::chrono::seconds(5); // below the time after which others pass an instance over

int64_t wallClock()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Key slot b listens one port above slot a.
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
    PauseGuard guard;
    DocumentHolder documents;
    EntryPort entry;
    WireNode node;
    StoreSide store;
    PeerSide peers;
    TicketController desk;
    Acceptor acceptor;

    RankedMutex mutex{LockRank::Program};
    Condition wake;
    bool stopping = false; // guarded by mutex
    bool poked = false;    // guarded by mutex
    std::atomic<bool> leaving{false};
    Thread thread;

    State(Clock &clockIn, Metrics &metricsIn, const KeeperOptions &optionsIn)
        : clock(clockIn)
        , metrics(metricsIn)
        , options(optionsIn)
        , members(clockIn, optionsIn.self)
        , guard(PauseLimit, clockIn.now())
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
        , desk(metricsIn, operatorsDocuments(),
               {.wallClock = wallClock,
                .instances =
                    [this] {
                        return members.views();
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

    StoreSideHooks storeHooks()
    {
        return {.adopt = [this](VersionedDocument document, std::string bytes,
                                std::string_view source) { adopt(std::move(document), std::move(bytes), source); },
                .codec = {.encode = encodeDocument, .decode = decodeDocument}};
    }

    PeerSideHooks peerHooks()
    {
        return {.send = [this](const WirePeer &to, MessageBody body) { send(to, std::move(body)); },
                .reply = [this](const WireSource &to, MessageBody body) { reply(to, std::move(body)); },
                .peerAt = [this](std::string_view address) { return peerAt(address); },
                .adopt = [this](std::string_view bytes, uint64_t version,
                                std::string_view who) { adoptBytes(bytes, version, who); },
                .updateLoad = [this](std::span<const LoadUpdate> updates) { entry.pass(updates); },
                .storeReachable =
                    [this] {
                        return store.reachable();
                    }};
    }

    /// An entry's key is local to its instance, so that only the keys between keepers are rotated by tickets.
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

    void note(const Result<void> &sent)
    {
        if (!sent) {
            metrics.countCode("damask_keeper_send_refusals_total", sent.error().code);
        }
    }

    void send(const WirePeer &to, MessageBody body)
    {
        note(node.send(to, {options.self.name, options.self.incarnation, std::move(body)}));
    }

    void reply(const WireSource &to, MessageBody body)
    {
        note(node.reply(to, {options.self.name, options.self.incarnation, std::move(body)}));
    }

    void receive(const WireSource &from, const Message &message)
    {
        if (from.domain != EntryDomain) {
            peers.hear(from, message);
            const auto held = documents.current();
            if (held && held->versioned.document.staged) {
                poke(); // the last confirmation may have come
            }
            return;
        }
        if (const auto *batch = std::get_if<LoadUpdateBatch>(&message.body)) {
            peers.takeNews(batch->updates);
            return;
        }
        if (!guard.mayAct(clock.now())) {
            return; // what is held here may be out of force: the entry asks again
        }
        const uint64_t before = entry.confirmed();
        entry.hear(from, message);
        if (entry.confirmed() != before) {
            peers.hurry();
            poke();
        }
    }

    void adoptBytes(std::string_view bytes, uint64_t version, std::string_view who)
    {
        auto document = decodeDocument(bytes);
        if (!document) {
            metrics.countCode("damask_keeper_document_refusals_total", document.error().code);
            return;
        }
        adopt({std::move(*document), version}, std::string(bytes), who);
    }

    void adopt(VersionedDocument document, std::string bytes, std::string_view source)
    {
        const uint64_t version = document.version;
        const auto adopted = documents.adopt(std::move(document), std::move(bytes), source);
        if (!adopted && adopted.error().code == Code::OlderRevision && fromStore(source)) {
            store.restore(documents.current(), version);
        }
        if (!adopted || *adopted == Adoption::Same) {
            return;
        }
        const auto held = documents.current();
        if (*adopted == Adoption::Effective) {
            logEvent(Severity::Info, "document-adopted",
                     {{"version", held->versioned.version}, {"effective", held->effective}, {"source", source}});
            offerCurrent();
        }
        if (keys.replace(held->versioned.document.accepted.keys)) {
            node.reconnect();
        }
        peers.hurry();
        poke();
    }

    static bool fromStore(std::string_view source)
    {
        return source == StoreSource || source == WatchSource;
    }

    /// Operators' tickets are never built on a state that the store has been put back to.
    DocumentStore operatorsDocuments()
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

    /// Two threads may adopt at once, so what is offered is read under the lock that orders the offers.
    void offerCurrent()
    {
        LockGuard lock(mutex);
        const auto held = documents.current();
        if (held->effective > entry.offered()) {
            entry.offer(held->configuration);
        }
    }

    void poke()
    {
        LockGuard lock(mutex);
        poked = true;
        wake.notifyAll();
    }

    /// After a pause others may have passed this instance over: it joins and reads again before it speaks.
    void rejoinAfterPause()
    {
        if (guard.mayAct(clock.now())) {
            return;
        }
        const uint64_t pauses = guard.pauses();
        store.rejoin([this, pauses] {
            guard.confirm(pauses);
            logEvent(Severity::Info, "rejoined", {{"pauses", pauses}});
        });
    }

    void tick()
    {
        guard.tick(clock.now());
        rejoinAfterPause();
        const auto held = documents.current();
        members.hearSelf(entry.confirmed(), held ? held->versioned.version : 0, leaving);
        const auto all = members.members();
        const auto watchers = watchersOf(all, options.self.dataCentre, options.duty);
        const bool onDuty = std::find(watchers.begin(), watchers.end(), options.self.name) != watchers.end();
        store.tick(onDuty && store.joined(), all.size());
        peers.tick(all, onDuty);
        acceptor.tick(all, onDuty && store.joined());
        metrics.gauge("damask_keeper_on_duty").Set(onDuty ? 1 : 0);
        exportProcessCost(metrics);
    }

    bool pause()
    {
        LockGuard lock(mutex);
        const TimePoint until = clock.now() + options.tick;
        while (!stopping && !poked && wake.waitUntil(lock, until)) { }
        poked = false;
        return !stopping;
    }

    void run()
    {
        do {
            tick();
        } while (pause());
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
    m_state->members.hearSelf(m_state->entry.confirmed(), 0, true);
    m_state->peers.sayGoodbye();
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

TicketController &Keeper::desk()
{
    return m_state->desk;
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
