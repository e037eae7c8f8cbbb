// Client accounts in the dispatcher: the check of a call's key and its account's quota.
#include "route/dispatcher_state.h"

#include <algorithm>

namespace damask {

namespace {

// Usage of a call whose account has no quota, or of one without an account: about that of an account at its usual rate.
constexpr double UnmeasuredUsage = 0.5;

} // namespace

KeyDecision Dispatcher::State::checkKey(const Rule &rule, const KeyFields &key, const RouteTable &routes) const
{
    return decideKey(rule, key, routes.accounts(), {options.maxConfigurationAge, options.maxKeyAge},
                     hooks.configurationAge);
}

/// Finds the account of a call. The account stays valid as long as call.routes.
Code Dispatcher::State::identify(CallState &call)
{
    const KeyDecision decision = checkKey(*call.route.rule, {call.request.key, call.request.keyCount}, *call.routes);
    call.route.accounts = call.routes->accounts();
    call.route.account = decision.account;
    call.trace.keyCheck = decision.check;
    call.trace.configurationAge = static_cast<float>(toMilliseconds(decision.age));
    if (decision.account != nullptr) {
        call.trace.account.assign(decision.account->name);
    }
    counters.keyCheck(decision.check);
    return decision.code;
}

/// Checks the key of a call again before it is sent: while it waited, its key may have been removed, or accounts may
/// have come into force.
Code Dispatcher::State::recheckKey(const Route &route, const KeyFields &key) const
{
    const auto routes = current();
    const bool isSame = routes->accounts() == route.accounts;
    if (routes->accounts() == nullptr || (isSame && (route.account == nullptr || options.maxKeyAge <= Duration(0)))) {
        return Code::Ok;
    }
    if (route.accounts == nullptr) {
        return Code::KeyUnverified; // its fields would reach the target
    }
    const KeyDecision decision = checkKey(*route.rule, key, *routes);
    if (decision.code != Code::Ok || route.account == nullptr) {
        return decision.code;
    }
    return decision.account != nullptr && decision.account->name == route.account->name ? Code::Ok
                                                                                        : Code::KeyUnverified;
}

/// A request that no target may take needs no quota and must not wait for it. A service that has been removed since the
/// call matched it has no target.
Code Dispatcher::State::checkPlacement(const CallState &call, CancelToken &cancel) const
{
    const Code out = hooks.checkPlacement ? hooks.checkPlacement(acquireRequest(call, cancel)) : Code::Ok;
    return out == Code::NoSuchService ? Code::NoTarget : out;
}

/// Takes quota for the call, once, whatever number of attempts follows. Ok without a limit. `retryAfter` is set if it
/// is known when there will be quota. The wait may take the whole objective, because a refusal loses the call while a
/// wait only delays it; the hook itself limits it by the number of grantors.
Code Dispatcher::State::takeQuota(CallState &call, CancelToken &cancel, Duration &retryAfter)
{
    call.accountUsage = call.route.accounts == nullptr ? 0 : UnmeasuredUsage;
    const ClientAccount *account = call.route.account;
    if (account == nullptr || account->requestsPerSecond <= 0 || !hooks.takeQuota) {
        return Code::Ok;
    }
    if (const Code code = checkPlacement(call, cancel); code != Code::Ok) {
        return code;
    }
    const TimePoint began = clock.now();
    const Duration objective = call.route.rule->objective;
    const QuotaCall wanted{.account = account->name,
                           .rule = call.route.rule->name,
                           .objective = objective,
                           .callerLeft = call.request.timeLeft.value_or(Duration(0))};
    {
        LockGuard lock(quotaMutex);
        if (quotaShortage.makesWay(wanted, began)) {
            counters.quotaTooLate();
            return Code::QuotaExceeded;
        }
    }
    const TimePoint until = objective > Duration::zero() ? std::min(call.deadline, began + objective) : call.deadline;
    const QuotaAnswer out = hooks.takeQuota(*account, until, cancel);
    call.quotaTaken = out.code == Code::Ok;
    call.quotaExpiresAt = out.expiresAt;
    call.accountUsage = out.usage;
    call.trace.accountUsage = static_cast<float>(out.usage);
    call.trace.quotaWaited = static_cast<float>(toMilliseconds(clock.now() - began));
    retryAfter = out.retryAfter;
    counters.quota(out.code);
    if (out.code == Code::QuotaExceeded) {
        LockGuard lock(quotaMutex);
        quotaShortage.recordRefusal(wanted, clock.now());
    }
    return out.code;
}

/// Returns the quota of a call that has ended, unless an attempt of it was sent.
void Dispatcher::State::giveBackQuota(const CallState &call)
{
    if (call.quotaTaken && call.sent == 0 && hooks.giveBackQuota) {
        counters.quotaGivenBack();
        hooks.giveBackQuota(*call.route.account, call.quotaExpiresAt);
    }
}

CallResponse Dispatcher::State::quotaRefusal(Code code, Duration retryAfter) const
{
    CallResponse out = errorResponse(code);
    if (code == Code::QuotaExceeded && retryAfter > Duration::zero()) {
        out.retryAfter = std::max(retryAfter, options.minRetryAfter);
    }
    return out;
}

/// A call without an account, of a rule that needs no key, counts as one of the least urgent account: its callers are
/// unknown, and no quota limits them.
void Dispatcher::State::setAccount(const Route &route, double usage, AcquireRequest &request)
{
    request.accountUsage = usage;
    if (const ClientAccount *account = route.account) {
        request.account = account->name;
        request.accountRank = account->rank;
        request.accountRegions = account->allowedRegions;
    } else if (route.accounts != nullptr) {
        request.accountRank = route.accounts->leastUrgentRank();
    }
}

} // namespace damask
