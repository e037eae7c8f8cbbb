#include "quota/allowance_stock.h"

#include <algorithm>

namespace damask {

namespace {

constexpr Duration UsageMemory = std::chrono::seconds(2); // age up to which a reported usage counts

} // namespace

double AllowanceStock::usage(std::string_view key, TimePoint now) const
{
    const Entry *entry = find(key);
    if (entry == nullptr) {
        return 0;
    }
    double sum = 0;
    int count = 0;
    for (const Report &it : entry->reports) {
        if (it.usageAt != TimePoint{} && now - it.usageAt <= UsageMemory) {
            sum += it.usage;
            ++count;
        }
    }
    return count > 0 ? sum / count : 0;
}

KeyState AllowanceStock::state(std::string_view key, TimePoint now) const
{
    KeyState out;
    const Entry *entry = find(key);
    if (entry == nullptr) {
        return out;
    }
    out.usage = usage(key, now);
    for (const Lot &it : entry->lots) {
        out.tokens += it.expiresAt > now ? it.tokens : 0;
    }
    if (out.tokens > 0) {
        return out;
    }
    TimePoint first = Never;
    for (size_t n = 0; n < m_grantors.size(); ++n) {
        first = std::min(first, std::max(m_grantors[n].silentUntil, entry->reports[n].emptyUntil));
    }
    out.retryAfter = std::max(first - now, Duration(0));
    return out;
}

size_t AllowanceStock::keys() const
{
    return m_entries.size();
}

const StockCounts &AllowanceStock::counts() const
{
    return m_counts;
}

GrantorState AllowanceStock::grantor(size_t n, TimePoint now) const
{
    const Grantor &it = m_grantors.at(n);
    return {.answers = it.silentUntil <= now, .measured = it.measured, .roundTrip = it.roundTrip};
}

} // namespace damask
