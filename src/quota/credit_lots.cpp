#include "quota/credit_lots.h"

#include "base/check.h"

#include <algorithm>

namespace damask {

CreditLots::CreditLots(Duration window)
    : m_window(window)
    , m_step(window / StepsPerWindow)
{
    DAMASK_ASSERT(m_step > Duration(0), "pass a window of at least 20 ns");
}

void CreditLots::add(TimePoint expiresAt, int64_t amount, TimePoint now)
{
    const TimePoint at(expiresAt.time_since_epoch() / m_step * m_step);
    if (amount <= 0 || at <= now || expiresAt > now + m_window) {
        return;
    }
    const auto it = std::lower_bound(m_lots.begin(), m_lots.end(), at,
                                     [](const CreditLot &n, TimePoint t) { return n.expiresAt < t; });
    if (it != m_lots.end() && it->expiresAt == at) {
        it->amount += amount;
    } else {
        m_lots.insert(it, {at, amount});
    }
}

int64_t CreditLots::total(TimePoint from) const
{
    int64_t out = 0;
    for (const CreditLot &it : m_lots) {
        out += it.expiresAt > from ? it.amount : 0;
    }
    return out;
}

int64_t CreditLots::removeExpired(TimePoint now)
{
    int64_t out = 0;
    std::erase_if(m_lots, [&](const CreditLot &it) {
        out += it.expiresAt <= now ? it.amount : 0;
        return it.expiresAt <= now;
    });
    return out;
}

std::optional<TimePoint> CreditLots::take(int64_t amount, TimePoint from)
{
    if (amount <= 0 || total(from) < amount) {
        return std::nullopt;
    }
    return takeLots(from, Never, amount).front().expiresAt;
}

std::vector<CreditLot> CreditLots::takeLots(TimePoint from, TimePoint until, int64_t most)
{
    std::vector<CreditLot> out;
    for (CreditLot &it : m_lots) {
        const int64_t amount = std::min(it.amount, most);
        if (it.expiresAt > from && it.expiresAt <= until && amount > 0) {
            out.push_back({it.expiresAt, amount});
            it.amount -= amount;
            most -= amount;
        }
    }
    std::erase_if(m_lots, [](const CreditLot &it) { return it.amount == 0; });
    return out;
}

std::span<const CreditLot> CreditLots::lots() const
{
    return m_lots;
}

} // namespace damask
