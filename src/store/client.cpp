#include "store/client.h"

#include "base/check.h"
#include "base/log.h"
#include "http/exchange.h"

#include <algorithm>
#include <atomic>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace damask {

namespace {

constexpr size_t MaxReplyBytes = 8 * 1024 * 1024;
constexpr size_t MinPollBytes = 1024 * 1024; // of the reply to a long poll, even where a list is smaller
constexpr int KeepAliveIntervalSeconds = 1;  // idle time before the first keep-alive probe, and between probes
constexpr int KeepAliveProbes = 2;           // unanswered probes after which the system closes the connection
constexpr unsigned UserTimeoutMs = 2000;     // limit for unacknowledged data (TCP_USER_TIMEOUT)
constexpr int HttpOk = 200;                  // HTTP status
constexpr int FirstClientError = 400;        // HTTP 4xx: the store understood the call and did not execute it
constexpr int TooManyRequests = 429;         // the store's rate limit is exhausted
constexpr int FirstServerError = 500;

/// Determines the result of a call whose reply is lost: StoreUnavailable for reads, StoreUnknown for writes.
enum class CallKind {
    Read,  // has no effect
    Write, // may have taken effect
};

/// A long poll receives nothing for a long time, so only TCP keep-alive can detect that the connection is lost.
void setKeepAlive(int socket)
{
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIntervalSeconds, sizeof KeepAliveIntervalSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveIntervalSeconds, sizeof KeepAliveIntervalSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes, sizeof KeepAliveProbes);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs, sizeof UserTimeoutMs);
}

std::string requestHead(const StoreCall &call, const StoreOptions &to)
{
    std::string out = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + to.address + ":" + std::to_string(to.port)
                      + "\r\nConnection: close\r\n";
    if (!call.body.empty()) {
        out += "Content-Type: application/json\r\n";
    }
    if (!call.body.empty() || call.method != "GET") {
        out += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    }
    return out + "\r\n";
}

} // namespace

struct StoreClient::State {
    Clock &clock;
    Metrics &metrics;
    StoreOptions options;
    StoreProtocol protocol;
    std::atomic<bool> reachable{false};
    std::atomic<size_t> listBytes{0};      // of all pages of the last list, as received
    std::atomic<bool> eraMalformed{false}; // in the last reply that had one

    State(Clock &clockIn, Metrics &metricsIn, const StoreOptions &optionsIn, StoreProtocol protocolIn)
        : clock(clockIn)
        , metrics(metricsIn)
        , options(optionsIn)
        , protocol(std::move(protocolIn))
    {
    }

    /// Sends the call over a new connection and reads the reply within the limits of `request`, whose deadline is
    /// `timeout` after the connection is open (Duration::max(): none). StoreUnavailable: nothing was sent. Cancelled by
    /// the token, if there is one.
    Result<ExchangeResult> run(const StoreCall &call, ExchangeRequest request, Duration timeout,
                               CancelToken *cancel) const
    {
        auto opened = Connection::open(options.address, options.port, options.connectTimeout);
        if (!opened) {
            return fail(Code::StoreUnavailable, opened.error().detail);
        }
        const std::shared_ptr<Connection> connection = std::move(*opened);
        setKeepAlive(connection->descriptor());
        const uint64_t callbackId = cancel == nullptr ? 0 : cancel->onCancel([connection] { connection->interrupt(); });
        const std::string head = requestHead(call, options);
        request.method = call.method;
        request.head = head;
        request.body = call.body;
        request.deadline = timeout == Duration::max() ? Never : clock.now() + timeout;
        request.closeEndsBody = true;
        ExchangeResult result = damask::exchange(*connection, clock, request);
        if (cancel != nullptr) {
            cancel->removeCallback(callbackId);
            if (cancel->cancelled()) {
                return fail(Code::Cancelled, "the call was cancelled locally");
            }
        }
        return result;
    }

    /// One exchange over a new connection. The reply must begin within `timeout` after the connection is open, and
    /// arrive at the least rate without a pause of callTimeout: a large one takes long on a slow link.
    Result<StoreReply> exchange(const StoreCall &call, CallKind kind, Duration timeout, CancelToken *cancel,
                                size_t maxBytes) const
    {
        auto result = run(call,
                          {.bytesPerSecond = options.minBytesPerSecond,
                           .maxSilence = options.callTimeout,
                           .maxResponseBytes = maxBytes},
                          timeout, cancel);
        if (!result) {
            return tl::make_unexpected(result.error());
        }
        const bool isPoll = cancel != nullptr; // no other call can be cancelled
        if (result->code == Code::AnswerTooLarge && isPoll) {
            return fail(Code::StoreHistoryLarge, "more than " + std::to_string(maxBytes) + " bytes");
        }
        if (result->code != Code::Ok) {
            const bool unknown = kind == CallKind::Write && result->bytesSent > 0;
            return fail(unknown ? Code::StoreUnknown : Code::StoreUnavailable, codeName(result->code));
        }
        return StoreReply{result->head.status, std::move(result->body), std::move(result->head.headers)};
    }

