/// Limits on requests per second over all instances together: takes tokens from the stock, waits for grants, and grants
/// tokens to other instances if this one is a grantor.
///
/// Use:
///     const AllowanceAnswer answer = allowances.take("account/games", limit, until, cancel);
///     if (answer.code == Code::Ok) ... send the request; if it is rejected without having been sent:
///     allowances.giveBack("account/games", answer.expiresAt);
/// Call it only for keys that have a limit: others need no token, and cost no message.
/// Thread-safe. tryTake(), has() and want() never wait and may be called under a lock of rank Route.
/// docs/design/quotas.md explains the design.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "call/cancel.h"
#include "quota/allowance.h"
#include "quota/allowance_grantor.h"
#include "quota/allowance_stock.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace damask {

struct AllowanceOptions {
    StockOptions   stock;
    GrantorOptions grantor; // used if stock.own is set; its number of grantors is that of the stock
};

struct AllowanceHooks {
    /// Sends a request to another grantor; its answer comes by receive(). Never waits; called without the lock of this
    /// class, but possibly under a lock of rank Route. May lose requests.
    std::function<void(size_t grantor, const AllowanceRequest &)> send;
};

/// The answer to take().
struct AllowanceAnswer {
    Code      code = Code::Ok; // Ok, QuotaExceeded, QuotaUnavailable or Cancelled
    Duration  retryAfter{0};   // until a token is expected, or a grantor is asked again
    double    usage = 0;       // see usage()
    TimePoint expiresAt{};     // of the token; for giveBack()
};

struct AllowanceStatus {
    size_t                    keys = 0;          // that this instance used lately
    size_t                    grantedKeys = 0;   // for which it holds a bucket as grantor
    uint64_t                  tokensGranted = 0; // since the start, as grantor
    std::vector<GrantorState> grantors;          // by index
};

class Allowances
{
public:
    Allowances(Clock &clock, Metrics &metrics, const AllowanceOptions &options, AllowanceHooks hooks);
    ~Allowances();

    /// Takes a token. Waits for a grant until the time given, and at most `patience` for each grantor; returns at once
    /// if there is a token or none can be expected.
    AllowanceAnswer take(std::string_view key, const AllowanceLimit &limit, TimePoint until, CancelToken &cancel);

    bool                     has(std::string_view key) const;                            // tryTake() would succeed now
    std::optional<TimePoint> tryTake(std::string_view key, const AllowanceLimit &limit); // its expiry; none: no token
    void     want(std::string_view key, const AllowanceLimit &limit); // asks for a token for a later tryTake()
    void     giveBack(std::string_view key, TimePoint expiresAt);     // a token whose request was not sent
    KeyState state(std::string_view key) const;                       // for status pages; takes and asks for nothing
    double   usage(std::string_view key) const; // tokens granted in the last second as a share of the limit; 0: unknown

    AllowanceGrant grant(const AllowanceRequest &request);               // as grantor; empty if this instance is none
    void           receive(const AllowanceGrant &grant);                 // of another grantor
    void updateLimit(std::string_view key, const AllowanceLimit &limit); // of a bucket that this grantor holds

    AllowanceStatus status() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
