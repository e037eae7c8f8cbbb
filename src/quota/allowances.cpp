#include "quota/allowances.h"

#include "base/check.h"
#include "base/lock.h"
#include "base/log.h"
#include "base/scope.h"
#include "base/token_bucket.h"

#include <algorithm>
#include <optional>
#include <span>

namespace damask {

namespace {

constexpr TokenBucketOptions LogLines{.perSecond = 5, .burst = 20}; // for each kind of event

} // namespace

struct Allowances::State {
    State(Clock &clockIn, Metrics &metricsIn, const AllowanceOptions &optionsIn, AllowanceHooks hooksIn);

    std::vector<GrantorRequest> dueRequests(TimePoint now);
    void send(std::span<const GrantorRequest> requests);
    AllowanceAnswer waitForToken(std::string_view key, const AllowanceLimit &limit, TimePoint until,
                                 const bool &cancelled);
    std::optional<AllowanceAnswer> takeOrWait(std::string_view key, TimePoint until, const bool &cancelled,
                                              std::vector<GrantorRequest> &due);
    AllowanceAnswer refusal(std::string_view key, const StockExpectation &expected, TimePoint now) const;
    AllowanceGrant grantNow(const AllowanceRequest &request, TimePoint now);
    void publishCounts();
    void logRefusal(std::string_view key, const AllowanceLimit &limit, const AllowanceAnswer &answer);
    void logSilent(std::span<const size_t> silent);

