#include "news_board.h"

#include <algorithm>

namespace damask {

namespace {

constexpr size_t ItemOverhead = 18; // bytes of the fields beside the name

bool isDrain(const LoadUpdate &news)
{
    return news.leaving || news.report.draining;
}

bool sameContent(const LoadUpdate &a, const LoadUpdate &b)
{
    return a.leaving == b.leaving && a.report.draining == b.report.draining && a.report.inFlight == b.report.inFlight
           && a.report.slots == b.report.slots;
}

} // namespace

size_t newsBytes(const LoadUpdate &news)
{
    return news.target.size() + ItemOverhead;
}

NewsBoard::NewsBoard(const NewsBoardOptions &options)
    : m_options(options)
{
}

void NewsBoard::put(std::span<const LoadUpdate> news, TimePoint now)
{
    for (const LoadUpdate &it : news) {
        const TimePoint seenAt = now - it.age;
        const auto held = m_items.find(it.target);
        if (held != m_items.end() && held->second.seenAt >= seenAt) {
            continue;
        }
        const bool repeatedDrain = held != m_items.end() && isDrain(it) && sameContent(it, held->second.news);
        if (repeatedDrain) {
            continue; // its rounds go on
        }
        m_items[it.target] = {it, seenAt, isDrain(it) ? m_options.drainRounds : m_options.loadRounds};
    }
    dropOld(now);
}

std::vector<LoadUpdate> NewsBoard::take(NewsScope scope, size_t maxBytes, TimePoint now)
{
    dropOld(now);
    std::vector<Item *> waiting;
    for (auto &[name, item] : m_items) {
        if (item.rounds > 0 && (scope == NewsScope::All || isDrain(item.news))) {
            waiting.push_back(&item);
        }
    }
    const auto before = [](const Item *a, const Item *b) {
        if (isDrain(a->news) != isDrain(b->news)) {
            return isDrain(a->news);
        }
        return a->seenAt > b->seenAt;
    };
    std::sort(waiting.begin(), waiting.end(), before);
    std::vector<LoadUpdate> out;
    size_t used = 0;
    for (Item *it : waiting) {
        used += newsBytes(it->news);
        if (used > maxBytes) {
            break;
        }
        out.push_back(it->news);
        out.back().age = now - it->seenAt;
        if (scope == NewsScope::All) {
            --it->rounds;
        }
    }
    return out;
}

bool NewsBoard::hasDrains() const
{
    const auto drains = [](const auto &it) {
        return it.second.rounds > 0 && isDrain(it.second.news);
    };
    return std::any_of(m_items.begin(), m_items.end(), drains);
}

size_t NewsBoard::size() const
{
    return m_items.size();
}

void NewsBoard::dropOld(TimePoint now)
{
    std::erase_if(m_items, [&](const auto &it) {
        const Duration age = now - it.second.seenAt;
        return age > (isDrain(it.second.news) ? m_options.drainFor : m_options.freshFor);
    });
}

} // namespace damask
