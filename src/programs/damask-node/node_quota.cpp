#include "programs/damask-node/node_quota.h"

#include "base/lock.h"
#include "base/log.h"
#include "quota/allowances.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <span>
#include <utility>

namespace damask {

namespace {

constexpr double MaxLimit = 1e9;           // requests a second and burst; a larger limit never binds
constexpr double BurstShareOfSlack = 0.5;  // the rest is for requests that arrive closer together than they were sent
constexpr double StartShareOfSlack = 0.25; // so that an account has some quota at once after a loss of all nodes
// A grantor with a tenth of a core is paused for 90 ms in each 100 ms. Its buckets hold what accrues meanwhile, which
// would be lost to an account with a high rate and a small burst.
constexpr Duration GrantorPause = std::chrono::milliseconds(100);
constexpr double PauseShareOfLifetime = 0.25; // at most, as the lifetime is shortened by it

constexpr double MinLifetimeShare = 0.5; // of the overrun, however long a request may wait after its token was taken

Duration shareOf(Duration total, double share)
{
    return std::chrono::duration_cast<Duration>(total * share);
}

/// Without duplicates, because each index has its own part of a limit.
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

/// Of a token of an account before the pause of a grantor is taken off.
Duration wholeLifetime(const QuotaOptions &options)
{
    const Duration overrun = shareOf(options.window, options.overrun);
    return std::max(overrun - options.sendDelay, shareOf(overrun, MinLifetimeShare));
}

/// The time by which the lifetime of tokens is shortened, and for which the buckets hold more than the burst. The uses
/// in a window are bounded by the rate times window and lifetime, plus the burst, so their sum does not change. A node
/// that grants only to itself makes no calls while it is paused.
Duration grantorPause(const QuotaOptions &options)
{
    return options.grantors.empty() ? Duration::zero()
                                    : std::min(GrantorPause, shareOf(wholeLifetime(options), PauseShareOfLifetime));
}

AllowanceLimit limitFor(const ClientAccount &account, const QuotaOptions &options, uint64_t version)
{
    const double perSecond = std::min(account.requestsPerSecond, MaxLimit);
    const double burst =
        account.burst + options.slack * BurstShareOfSlack + perSecond * toSeconds(grantorPause(options));
    return {.perSecond = perSecond, .burst = std::min(burst, MaxLimit), .version = version};
}

AllowanceOptions allowanceOptions(const QuotaOptions &options, std::span<const std::string> grantors)
{
    AllowanceOptions out;
    out.stock.grantors = std::max<size_t>(grantors.size(), 1);
    const auto own = std::find(grantors.begin(), grantors.end(), options.own);
    if (grantors.empty()) {
        out.stock.own = 0;
    } else if (own != grantors.end()) {
        out.stock.own = static_cast<size_t>(own - grantors.begin());
    }
    out.stock.accountLifetime = wholeLifetime(options) - grantorPause(options);
    out.stock.targetLifetime = shareOf(std::chrono::seconds(1), options.coldOverrun - 1);
    out.stock.patience = options.patience;
    out.grantor.accountStartTokens = options.slack * StartShareOfSlack;
    out.stock.firstNumber = std::random_device()();
    out.stock.firstNumber = (out.stock.firstNumber << 32U) | std::random_device()();
    return out;
}

std::string keyOf(const ClientAccount &account)
{
    return allowanceKey(AccountKeyPrefix, account.name);
}

std::string keyOf(const ColdTarget &target)
{
    return allowanceKey(TargetKeyPrefix, std::string(target.target) + "@" + std::to_string(target.startedAt));
}

} // namespace

struct NodeQuota::State {
    State(Clock &clock, Metrics &metrics, const QuotaOptions &optionsIn, Send sendIn);

    AllowanceLimit limitOf(const ClientAccount &account, std::string_view key) const;
    AllowanceLimit limitOf(const ColdTarget &target) const;

    QuotaOptions options;
    std::vector<std::string> grantors;
    std::atomic<uint64_t> version{0}; // of the configuration in force
    mutable RankedMutex mutex{LockRank::Leaf};
    AllowanceMap<AllowanceLimit> limits; // of accounts in the configuration in force, by key; under mutex
    Allowances allowances;
};

NodeQuota::State::State(Clock &clock, Metrics &metrics, const QuotaOptions &optionsIn, Send sendIn)
    : options(optionsIn)
    , grantors(distinct(optionsIn.grantors))
    , allowances(clock, metrics, allowanceOptions(optionsIn, grantors),
                 {.send = [this, send = std::move(sendIn)](size_t grantor, const AllowanceRequest &request) {
                     send(grantors.at(grantor), request);
                 }})
{
}

/// From the configuration in force: the call may still use an older one, whose limit must not get the new version. The
/// limit of an account that was removed has version 0, so that it replaces none.
AllowanceLimit NodeQuota::State::limitOf(const ClientAccount &account, std::string_view key) const
{
    LockGuard lock(mutex);
    if (const auto it = limits.find(key); it != limits.end()) {
        return it->second;
    }
    return limitFor(account, options, 0);
}

AllowanceLimit NodeQuota::State::limitOf(const ColdTarget &target) const
{
    return {.perSecond = std::min(target.requestsPerSecond, MaxLimit),
            .burst = options.coldSlack * BurstShareOfSlack,
            .version = version};
}

NodeQuota::NodeQuota(Clock &clock, Metrics &metrics, const QuotaOptions &options, Send send)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(send)))
{
}