    Clock &clock;
    Metrics &metrics;
    AllowanceOptions options;
    AllowanceHooks hooks;
    mutable RankedMutex mutex{LockRank::Quota};
    Condition changed;                       // tokens arrived, or a call was cancelled
    AllowanceStock stock;                    // under mutex
    std::optional<AllowanceGrantor> grantor; // under mutex; none if this instance is no grantor
    StockCounts published;                   // under mutex
    std::vector<size_t> silent;              // under mutex; still to be logged
    RankedMutex logMutex{LockRank::Leaf};
    TokenBucket refusalLines; // under logMutex
    TokenBucket silentLines;  // under logMutex
    prometheus::Counter &requests;
    prometheus::Counter &received;
    prometheus::Counter &expired;
    prometheus::Counter &timeouts;
    prometheus::Counter &unmatched;
    prometheus::Counter &granted;
    prometheus::Gauge &keys;
};

Allowances::State::State(Clock &clockIn, Metrics &metricsIn, const AllowanceOptions &optionsIn, AllowanceHooks hooksIn)
    : clock(clockIn)
    , metrics(metricsIn)
    , options(optionsIn)
    , hooks(std::move(hooksIn))
    , changed(clockIn)
    , stock(optionsIn.stock)
    , refusalLines(LogLines, clockIn.now())
    , silentLines(LogLines, clockIn.now())
    , requests(metricsIn.counter("damask_quota_requests_total"))
    , received(metricsIn.counter("damask_quota_tokens_received_total"))
    , expired(metricsIn.counter("damask_quota_tokens_expired_total"))
    , timeouts(metricsIn.counter("damask_quota_timeouts_total"))
    , unmatched(metricsIn.counter("damask_quota_unmatched_answers_total"))
    , granted(metricsIn.counter("damask_quota_tokens_granted_total"))
    , keys(metricsIn.gauge("damask_quota_keys"))
{
    if (options.stock.own) {
        options.grantor.grantors = options.stock.grantors;
        grantor.emplace(options.grantor, clock.now());
    }
}

/// The requests to other grantors. Those to this instance are answered here. The caller holds the mutex.
std::vector<GrantorRequest> Allowances::State::dueRequests(TimePoint now)
{
    std::vector<GrantorRequest> out;
    for (bool served = true; served;) { // an answer of this instance may lead to requests to others
        served = false;
        for (GrantorRequest &it : stock.dueRequests(now)) {
            if (grantor && it.grantor == options.stock.own) {
                stock.receive(grantNow(it.request, now), now);
                served = true;
            } else {
                out.push_back(std::move(it));
            }
        }
    }
    publishCounts();
    return out;
}

/// The caller holds the mutex.
AllowanceGrant Allowances::State::grantNow(const AllowanceRequest &request, TimePoint now)
{
    const uint64_t before = grantor->tokensGranted();
    AllowanceGrant out = grantor->grant(request, now);
    granted.Increment(static_cast<double>(grantor->tokensGranted() - before));
    return out;
}

/// The caller holds the mutex.
void Allowances::State::publishCounts()
{
    const StockCounts &now = stock.counts();
    requests.Increment(static_cast<double>(now.requests - published.requests));
    received.Increment(static_cast<double>(now.received - published.received));
    expired.Increment(static_cast<double>(now.expired - published.expired));
    timeouts.Increment(static_cast<double>(now.timeouts - published.timeouts));
    unmatched.Increment(static_cast<double>(now.unmatched - published.unmatched));
    keys.Set(static_cast<double>(stock.keys()));
    published = now;
    const std::vector<size_t> more = stock.takeSilent();
    silent.insert(silent.end(), more.begin(), more.end());
}

/// The caller does not hold the mutex.
void Allowances::State::send(std::span<const GrantorRequest> due)
{
    for (const GrantorRequest &it : due) {
        hooks.send(it.grantor, it.request);
    }
}

AllowanceAnswer Allowances::State::waitForToken(std::string_view key, const AllowanceLimit &limit, TimePoint until,
                                                const bool &cancelled)
{
    {
        LockGuard lock(mutex);
        const TimePoint now = clock.now();
        stock.startWait(key, limit, now);
        until = std::min(until, now + options.stock.patience * static_cast<int64_t>(options.stock.grantors));
    }
    const ScopeGuard waitEnds([&] {
        LockGuard lock(mutex);
        stock.endWait(key);
    });
    while (true) {
        std::vector<GrantorRequest> due;
        if (const auto answer = takeOrWait(key, until, cancelled, due)) {
            return *answer;
        }
        send(due);
    }
}

/// Waits until the call has its answer, or until requests have to be sent first: then it returns none.
std::optional<AllowanceAnswer> Allowances::State::takeOrWait(std::string_view key, TimePoint until,
                                                             const bool &cancelled, std::vector<GrantorRequest> &due)
{
    LockGuard lock(mutex);
    while (true) {
        const TimePoint now = clock.now();
        if (const auto expiresAt = stock.takeForWaiting(key, now)) {
            return AllowanceAnswer{.usage = stock.usage(key, now), .expiresAt = *expiresAt};
        }
        if (cancelled) {
            return AllowanceAnswer{.code = Code::Cancelled};
        }
        StockExpectation expected = stock.expectation(key, now);
        due = dueRequests(now);
        if (stock.has(key, now)) {
            continue; // this instance granted it
        }
        if (!due.empty()) {
            return std::nullopt;
        }
        expected = stock.expectation(key, now);
        if (expected.outlook != StockOutlook::Waiting) {
            return refusal(key, expected, now);
        }
        if (expected.isEmpty && (now >= until || expected.at > until)) { // the token would come too late
            return refusal(key, {StockOutlook::Empty, expected.at}, now);
        }
        if (now >= until) {
            return refusal(key, {StockOutlook::Unavailable, now}, now);
        }
        changed.waitUntil(lock, std::min(until, expected.at));
    }
}

/// The caller holds the mutex.
AllowanceAnswer Allowances::State::refusal(std::string_view key, const StockExpectation &expected, TimePoint now) const
{
    return {.code = expected.outlook == StockOutlook::Empty ? Code::QuotaExceeded : Code::QuotaUnavailable,
            .retryAfter = std::max(expected.at - now, Duration(0)),
            .usage = stock.usage(key, now)};
}

void Allowances::State::logRefusal(std::string_view key, const AllowanceLimit &limit, const AllowanceAnswer &answer)
{
    {
        LockGuard lock(logMutex);
        if (!refusalLines.take(1, clock.now())) {
            return;
        }
    }
    logEvent(Severity::Info, "quota-refused",
             {{"key", key},
              {"code", codeNumber(answer.code)},
              {"retryAfterMs", toMilliseconds(answer.retryAfter)},
              {"usage", answer.usage},
              {"perSecond", limit.perSecond},
              {"burst", limit.burst},
              {"version", limit.version}});
}

void Allowances::State::logSilent(std::span<const size_t> which)
{
    for (const size_t n : which) {
        {
            LockGuard lock(logMutex);
            if (!silentLines.take(1, clock.now())) {
                return;
            }
        }
        logEvent(Severity::Warning, "quota-grantor-silent",
                 {{"grantor", static_cast<uint64_t>(n)}, {"patienceMs", toMilliseconds(options.stock.patience)}});
    }
}

Allowances::Allowances(Clock &clock, Metrics &metrics, const AllowanceOptions &options, AllowanceHooks hooks)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(hooks)))
{
}

