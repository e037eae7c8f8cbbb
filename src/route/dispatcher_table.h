/// The configuration in force as the dispatcher reads it: rules, services, and what is counted for each service.
#pragma once

#include "base/clock.h"
#include "config/model.h"
#include "route/hedge.h"
#include "route/retry.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace damask {

/// What is counted for one service; it outlives a change of configuration.
struct ServiceState {
    explicit ServiceState(const Service &service)
        : budget(budgetOf(service))
    {
    }
    static RetryBudgetOptions budgetOf(const Service &service)
    {
        return {.ratio = service.retryRatio, .slack = service.minRetriesPerWindow, .window = service.retryWindow};
    }

    RetryBudget budget;
    HedgeDelay  delay;
};

/// What decides about one request.
struct Route {
    const Rule                   *rule = nullptr;    // null: none matches
    const Service                *service = nullptr; // null: the rule names none, or one that is not there
    std::shared_ptr<ServiceState> state;             // set when service is
};

/// One configuration; never changed once made, so that calls read it without a lock.
class RouteTable
{
public:
    using States = std::map<std::string, std::shared_ptr<ServiceState>, std::less<>>;

    RouteTable(std::shared_ptr<const Configuration> configuration, const States &previous);

    /// A rule that is split gives its services in turn, so that each part gets its share of any few calls.
    Route         find(std::string_view host, std::string_view path) const;
    uint64_t      revision() const;
    const States &states() const;

private:
    const Service *serviceNamed(std::string_view name) const;
    const Service *choosePart(const Rule &rule) const;

    std::shared_ptr<const Configuration> m_configuration;
    States                               m_states;
    mutable std::atomic<uint64_t>        m_splitCalls; // of rules that are split, from a random start
};

} // namespace damask
