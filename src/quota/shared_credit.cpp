#include "quota/shared_credit.h"

#include "base/lock.h"
#include "base/log.h"
#include "base/random.h"
#include "base/token_bucket.h"
#include "quota/credit_pool.h"

#include <algorithm>
#include <span>
#include <utility>

namespace damask {

namespace {

constexpr TokenBucketOptions LogLines{.perSecond = 5, .burst = 20};

double credits(int64_t amount)
{
    return static_cast<double>(amount) / static_cast<double>(CreditUnit);
}

std::vector<std::string> distinct(std::span<const std::string> addresses)
{
    std::vector<std::string> out;
    for (const std::string &it : addresses) {
        if (std::find(out.begin(), out.end(), it) == out.end()) {
            out.push_back(it);
        }
    }
    return out;
}

CreditLedgerOptions ledgerOptions(const SharedCreditOptions &options, std::span<const std::string> grantors)
{
    const RandomSource random = systemRandom();
    CreditLedgerOptions out{.ratio = options.ratio, .window = options.window, .grantors = grantors.size()};
    const auto own = std::find(grantors.begin(), grantors.end(), options.own);
    if (own != grantors.end()) {
        out.own = static_cast<size_t>(own - grantors.begin());
    }
    out.messageInterval = options.messageInterval;
    out.sender = random();
    out.firstNumber = random() >> 1; // leaves room to rise
    return out;
}

} // namespace

struct SharedCredit::State {
    State(Clock &clockIn, Metrics &metricsIn, const SharedCreditOptions &optionsIn, SharedCreditHooks hooksIn);

    void sendDue();
    std::optional<CreditMessage> dueForOthers(TimePoint now);
    CreditAnswer handle(const CreditRequest &request, TimePoint now);
    void publishCounts(TimePoint now);
    void logAnswer(const CreditRequest &request, const CreditAnswer &answer);
    void logSilent(size_t grantor);
    void logReceipt(const CreditReceipt &receipt);
    bool mayLog();

    Clock &clock;
    Metrics &metrics;
    std::vector<std::string> grantors;
    CreditLedgerOptions options;
    SharedCreditHooks hooks;
    mutable RankedMutex mutex{LockRank::Quota};
    CreditLedger ledger;              // under mutex
    std::optional<CreditPool> pool;   // under mutex; none if this instance is no grantor
    CreditCounts published;           // under mutex
    int64_t publishedPoolExpired = 0; // under mutex
    std::vector<size_t> silent;       // under mutex; still to be logged
    RankedMutex logMutex{LockRank::Leaf};
    TokenBucket logLines; // under logMutex
    prometheus::Counter &earned;
    prometheus::Counter &spent;
    prometheus::Counter &deposited;
    prometheus::Counter &withdrawn;
    prometheus::Counter &expired;
    prometheus::Counter &requests;
    prometheus::Counter &timeouts;
    prometheus::Counter &unmatched;
    prometheus::Counter &accepted;
    prometheus::Counter &granted;
    prometheus::Gauge &held;
};

SharedCredit::State::State(Clock &clockIn, Metrics &metricsIn, const SharedCreditOptions &optionsIn,
                           SharedCreditHooks hooksIn)
    : clock(clockIn)
    , metrics(metricsIn)
    , grantors(distinct(optionsIn.grantors))
    , options(ledgerOptions(optionsIn, grantors))
    , hooks(std::move(hooksIn))
    , ledger(options)
    , logLines(LogLines, clockIn.now())
    , earned(metricsIn.counter("damask_credit_earned_total"))
    , spent(metricsIn.counter("damask_credit_spent_total"))
    , deposited(metricsIn.counter("damask_credit_deposited_total"))
    , withdrawn(metricsIn.counter("damask_credit_withdrawn_total"))
    , expired(metricsIn.counter("damask_credit_expired_total"))
    , requests(metricsIn.counter("damask_credit_requests_total"))
    , timeouts(metricsIn.counter("damask_credit_timeouts_total"))
    , unmatched(metricsIn.counter("damask_credit_unmatched_answers_total"))
    , accepted(metricsIn.counter("damask_credit_accepted_total"))
    , granted(metricsIn.counter("damask_credit_granted_total"))
    , held(metricsIn.gauge("damask_credit_pool"))
{
    if (options.own) {
        pool.emplace(CreditPoolOptions{.window = options.window, .epoch = systemRandom()() | 1U});
    }
}

/// The request to another grantor. One to this instance is answered here. The caller holds the mutex.
std::optional<CreditMessage> SharedCredit::State::dueForOthers(TimePoint now)
{
    auto out = ledger.dueRequest(now);
    if (out && pool && out->grantor == options.own) {
        if (const auto answer = handle(out->request, now); answer.grant) {
            ledger.receive(*answer.grant, now);
        }
        out.reset();
    }
    publishCounts(now);
    return out;
}

/// The caller holds the mutex.
CreditAnswer SharedCredit::State::handle(const CreditRequest &request, TimePoint now)
{
    CreditAnswer out = pool->handle(request, now);
    accepted.Increment(credits(out.deposited));
    granted.Increment(out.granted);
    held.Set(credits(pool->total(now)));
    logAnswer(request, out);
    return out;
}

/// The caller holds the mutex.
void SharedCredit::State::publishCounts(TimePoint now)
{
    const CreditCounts &counts = ledger.counts();
    const int64_t poolExpired = pool ? pool->expired() : 0;
    earned.Increment(credits(counts.earned - published.earned));
    spent.Increment(credits(counts.spent - published.spent));
    deposited.Increment(credits(counts.deposited - published.deposited));
    withdrawn.Increment(credits(counts.withdrawn - published.withdrawn));
    expired.Increment(credits(counts.expired - published.expired + poolExpired - publishedPoolExpired));
    requests.Increment(static_cast<double>(counts.requests - published.requests));
    timeouts.Increment(static_cast<double>(counts.timeouts - published.timeouts));
    unmatched.Increment(static_cast<double>(counts.unmatched - published.unmatched));
    if (pool) {
        held.Set(credits(pool->total(now)));
    }
    published = counts;
    publishedPoolExpired = poolExpired;
    const std::vector<size_t> more = ledger.takeSilent();
    silent.insert(silent.end(), more.begin(), more.end());
}

/// The caller does not hold the mutex.
void SharedCredit::State::sendDue()
{
    std::optional<CreditMessage> due;
    std::vector<size_t> becameSilent;
    {
        LockGuard lock(mutex);
        due = dueForOthers(clock.now());
        becameSilent.swap(silent);
    }
    if (due) {
        hooks.send(grantors.at(due->grantor), due->request);
    }
    for (const size_t it : becameSilent) {
        logSilent(it);
    }
}

bool SharedCredit::State::mayLog()
{
    LockGuard lock(logMutex);
    return logLines.take(1, clock.now());
}

void SharedCredit::State::logSilent(size_t grantor)
{
    if (mayLog()) {
        logEvent(Severity::Warning, "credit-grantor-silent",
                 {{"grantor", grantors.at(grantor)}, {"waitedMs", toMilliseconds(options.messageInterval)}});
    }
}

void SharedCredit::State::logReceipt(const CreditReceipt &receipt)
{
    if (mayLog()) {
        logEvent(Severity::Info, "credit-withdrawn",
                 {{"grantor", grantors.at(receipt.grantor)},
                  {"wanted", static_cast<uint64_t>(receipt.wanted)},
                  {"withdrawn", static_cast<uint64_t>(receipt.withdrawn)},
                  {"roundTripMs", toMilliseconds(receipt.roundTrip)}});
    }
}

/// The caller may hold the mutex.
void SharedCredit::State::logAnswer(const CreditRequest &request, const CreditAnswer &answer)
{
    Code code = answer.code;
    if (code == Code::Ok && answer.granted < answer.wanted) {
        code = Code::CreditExhausted;
    }
    if (code == Code::Ok) {
        return;
    }
    metrics.countCode("damask_credit_refusals_total", code);
    if (mayLog()) {
        logEvent(Severity::Info, "credit-refused",
                 {{"code", codeNumber(code)},
                  {"number", request.number},
                  {"wanted", static_cast<uint64_t>(answer.wanted)},
                  {"granted", static_cast<uint64_t>(answer.granted)},
                  {"deposited", credits(answer.deposited)},
                  {"ignored", credits(answer.ignored)}});
    }
}

SharedCredit::SharedCredit(Clock &clock, Metrics &metrics, const SharedCreditOptions &options, SharedCreditHooks hooks)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(hooks)))
{
}

