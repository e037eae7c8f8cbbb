/// Credit for extra attempts, shared between instances: the messages between an instance and a grantor.
///
/// Plain values. Each call of a service earns a share of one extra attempt. Instances deposit what they do not use with
/// a grantor, which is another instance or themselves, and withdraw whole credits when an extra attempt is due.
/// docs/design/hedging.md explains the design and states the invariant.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damask {

constexpr int64_t CreditUnit = 1'000'000; // one extra attempt, in the integers that hold parts of it

/// Credit that is gone at a given time, together with the calls that earned it.
struct CreditLot {
    TimePoint expiresAt{};
    int64_t   amount = 0; // of CreditUnit
};

/// One service in a request.
struct CreditEntry {
    std::string            service;
    std::vector<CreditLot> deposits;   // by the clock of the grantor
    uint32_t               wanted = 0; // whole credits
};

/// A deposit, a withdrawal, or both. The sender has debited the deposits.
struct CreditRequest {
    uint64_t                 sender = 0; // random number of the sender's process
    uint64_t                 number = 0; // rises with each request of the sender; repeated in the grant
    uint64_t                 epoch = 0;  // process of the grantor whose clock the deposits go by; 0: no deposits
    std::vector<CreditEntry> entries;
};

/// The answer for one service of which credits were wanted.
struct CreditShare {
    std::string service;
    uint32_t    credits = 0; // at most as many as wanted
    Duration    lifetime{0}; // from the answer on; the receiver counts it from when it sent the request
};

struct CreditGrant {
    uint64_t                 number = 0; // of the request
    uint64_t                 epoch = 0;  // random number of the grantor's process
    TimePoint                clock{};    // of the grantor, at the answer
    std::vector<CreditShare> shares;
};

} // namespace damask
