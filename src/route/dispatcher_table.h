/// Routing table of the dispatcher: the rules and services of the active configuration, and the state of each service.
#pragma once

#include "base/clock.h"
#include "config/accounts.h"
#include "config/model.h"
#include "route/answer_times.h"
#include "route/hedge.h"
#include "route/retry.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace damask {

/// Retry budget and hedges of one service. Survives a change of configuration.
struct ServiceState {
    explicit ServiceState(const Service &service)
        : budget(budgetOptions(service))
        , hedgeBudget(hedgeOptions(service))
    {
        if (service.hedge && service.hedgeLimit > 0) {
            answerTimes = std::make_unique<RuleAnswerTimes>();
        }
    }
    static RetryBudgetOptions budgetOptions(const Service &service)
    {
        return {.ratio = service.retryRatio, .slack = service.minRetriesPerWindow, .window = service.retryWindow};
    }

    /// No slack: the limit holds over all instances only if each keeps to its share exactly.
    static RetryBudgetOptions hedgeOptions(const Service &service)
    {
        return {.ratio = service.hedgeLimit, .slack = 0, .window = service.retryWindow};
    }

    RetryBudget                      budget;
    RetryBudget                      hedgeBudget; // limit of hedges, where Service::hedgeLimit is set
    HedgeDelay                       hedgeDelay;  // where it is not
    std::unique_ptr<RuleAnswerTimes> answerTimes; // null unless hedged within a limit when first configured
};

/// The rule, the service and the client account that apply to one request.
struct Route {
    const Rule                   *rule = nullptr;     // null: no rule matches
    const Service                *service = nullptr;  // null: the rule names no service, or one that does not exist
    std::shared_ptr<ServiceState> state;              // set if service is set
    const ClientAccount          *account = nullptr;  // null: none
    const AccountTable           *accounts = nullptr; // in force when the call was admitted; null: none are

    std::string_view accountName() const
    {
        return account == nullptr ? std::string_view() : std::string_view(account->name);
    }
};

/// Routing table of one configuration. Immutable after construction, so that calls read it without a lock.
class RouteTable
{
public:
    using States = std::map<std::string, std::shared_ptr<ServiceState>, std::less<>>;

    RouteTable(std::shared_ptr<const Configuration> configuration, const States &previous);

    /// If the matching rule is split, the services take turns, so that each gets its share even of a small number of
    /// calls.
    Route               find(std::string_view host, std::string_view path) const;
    const Rule         *match(std::string_view host, std::string_view path) const; // without choosing a service
    const Service      *findService(std::string_view name) const;
    const AccountTable *accounts() const; // null: callers need no key
    uint64_t            revision() const;
    const States       &states() const;

private:
    const Service *chooseSplitService(const Rule &rule) const;

    std::shared_ptr<const Configuration> m_configuration;
    States                               m_states;
    mutable std::atomic<uint64_t>        m_splitCalls; // calls of split rules, counted from a random start value
};

} // namespace damask
