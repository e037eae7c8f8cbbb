/// The limits in force when each byte of one connection arrived.
///
/// Load pattern: keep-alive connections that stay open over many versions of the configuration, with requests sent
/// behind others that run for seconds. A request is judged by the more generous of the limits at its first byte and the
/// newest ones, so a change never refuses what was allowed when it was sent, and holds for everything sent after it.
///
/// Pure: no lock or socket. The caller passes how many bytes the system had received, also those not yet read. It keeps
/// one entry for each change within the bytes that have not been judged.
#pragma once

#include "base/time.h"
#include "front/request_reader.h"

#include <cstdint>
#include <vector>

namespace damask {

/// Limits on one request and its arrival.
struct ArrivalLimits {
    RequestLimits size;
    Duration      requestTimeout{0}; // from the first byte to the complete request

    bool operator==(const ArrivalLimits &) const = default;
};

class LimitHistory
{
public:
    explicit LimitHistory(const ArrivalLimits &limits);

    void          change(const ArrivalLimits &limits, uint64_t arrived); // bytes of the connection that arrived before
    ArrivalLimits forRequestAt(uint64_t offset); // of its first byte; offsets passed never decrease

private:
    struct Change {
        uint64_t      from = 0; // offset of the first byte that arrived after it
        ArrivalLimits limits;
    };

    std::vector<Change> m_changes; // never empty; by ascending offset
};

} // namespace damask