NodeQuota::~NodeQuota() = default;

void NodeQuota::apply(std::shared_ptr<const AccountTable> accounts, uint64_t version)
{
    AllowanceMap<AllowanceLimit> limits;
    if (accounts) {
        for (const ClientAccount &it : accounts->accounts()) {
            if (it.requestsPerSecond <= 0) {
                continue;
            }
            const std::string key = keyOf(it);
            const AllowanceLimit limit = limitFor(it, m_state->options, version);
            limits[key] = limit;
            m_state->allowances.updateLimit(key, limit);
        }
    }
    m_state->version = version;
    LockGuard lock(m_state->mutex);
    m_state->limits.swap(limits);
}

QuotaAnswer NodeQuota::take(const ClientAccount &account, TimePoint until, CancelToken &cancel)
{
    if (account.requestsPerSecond <= 0) {
        return {};
    }
    const std::string key = keyOf(account);
    const AllowanceAnswer answer = m_state->allowances.take(key, m_state->limitOf(account, key), until, cancel);
    return {.code = answer.code, .retryAfter = answer.retryAfter, .usage = answer.usage, .expiresAt = answer.expiresAt};
}

void NodeQuota::giveBack(const ClientAccount &account, TimePoint expiresAt)
{
    if (account.requestsPerSecond > 0) {
        m_state->allowances.giveBack(keyOf(account), expiresAt);
    }
}

QuotaPreview NodeQuota::state(const ClientAccount &account) const
{
    const KeyState known = m_state->allowances.state(keyOf(account));
    return {.requestsPerSecond = account.requestsPerSecond,
            .tokens = known.tokens,
            .usage = known.usage,
            .retryAfter = known.retryAfter};
}

bool NodeQuota::hasColdToken(const ColdTarget &target) const
{
    return target.requestsPerSecond <= 0 || m_state->allowances.has(keyOf(target));
}

std::optional<TimePoint> NodeQuota::takeColdToken(const ColdTarget &target)
{
    return target.requestsPerSecond <= 0 ? Never : m_state->allowances.tryTake(keyOf(target), m_state->limitOf(target));
}

void NodeQuota::wantColdToken(const ColdTarget &target)
{
    if (target.requestsPerSecond > 0) {
        m_state->allowances.want(keyOf(target), m_state->limitOf(target));
    }
}

/// Where this node has a newer configuration than the asker, its limit counts, so that a limit that was lowered is not
/// forgotten when this process restarts.
AllowanceGrant NodeQuota::grant(const AllowanceRequest &request)
{
    AllowanceRequest current = request;
    {
        LockGuard lock(m_state->mutex);
        for (AllowanceWant &it : current.wants) {
            const auto known = m_state->limits.find(it.key);
            if (known != m_state->limits.end() && known->second.version > it.limit.version) {
                it.limit = known->second;
            }
        }
    }
    return m_state->allowances.grant(current);
}

void NodeQuota::receive(const AllowanceGrant &grant)
{
    m_state->allowances.receive(grant);
}

void NodeQuota::appendStatus(std::string &out) const
{
    const AllowanceStatus status = m_state->allowances.status();
    out += "{\"keys\": " + std::to_string(status.keys);
    out += ", \"grantorKeys\": " + std::to_string(status.grantedKeys);
    out += ", \"tokensGranted\": " + std::to_string(status.tokensGranted);
    out += ", \"grantors\": [";
    for (size_t n = 0; n < m_state->grantors.size(); ++n) {
        const GrantorState &it = status.grantors[n];
        out += n == 0 ? "{\"address\": " : ", {\"address\": ";
        appendJsonString(out, m_state->grantors[n]);
        out += ", \"answers\": " + std::string(it.answers ? "true" : "false");
        out += ", \"roundTripMs\": " + std::to_string(it.measured ? toMilliseconds(it.roundTrip) : 0) + "}";
    }
    out += "]}";
}

} // namespace damask
