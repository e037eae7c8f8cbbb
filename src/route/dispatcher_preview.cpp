// Where a request would go now: the read-only counterpart of Dispatcher::dispatch().
#include "route/dispatcher_state.h"
#include "route/rules.h"

namespace damask {

namespace {

/// The services that the rule names. A split rule takes turns, which a question must not use up.
std::vector<ServiceShare> servicesOf(const Rule &rule)
{
    if (!rule.split.empty()) {
        return rule.split;
    }
    return rule.service.empty() ? std::vector<ServiceShare>() : std::vector<ServiceShare>{{rule.service, 1}};
}

} // namespace

RoutePreview Dispatcher::preview(const PreviewQuery &query) const
{
    const State &state = *m_state;
    RoutePreview out;
    out.account = query.account;
    const auto routes = state.current();
    if (!routes) {
        out.code = Code::NoConfiguration;
        return out;
    }
    out.revision = routes->revision();
    const Rule *rule = hasDotSegment(query.path) ? nullptr : routes->match(query.host, query.path);
    if (rule == nullptr) {
        out.code = hasDotSegment(query.path) ? Code::BadRequest : Code::NoSuchService;
        return out;
    }
    out.rule = rule->name;
    out.idempotent = isIdempotent(*rule, query.method);
    const std::vector<ServiceShare> services = servicesOf(*rule);
    if (!rule->unusable.empty()) {
        out.code = Code::RuleUnusable;
    } else if (services.empty()) {
        out.code = Code::NoRule;
    }
    const KeyDecision key =
        decideAccount(*rule, query.account, routes->accounts(),
                      {state.options.maxConfigurationAge, state.options.maxKeyAge}, state.hooks.configurationAge);
    out.keyCheck = key.check;
    if (key.account != nullptr && key.account->requestsPerSecond > 0 && state.hooks.quotaState) {
        out.quota = state.hooks.quotaState(*key.account);
    }
    if (out.code == Code::Ok) {
        out.code = key.code;
    }
    if (out.code != Code::Ok || !state.hooks.preview) {
        return out;
    }
    for (const ServiceShare &it : services) {
        const Service *service = routes->findService(it.service);
        AcquireRequest request{.service = it.service,
                               .dataCentres = rule->dataCentres,
                               .idempotent = out.idempotent,
                               .rank = rule->rank,
                               .objective = rule->objective,
                               .allowedRegions = rule->allowedRegions};
        if (service != nullptr) {
            request.deadline = state.clock.now() + service->deadline - state.options.deadlineMargin;
        }
        State::setAccount({.rule = rule, .service = service, .account = key.account, .accounts = routes->accounts()}, 0,
                          request);
        out.services.push_back(state.hooks.preview(request));
        out.services.back().weight = it.weight;
    }
    return out;
}

} // namespace damask
