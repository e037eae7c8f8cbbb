/// Credit of one service, by when it expires.
///
/// Use: `CreditLots lots(window); lots.add(callAt + window, share, now); if (lots.take(CreditUnit, now)) ...`
/// Expiry times are rounded down to 1/20 of the window, so that memory and messages are bounded whatever the load.
///
/// Pure: the caller passes the time and holds any lock.
#pragma once

#include "base/time.h"
#include "quota/credit.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace damask {

class CreditLots
{
public:
    static constexpr int64_t StepsPerWindow = 20;

    explicit CreditLots(Duration window);

    void    add(TimePoint expiresAt, int64_t amount, TimePoint now); // ignored if expired, or beyond now + window
    int64_t total(TimePoint from) const;                             // of lots that expire after `from`
    int64_t removeExpired(TimePoint now);                            // returns the amount

    /// Removes the amount from the lots that expire after `from`, earliest first. Returns when the first of them
    /// expires, which is when all of it counts as expired; none: there is less than the amount.
    std::optional<TimePoint> take(int64_t amount, TimePoint from);

    /// Removes up to `most` from the lots that expire after `from` and not after `until`, earliest first.
    std::vector<CreditLot> takeLots(TimePoint from, TimePoint until, int64_t most);

    std::span<const CreditLot> lots() const; // earliest expiry first

private:
    Duration               m_window;
    Duration               m_step;
    std::vector<CreditLot> m_lots;
};

} // namespace damask
