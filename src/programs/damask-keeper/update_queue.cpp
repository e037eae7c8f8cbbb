#include "update_queue.h"

#include <algorithm>

namespace damask {

namespace {

constexpr size_t ItemOverhead = 18; // bytes of all fields except the name

bool isDrain(const LoadUpdate &update)
{
    return update.leaving || update.report.draining;
}

bool sameContent(const LoadUpdate &a, const LoadUpdate &b)
{
    return a.leaving == b.leaving && a.report.draining == b.report.draining && a.report.inFlight == b.report.inFlight
           && a.report.slots == b.report.slots;
}

} // namespace

size_t updateBytes(const LoadUpdate &update)
{
    return update.target.size() + ItemOverhead;
}

UpdateQueue::UpdateQueue(const UpdateQueueOptions &options)
    : m_options(options)
{
}

void UpdateQueue::add(std::span<const LoadUpdate> updates, TimePoint now)
{
    for (const LoadUpdate &it : updates) {
        const TimePoint seenAt = now - it.age;
        const auto held = m_items.find(it.target);
        if (held != m_items.end() && held->second.seenAt >= seenAt) {
            continue;
        }
        const bool repeatedDrain = held != m_items.end() && isDrain(it) && sameContent(it, held->second.update);
        if (repeatedDrain) {
            continue; // keeps its remaining rounds
        }
        m_items[it.target] = {it, seenAt, isDrain(it) ? m_options.drainRounds : m_options.loadRounds};
    }
    dropOld(now);
}

std::vector<LoadUpdate> UpdateQueue::take(UpdateScope scope, size_t maxBytes, TimePoint now)
{
    dropOld(now);
    std::vector<Item *> waiting;
    for (auto &[name, item] : m_items) {
        if (item.rounds > 0 && (scope == UpdateScope::All || isDrain(item.update))) {
            waiting.push_back(&item);
        }
    }
    const auto before = [](const Item *a, const Item *b) {
        if (isDrain(a->update) != isDrain(b->update)) {
            return isDrain(a->update);
        }
        return a->seenAt > b->seenAt;
    };
    std::sort(waiting.begin(), waiting.end(), before);
    std::vector<LoadUpdate> out;
    size_t used = 0;
    for (Item *it : waiting) {
        used += updateBytes(it->update);
        if (used > maxBytes) {
            break;
        }
        out.push_back(it->update);
        out.back().age = now - it->seenAt;
        if (scope == UpdateScope::All) {
            --it->rounds;
        }
    }
    return out;
}

bool UpdateQueue::hasDrains() const
{
    const auto drains = [](const auto &it) {
        return it.second.rounds > 0 && isDrain(it.second.update);
    };
    return std::any_of(m_items.begin(), m_items.end(), drains);
}

size_t UpdateQueue::size() const
{
    return m_items.size();
}

void UpdateQueue::dropOld(TimePoint now)
{
    std::erase_if(m_items, [&](const auto &it) {
        const Duration age = now - it.second.seenAt;
        return age > (isDrain(it.second.update) ? m_options.drainTtl : m_options.loadTtl);
    });
}

} // namespace damask
