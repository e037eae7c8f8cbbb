/// What a grantor holds of the credit of all instances, and hands out in whole credits.
///
/// Use: `CreditPool pool({.epoch = random}); if (const auto answer = pool.handle(request, now); answer.grant) ...`
/// credit_ledger.h states the invariant. The pool's part in it: a message counts at most once, credit is debited
/// before it is granted, and no credit is granted beyond the time when its earliest part expires.
/// Load pattern: some hundred instances send parts of a credit every few seconds, and few of them need a whole one.
///
/// Pure: the caller passes the time and holds any lock.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "quota/allowance_grantor.h"
#include "quota/credit.h"
#include "quota/credit_lots.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace damask {

struct CreditPoolOptions {
    Duration window = std::chrono::seconds(10); // after which credit expires
    uint64_t epoch = 1;                         // random number of this process; not 0
    size_t   maxServices = 1024;                // credit of others is not taken
    size_t   maxSenders = 8192;                 // in one window; others get no answer and use another grantor
};

/// What became of a request; credit in CreditUnit.
struct CreditAnswer {
    Code                       code = Code::Ok; // CreditRepeated: no answer; CreditOutdated: deposits were ignored
    std::optional<CreditGrant> grant;
    int64_t                    deposited = 0;
    int64_t                    ignored = 0; // of the deposits
    uint32_t                   wanted = 0;  // whole credits
    uint32_t                   granted = 0;
};

class CreditPool
{
public:
    explicit CreditPool(const CreditPoolOptions &options);

    CreditAnswer handle(const CreditRequest &request, TimePoint now);

    int64_t total(TimePoint now) const; // credit of all services
    int64_t expired() const;            // since the start
    size_t  services() const;

private:
    struct Sender {
        uint64_t  number = 0; // of its last request
        TimePoint at{};
    };

    bool        recordSender(const CreditRequest &request, TimePoint now);
    CreditLots *lotsOf(std::string_view service, TimePoint now);
    CreditShare withdraw(const CreditEntry &entry, TimePoint now);
    void        deposit(const CreditEntry &entry, TimePoint now, CreditAnswer &answer);

    CreditPoolOptions                    m_options;
    AllowanceMap<CreditLots>             m_services;
    std::unordered_map<uint64_t, Sender> m_senders;
    int64_t                              m_expired = 0;
};

} // namespace damask
