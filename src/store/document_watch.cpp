#include "store/document_watch.h"

#include "base/log.h"
#include "base/thread.h"

namespace damask {

struct DocumentWatch::State {
    Clock &clock;
    Metrics &metrics;
    StoreClient &client;
    DocumentCodec codec;
    DocumentWatchHooks hooks;
    Backoff backoff;
    mutable RankedMutex mutex{LockRank::Store};
    Condition wake;
    std::shared_ptr<CancelToken> cancel; // of the current run; guarded by mutex
    Thread thread;

    State(Clock &clockIn, Metrics &metricsIn, StoreClient &clientIn, DocumentCodec codecIn, DocumentWatchHooks hooksIn,
          const BackoffOptions &options)
        : clock(clockIn)
        , metrics(metricsIn)
        , client(clientIn)
        , codec(std::move(codecIn))
        , hooks(std::move(hooksIn))
        , backoff(options, hooks.random ? hooks.random : systemRandom())
        , wake(clockIn)
    {
    }

    void deliver(const StoreEntry &entry) const
    {
        auto document = readDocument(entry, metrics, codec);
        if (document) {
            hooks.changed(std::move(*document), entry.value);
        }
    }

    /// Reads the key and returns the first revision that the watch must report; 0 when the read failed.
    uint64_t readCurrent() const
    {
        const auto entry = client.get(DocumentKey);
        if (entry) {
            deliver(*entry);
            return entry->version + 1;
        }
        if (entry.error().code != Code::NotFound) {
            return 0;
        }
        deliverEmpty();
        return 1;
    }

    void deliverEmpty() const
    {
        hooks.changed(VersionedDocument{}, codec.encode(ControlDocument{}));
    }

    void readAndWatch(CancelToken &token)
    {
        const uint64_t from = readCurrent();
        if (from == 0 || token.cancelled()) {
            return;
        }
        const StoreWatch watch{
            .key = std::string(DocumentKey),
            .fromRevision = from,
            .changed =
                [this](const StoreEvent &event) {
                    if (event.entry) {
                        deliver(*event.entry);
                    } else {
                        deliverEmpty();
                    }
                },
            .alive = [this] { backoff.reset(); },
        };
        const auto ended = client.watch(watch, token);
        if (!ended && ended.error().code != Code::Cancelled) {
            logEvent(Severity::Warning, "watch-ended",
                     {{"code", codeNumber(ended.error().code)}, {"reason", ended.error().detail}});
        }
    }

    void run(const std::shared_ptr<CancelToken> &token)
    {
        while (!token->cancelled()) {
            readAndWatch(*token);
            const TimePoint until = clock.now() + backoff.next();
            LockGuard lock(mutex);
            while (cancel == token && wake.waitUntil(lock, until)) { }
        }
    }
};

DocumentWatch::DocumentWatch(Clock &clock, Metrics &metrics, StoreClient &client, DocumentCodec codec,
                             DocumentWatchHooks hooks, const BackoffOptions &backoff)
    : m_state(std::make_unique<State>(clock, metrics, client, std::move(codec), std::move(hooks), backoff))
{
}

DocumentWatch::~DocumentWatch()
{
    stop();
}

void DocumentWatch::start()
{
    if (running()) {
        return;
    }
    m_state->thread.join();
    auto token = std::make_shared<CancelToken>();
    {
        LockGuard lock(m_state->mutex);
        m_state->cancel = token;
    }
    m_state->thread = Thread("store-watch", [state = m_state.get(), token] { state->run(token); });
}

void DocumentWatch::stop()
{
    std::shared_ptr<CancelToken> token;
    {
        LockGuard lock(m_state->mutex);
        token = std::exchange(m_state->cancel, nullptr);
        m_state->wake.notifyAll();
    }
    if (token) {
        token->cancel();
    }
    m_state->thread.join();
}

bool DocumentWatch::running() const
{
    LockGuard lock(m_state->mutex);
    return m_state->cancel != nullptr;
}

} // namespace damask
