#include "route/dispatcher_table.h"

#include "route/rules.h"

#include "base/random.h"

#include <algorithm>
#include <cmath>

namespace damask {

namespace {

constexpr uint64_t SplitStartRange = 1024; // range of the random start, so that instances do not choose in step
constexpr double GoldenRatioConjugate = 0.6180339887498949; // multiples modulo 1 are evenly distributed in [0, 1)

} // namespace

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration, const States &previous)
    : m_configuration(std::move(configuration))
    , m_splitCalls(systemRandom()() % SplitStartRange)
{
    for (const Service &it : m_configuration->services) {
        const auto existing = previous.find(it.name);
        auto state = existing != previous.end() ? existing->second : std::make_shared<ServiceState>(it);
        state->budget.setOptions(ServiceState::budgetOptions(it));
        state->hedgeBudget.setOptions(ServiceState::hedgeOptions(it));
        m_states.emplace(it.name, std::move(state));
    }
}

const Rule *RouteTable::match(std::string_view host, std::string_view path) const
{
    return matchRule(m_configuration->rules, host, path);
}

Route RouteTable::find(std::string_view host, std::string_view path) const
{
    Route out;
    out.rule = match(host, path);
    if (out.rule == nullptr) {
        return out;
    }
    out.service = out.rule->split.empty() ? findService(out.rule->service) : chooseSplitService(*out.rule);
    if (out.service != nullptr) {
        out.state = m_states.find(out.service->name)->second;
    }
    return out;
}

const Service *RouteTable::findService(std::string_view name) const
{
    const auto &services = m_configuration->services;
    const auto it = std::find_if(services.begin(), services.end(), [name](const Service &n) { return n.name == name; });
    return it == services.end() ? nullptr : &*it;
}

const Service *RouteTable::chooseSplitService(const Rule &rule) const
{
    double totalWeight = 0;
    for (const ServiceShare &it : rule.split) {
        totalWeight += it.weight;
    }
    const auto call = static_cast<double>(m_splitCalls.fetch_add(1, std::memory_order_relaxed));
    double position = std::fmod(call * GoldenRatioConjugate, 1.0) * totalWeight;
    for (const ServiceShare &it : rule.split) {
        if (position < it.weight) {
            return findService(it.service);
        }
        position -= it.weight;
    }
    return findService(rule.split.back().service);
}

const AccountTable *RouteTable::accounts() const
{
    return m_configuration->accounts.get();
}

uint64_t RouteTable::revision() const
{
    return m_configuration->revision;
}

const RouteTable::States &RouteTable::states() const
{
    return m_states;
}

} // namespace damask
