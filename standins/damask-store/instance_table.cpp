#include "damask-store/instance_table.h"

#include <algorithm>

namespace damask::standin {

namespace {

constexpr size_t MaxHistory = 1000; // snapshots

} // namespace

InstanceTable::InstanceTable(Clock &clock)
    : m_clock(clock)
{
    m_history.push_back({TimePoint(), {}});
}

void InstanceTable::setLag(Duration lag)
{
    LockGuard lock(m_mutex);
    m_lag = lag;
}

void InstanceTable::add(const Instance &instance)
{
    LockGuard lock(m_mutex);
    std::vector<Instance> next = m_history.back().instances;
    std::erase_if(next, [&](const Instance &it) { return it.name == instance.name; });
    next.push_back(instance);
    addSnapshot(std::move(next));
}

bool InstanceTable::markLeaving(std::string_view name)
{
    LockGuard lock(m_mutex);
    std::vector<Instance> next = m_history.back().instances;
    const auto it = std::find_if(next.begin(), next.end(), [&](const Instance &n) { return n.name == name; });
    if (it == next.end()) {
        return false;
    }
    it->state = InstanceState::Leaving;
    addSnapshot(std::move(next));
    return true;
}

bool InstanceTable::remove(std::string_view name)
{
    LockGuard lock(m_mutex);
    std::vector<Instance> next = m_history.back().instances;
    const size_t removed = std::erase_if(next, [&](const Instance &it) { return it.name == name; });
    addSnapshot(std::move(next));
    return removed > 0;
}

std::vector<Instance> InstanceTable::visible() const
{
    LockGuard lock(m_mutex);
    const TimePoint at = m_clock.now() - m_lag;
    const auto later =
        std::find_if(m_history.begin(), m_history.end(), [at](const Snapshot &it) { return it.at > at; });
    return later == m_history.begin() ? std::vector<Instance>() : std::prev(later)->instances;
}

void InstanceTable::addSnapshot(std::vector<Instance> next)
{
    m_history.push_back({m_clock.now(), std::move(next)});
    if (m_history.size() > MaxHistory) {
        m_history.pop_front();
    }
}

} // namespace damask::standin