SharedCredit::~SharedCredit() = default;

void SharedCredit::earn(std::string_view service)
{
    {
        LockGuard lock(m_state->mutex);
        m_state->ledger.earn(service, m_state->clock.now());
    }
    m_state->sendDue();
}

double SharedCredit::balance(std::string_view service)
{
    m_state->sendDue();
    LockGuard lock(m_state->mutex);
    return m_state->ledger.balance(service, m_state->clock.now());
}

bool SharedCredit::tryTake(std::string_view service)
{
    LockGuard lock(m_state->mutex);
    const TimePoint now = m_state->clock.now();
    const bool taken = m_state->ledger.tryTake(service, now);
    m_state->publishCounts(now);
    return taken;
}

void SharedCredit::want(std::string_view service)
{
    {
        LockGuard lock(m_state->mutex);
        m_state->ledger.want(service, m_state->clock.now());
    }
    m_state->sendDue();
}

std::optional<CreditGrant> SharedCredit::grant(const CreditRequest &request)
{
    LockGuard lock(m_state->mutex);
    return m_state->pool ? m_state->handle(request, m_state->clock.now()).grant : std::nullopt;
}

void SharedCredit::receive(const CreditGrant &grant)
{
    std::optional<CreditReceipt> receipt;
    {
        LockGuard lock(m_state->mutex);
        const TimePoint now = m_state->clock.now();
        receipt = m_state->ledger.receive(grant, now);
        m_state->publishCounts(now);
    }
    if (receipt && receipt->wanted > 0) {
        m_state->logReceipt(*receipt);
    }
}

void SharedCredit::appendStatus(std::string &out) const
{
    LockGuard lock(m_state->mutex);
    const TimePoint now = m_state->clock.now();
    const CreditCounts &counts = m_state->ledger.counts();
    out += "{\"earned\": " + std::to_string(credits(counts.earned));
    out += ", \"spent\": " + std::to_string(credits(counts.spent));
    out += ", \"deposited\": " + std::to_string(credits(counts.deposited));
    out += ", \"withdrawn\": " + std::to_string(credits(counts.withdrawn));
    out += ", \"pool\": " + std::to_string(m_state->pool ? credits(m_state->pool->total(now)) : 0);
    out += ", \"grantors\": [";
    for (size_t n = 0; n < m_state->grantors.size(); ++n) {
        out += n == 0 ? "{\"address\": " : ", {\"address\": ";
        appendJsonString(out, m_state->grantors[n]);
        out += ", \"answers\": " + std::string(m_state->ledger.answers(n, now) ? "true}" : "false}");
    }
    out += "]}";
}

} // namespace damask