    /// Passes on replies that the protocol has to decode: the store executed the call, or understood and refused it.
    Result<StoreReply> checkStatus(StoreReply reply, CallKind kind) const
    {
        const bool clientError =
            reply.status >= FirstClientError && reply.status < FirstServerError && reply.status != TooManyRequests;
        if (reply.status == HttpOk || clientError) {
            return reply;
        }
        const Code code =
            kind == CallKind::Write && reply.status >= FirstServerError ? Code::StoreUnknown : Code::StoreUnavailable;
        return fail(code, "HTTP status " + std::to_string(reply.status));
    }

    /// One call, counted by name and outcome.
    template<class Read>
    auto call(std::string_view name, const StoreCall &call, CallKind kind, const Read &read,
              Duration wait = Duration::zero(), CancelToken *cancel = nullptr, size_t maxBytes = MaxReplyBytes)
        -> decltype(read(StoreReply()))
    {
        auto reply = exchange(call, kind, options.callTimeout + wait, cancel, maxBytes).and_then([&](StoreReply it) {
            return checkStatus(std::move(it), kind);
        });
        if (!reply) {
            recordOutcome(name, reply.error().code);
            return tl::make_unexpected(reply.error());
        }
        auto out = read(*reply);
        const bool unreadableWrite = !out && kind == CallKind::Write && out.error().code == Code::StoreBadValue;
        if (unreadableWrite) {
            out = tl::make_unexpected(Error{Code::StoreUnknown, out.error().detail});
        }
        recordOutcome(name, out ? Code::Ok : out.error().code);
        return out;
    }

    /// The era that a reply names; nullopt without one. A malformed one is counted and logged, and otherwise ignored.
    std::optional<uint64_t> eraOf(const StoreReply &reply)
    {
        if (!protocol.readEra) {
            return std::nullopt;
        }
        const auto era = protocol.readEra(reply);
        const bool malformed = !era && era.error().code != Code::NotFound;
        if (malformed) {
            countUnreadable(1);
        }
        if (malformed && !eraMalformed.exchange(true)) {
            logEvent(Severity::Warning, "store-era-refused", {{"detail", era.error().detail}});
        } else if (era) {
            eraMalformed = false;
        }
        return era ? std::optional(*era) : std::nullopt;
    }

    void countUnreadable(size_t count)
    {
        for (size_t n = 0; n < count; ++n) {
            metrics.count("damask_store_bad_values_total");
        }
    }

    void recordOutcome(std::string_view name, Code code)
    {
        const bool answered = code != Code::StoreUnavailable && code != Code::StoreUnknown && code != Code::Cancelled;
        reachable = answered || (code == Code::Cancelled && reachable);
        metrics.count("damask_store_calls_total", {{"call", name}, {"code", codeName(code)}});
    }

    /// Handles one line of a watch's reply; false ends the watch.
    bool handleWatchLine(std::string_view line, const StoreWatch &watch, Result<void> &outcome)
    {
        const Result<size_t> bad = protocol.readWatchLine(line, watch);
        if (!bad) {
            outcome = tl::make_unexpected(bad.error());
            return false;
        }
        reachable = true;
        countUnreadable(*bad);
        return true;
    }
};

StoreClient::StoreClient(Clock &clock, Metrics &metrics, const StoreOptions &options, StoreProtocol protocol)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(protocol)))
{
}

StoreClient::~StoreClient() = default;

Result<StoreEntry> StoreClient::get(std::string_view key)
{
    State &s = *m_state;
    return s.call("get", s.protocol.get(key), CallKind::Read,
                  [&](const StoreReply &it) { return s.protocol.readGet(key, it); });
}

Result<StoreListing> StoreClient::list(std::string_view prefix, ListFreshness freshness,
                                       const std::function<void(const StoreListing &)> &firstPage)
{
    State &s = *m_state;
    StoreListing out;
    std::string after;
    size_t bytes = 0;
    const auto read = [&](const StoreReply &it) {
        bytes += it.body.size();
        auto page = s.protocol.readList(it);
        if (page) {
            page->era = s.eraOf(it);
        }
        return page;
    };
    do {
        auto page = s.call("list", s.protocol.list(prefix, after, freshness), CallKind::Read, read);
        if (!page) {
            return page;
        }
        // The pages are not a consistent snapshot. Polling continues from the revision of the oldest page, so that no
        // change is missed.
        out.revision = after.empty() ? page->revision : std::min(out.revision, page->revision);
        if (out.era && page->era && page->era != out.era) {
            return fail(Code::StoreUnavailable, "the pages are of different eras of the store");
        }
        out.era = out.era ? out.era : page->era;
        if (firstPage && after.empty() && !page->next.empty()) {
            firstPage(*page);
        }
        s.countUnreadable(page->unreadable);
        std::move(page->entries.begin(), page->entries.end(), std::back_inserter(out.entries));
        after = std::move(page->next);
    } while (!after.empty());
    s.listBytes = bytes;
    return out;
}