Allowances::~Allowances() = default;

AllowanceAnswer Allowances::take(std::string_view key, const AllowanceLimit &limit, TimePoint until,
                                 CancelToken &cancel)
{
    State &state = *m_state;
    std::vector<GrantorRequest> due;
    AllowanceAnswer answer;
    bool taken = false;
    {
        LockGuard lock(state.mutex);
        const TimePoint now = state.clock.now();
        if (const auto expiresAt = state.stock.take(key, limit, now)) {
            answer = {.usage = state.stock.usage(key, now), .expiresAt = *expiresAt};
            due = state.dueRequests(now);
            taken = true;
        }
    }
    state.send(due);
    if (!taken) {
        bool cancelled = false; // under the mutex: the token's own lock has a lower rank
        const uint64_t id = cancel.onCancel([&state, &cancelled] {
            LockGuard lock(state.mutex);
            cancelled = true;
            state.changed.notifyAll();
        });
        const ScopeGuard callbackEnds([&] { cancel.removeCallback(id); });
        answer = state.waitForToken(key, limit, until, cancelled);
    }
    state.metrics.countCode("damask_quota_takes_total", answer.code);
    if (answer.code == Code::QuotaExceeded || answer.code == Code::QuotaUnavailable) {
        state.logRefusal(key, limit, answer);
    }
    std::vector<size_t> silent;
    {
        LockGuard lock(state.mutex);
        silent.swap(state.silent);
    }
    state.logSilent(silent);
    return answer;
}

bool Allowances::has(std::string_view key) const
{
    LockGuard lock(m_state->mutex);
    return m_state->stock.has(key, m_state->clock.now());
}

std::optional<TimePoint> Allowances::tryTake(std::string_view key, const AllowanceLimit &limit)
{
    std::vector<GrantorRequest> due;
    std::optional<TimePoint> taken;
    {
        LockGuard lock(m_state->mutex);
        const TimePoint now = m_state->clock.now();
        taken = m_state->stock.take(key, limit, now);
        due = m_state->dueRequests(now);
    }
    m_state->send(due);
    return taken;
}

void Allowances::want(std::string_view key, const AllowanceLimit &limit)
{
    std::vector<GrantorRequest> due;
    {
        LockGuard lock(m_state->mutex);
        const TimePoint now = m_state->clock.now();
        m_state->stock.want(key, limit, now);
        due = m_state->dueRequests(now);
    }
    m_state->send(due);
}

void Allowances::giveBack(std::string_view key, TimePoint expiresAt)
{
    LockGuard lock(m_state->mutex);
    m_state->stock.giveBack(key, expiresAt, m_state->clock.now());
    m_state->changed.notifyAll();
}

KeyState Allowances::state(std::string_view key) const
{
    LockGuard lock(m_state->mutex);
    return m_state->stock.state(key, m_state->clock.now());
}

double Allowances::usage(std::string_view key) const
{
    LockGuard lock(m_state->mutex);
    return m_state->stock.usage(key, m_state->clock.now());
}

AllowanceGrant Allowances::grant(const AllowanceRequest &request)
{
    LockGuard lock(m_state->mutex);
    if (!m_state->grantor) {
        return {.number = request.number, .shares = {}};
    }
    return m_state->grantNow(request, m_state->clock.now());
}

void Allowances::receive(const AllowanceGrant &grant)
{
    std::vector<GrantorRequest> due;
    {
        LockGuard lock(m_state->mutex);
        const TimePoint now = m_state->clock.now();
        m_state->stock.receive(grant, now);
        due = m_state->dueRequests(now);
        m_state->changed.notifyAll();
    }
    m_state->send(due);
}

void Allowances::updateLimit(std::string_view key, const AllowanceLimit &limit)
{
    LockGuard lock(m_state->mutex);
    if (m_state->grantor) {
        m_state->grantor->updateLimit(key, limit, m_state->clock.now());
    }
}

AllowanceStatus Allowances::status() const
{
    LockGuard lock(m_state->mutex);
    AllowanceStatus out;
    out.keys = m_state->stock.keys();
    if (m_state->grantor) {
        out.grantedKeys = m_state->grantor->keys();
        out.tokensGranted = m_state->grantor->tokensGranted();
    }
    for (size_t n = 0; n < m_state->options.stock.grantors; ++n) {
        out.grantors.push_back(m_state->stock.grantor(n, m_state->clock.now()));
    }
    return out;
}

} // namespace damask
