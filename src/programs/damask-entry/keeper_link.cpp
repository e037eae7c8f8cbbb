#include "keeper_link.h"

#include "base/log.h"
#include "base/thread.h"
#include "member/pause_guard.h"
#include "wire/node.h"

#include <atomic>

namespace damask {

namespace {

constexpr Duration HelloInterval = std::chrono::seconds(1);

} // namespace

struct KeeperLink::State {
    Clock &clock;
    Metrics &metrics;
    KeeperLinkOptions options;
    KeeperLinkHooks hooks;
    uint64_t incarnation = 0; // of this process
    std::atomic<TimePoint> heardAt;
    std::atomic<uint64_t> revision{0}; // of the applied configuration
    std::atomic<uint64_t> offer{0};    // number of the last applied offer
    PauseGuard guard;
    std::atomic<uint64_t> pausesAtLastHello{0}; // pauses detected before the last hello

    RankedMutex mutex{LockRank::Program};
    Condition wake;
    bool stopping = true; // guarded by mutex
    Thread thread;
    WireNode node;

    State(Clock &clockIn, Metrics &metricsIn, const KeeperLinkOptions &optionsIn, KeeperLinkHooks hooksIn)
        : clock(clockIn)
        , metrics(metricsIn)
        , options(optionsIn)
        , hooks(std::move(hooksIn))
        , incarnation(static_cast<uint64_t>(clockIn.now().time_since_epoch().count()))
        , heardAt(clockIn.now())
        , guard(optionsIn.pauseLimit, clockIn.now())
        , wake(clockIn)
        , node(clockIn, metricsIn, {.name = optionsIn.instance, .listeners = {}},
               {.receive = [this](const WireSource &, Message message) { receive(std::move(message)); }, .admit = {}})
    {
    }

    void send(MessageBody body)
    {
        const WirePeer keeper{
            .address = options.keeper,
            .serverKey = options.serverKey,
            .key = {.publicKey = options.publicKey, .secretKey = options.secretKey},
        };
        const auto sent = node.send(keeper, {options.instance, incarnation, std::move(body)});
        if (!sent) {
            metrics.countCode("damask_keeper_link_refusals_total", sent.error().code);
        }
    }

    void receive(Message message)
    {
        heardAt = clock.now();
        if (const auto *offered = std::get_if<ConfigurationOffer>(&message.body)) {
            applyOffer(*offered);
        } else if (const auto *batch = std::get_if<LoadUpdateBatch>(&message.body)) {
            hooks.updateLoad(batch->updates);
        }
    }

    /// Never applies an offer older than the configuration in force, whoever sends it.
    void applyOffer(const ConfigurationOffer &offered)
    {
        if (offered.configuration->revision < revision) {
            metrics.countCode("damask_keeper_link_refusals_total", Code::OlderRevision);
            logEvent(Severity::Error, "offer-refused",
                     {{"code", codeNumber(Code::OlderRevision)},
                      {"revision", offered.configuration->revision},
                      {"inForce", revision.load()}});
            return;
        }
        hooks.apply(offered.configuration);
        revision = offered.configuration->revision;
        offer = offered.offer;
        guard.confirm(pausesAtLastHello);
        metrics.gauge("damask_configuration_revision").Set(static_cast<double>(offered.configuration->revision));
        send(OfferApplied{offered.offer, offered.configuration->revision});
    }

    void sendLoadUpdates()
    {
        LoadUpdateBatch batch{hooks.loadSnapshot()};
        if (!batch.updates.empty()) {
            send(std::move(batch));
        }
    }

    bool needsHello() const
    {
        return guard.pauses() != pausesAtLastHello;
    }

    /// After a pause, reports revision 0, so that the keeper offers the configuration in force.
    void sendHello()
    {
        const bool upToDate = guard.mayAct(clock.now());
        pausesAtLastHello = guard.pauses();
        if (!upToDate) {
            logEvent(Severity::Warning, "pause-noticed", {{"pauses", pausesAtLastHello.load()}});
        }
        send(EntryHello{upToDate ? revision.load() : 0, offer});
    }

    void run()
    {
        TimePoint helloAt = clock.now();
        LockGuard lock(mutex);
        while (!stopping) {
            const TimePoint now = clock.now();
            guard.tick(now);
            if (now >= helloAt || needsHello()) {
                sendHello();
                helloAt = now + HelloInterval;
            }
            sendLoadUpdates();
            const TimePoint until = now + options.loadUpdateInterval;
            while (!stopping && wake.waitUntil(lock, until)) { }
        }
    }
};

KeeperLink::KeeperLink(Clock &clock, Metrics &metrics, const KeeperLinkOptions &options, KeeperLinkHooks hooks)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(hooks)))
{
}

KeeperLink::~KeeperLink()
{
    stop();
}

void KeeperLink::start()
{
    const auto started = m_state->node.start();
    if (!started) {
        logEvent(Severity::Error, "keeper-link-failed", {{"reason", started.error().detail}});
        return;
    }
    m_state->stopping = false;
    m_state->thread = Thread("keeper-link", [this] { m_state->run(); });
}

void KeeperLink::stop()
{
    {
        LockGuard lock(m_state->mutex);
        m_state->stopping = true;
        m_state->wake.notifyAll();
    }
    m_state->thread.join();
    m_state->node.stop();
}

bool KeeperLink::mayAct()
{
    return m_state->guard.mayAct(m_state->clock.now());
}

Duration KeeperLink::silence() const
{
    return m_state->clock.now() - m_state->heardAt.load();
}

} // namespace damask
