#include "route/dispatcher_table.h"

#include "route/rules.h"

#include <algorithm>

namespace damask {

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration, const States &previous, TimePoint now)
    : m_configuration(std::move(configuration))
{
    for (const Service &it : m_configuration->services) {
        const auto known = previous.find(it.name);
        auto state = known != previous.end() ? known->second : std::make_shared<ServiceState>(it.retryRatio, now);
        state->budget.setRatio(it.retryRatio);
        m_states.emplace(it.name, std::move(state));
    }
}

Route RouteTable::find(std::string_view host, std::string_view path) const
{
    Route out;
    out.rule = matchRule(m_configuration->rules, host, path);
    if (out.rule == nullptr) {
        return out;
    }
    const auto &services = m_configuration->services;
    const auto it = std::find_if(services.begin(), services.end(),
                                 [&out](const Service &n) { return n.name == out.rule->service; });
    if (it != services.end()) {
        out.service = &*it;
        out.state = m_states.find(it->name)->second;
    }
    return out;
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