Result<StoreChanges> StoreClient::poll(std::string_view prefix, uint64_t after, Duration wait, CancelToken &cancel)
{
    State &s = *m_state;
    DAMASK_ASSERT(s.protocol.poll, "call poll() only with a protocol that has a long poll; otherwise use watch()");
    const size_t maxBytes = std::clamp(2 * s.listBytes.load(), MinPollBytes, MaxReplyBytes);
    const auto read = [&](const StoreReply &it) {
        auto changes = s.protocol.readPoll(it);
        if (changes) {
            changes->era = s.eraOf(it);
        }
        return changes;
    };
    auto out = s.call("poll", s.protocol.poll(prefix, after, wait), CallKind::Read, read, wait, &cancel, maxBytes);
    s.countUnreadable(out ? out->unreadable : 0);
    return out;
}

Result<uint64_t> StoreClient::swap(const StoreSwap &change)
{
    State &s = *m_state;
    if (change.value.size() > s.options.maxValueBytes) {
        s.recordOutcome("txn", Code::StoreTooLarge);
        return fail(Code::StoreTooLarge, std::to_string(change.value.size()) + " bytes");
    }
    const auto read = [&](const StoreReply &it) {
        return s.protocol.readSwap(change, it);
    };
    auto out = s.call("txn", s.protocol.swap(change), CallKind::Write, read);
    if (!out && out.error().code == Code::StoreConflict) {
        s.metrics.countCode("damask_store_refusals_total", Code::StoreConflict);
    }
    return out;
}

Result<uint64_t> StoreClient::put(std::string_view key, std::string_view value, uint64_t lease)
{
    State &s = *m_state;
    if (value.size() > s.options.maxValueBytes) {
        return fail(Code::StoreTooLarge, std::to_string(value.size()) + " bytes");
    }
    return s.call("put", s.protocol.put(key, value, lease), CallKind::Write, s.protocol.readWrite);
}

Result<void> StoreClient::remove(std::string_view key)
{
    State &s = *m_state;
    return s.call("delete", s.protocol.remove(key), CallKind::Write, s.protocol.readWrite).map([](uint64_t) {});
}

Result<uint64_t> StoreClient::grantLease(Duration timeToLive)
{
    State &s = *m_state;
    return s.call("lease-grant", s.protocol.grantLease(timeToLive), CallKind::Write, s.protocol.readGrant);
}

Result<Duration> StoreClient::renewLease(uint64_t lease)
{
    State &s = *m_state;
    return s.call("lease-keepalive", s.protocol.renewLease(lease), CallKind::Write, s.protocol.readRenewal);
}

Result<void> StoreClient::revokeLease(uint64_t lease)
{
    State &s = *m_state;
    return s.call("lease-revoke", s.protocol.revokeLease(lease), CallKind::Write, s.protocol.readWrite)
        .map([](uint64_t) {});
}

Result<void> StoreClient::watch(const StoreWatch &watch, CancelToken &cancel)
{
    State &s = *m_state;
    Result<void> outcome = fail(Code::StoreUnavailable, "the watch ended");
    std::string pending;
    const auto consume = [&](const ResponseHead &head, std::string_view part) {
        if (head.status != HttpOk) {
            outcome = fail(Code::StoreUnavailable, "HTTP status " + std::to_string(head.status));
            return false;
        }
        for (size_t end = part.find('\n'); end != std::string_view::npos; end = part.find('\n')) {
            pending.append(part.substr(0, end));
            part.remove_prefix(end + 1);
            const std::string line = std::exchange(pending, {});
            if (!line.empty() && !s.handleWatchLine(line, watch, outcome)) {
                return false;
            }
        }
        pending.append(part);
        return pending.size() <= MaxReplyBytes && !cancel.cancelled();
    };
    s.metrics.count("damask_store_calls_total", {{"call", "watch"}, {"code", codeName(Code::Ok)}});
    const Duration idle = s.options.watchIdleTimeout;
    const auto result = s.run(s.protocol.watch(watch), {.maxStart = idle, .maxSilence = idle, .consume = consume},
                              Duration::max(), &cancel);
    if (cancel.cancelled()) {
        return fail(Code::Cancelled, watch.key);
    }
    const bool endedByConsume = result && result->code == Code::Cancelled;
    if (!result) {
        outcome = tl::make_unexpected(result.error());
    } else if (result->code != Code::Ok && !endedByConsume) {
        outcome = fail(Code::StoreUnavailable, codeName(result->code));
    }
    s.reachable = false;
    s.metrics.countCode("damask_store_watch_ends_total", outcome.error().code);
    return outcome;
}

Result<std::string> StoreClient::fetch(std::string_view path)
{
    const auto read = [](StoreReply it) {
        return it.status == HttpOk ? Result<std::string>(std::move(it.body))
                                   : fail(Code::StoreUnavailable, "HTTP status " + std::to_string(it.status));
    };
    return m_state->call("instances", {"GET", std::string(path)}, CallKind::Read, read);
}

bool StoreClient::reachable() const
{
    return m_state->reachable;
}

} // namespace damask
