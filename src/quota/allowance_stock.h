/// The tokens that this instance holds, and which grantor to ask for more, when, and for how many.
///
/// Use: `stock.take(key, limit, now)`; send what `dueRequests(now)` returns; pass each answer to `receive(grant, now)`.
/// For accounts whose callers come in large numbers to few instances (tokens are fetched ahead of need) as well as for
/// those that come seldom to many (nothing is fetched before the first request, so that no token expires unused).
/// A token is used by the time `lifetime` after the request for it was sent, or never; its expiry never changes.
///
/// Pure: the caller passes the time and holds any lock. No function's cost grows with the number of keys, except for a
/// rare eviction.
#pragma once

#include "base/time.h"
#include "quota/allowance.h"
#include "quota/allowance_grantor.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// The key of an account or a target. Names that are too long or not printable ASCII are replaced by their hash,
/// because a grantor refuses a message with such a key.
std::string allowanceKey(std::string_view prefix, std::string_view name);

constexpr size_t MaxAllowanceKeyBytes = 256;
constexpr size_t MaxAllowanceWants = 256; // keys in one request

struct StockOptions {
    size_t                grantors = 1;                        // of which each has an equal part of every limit
    std::optional<size_t> own;                                 // index of this instance, if it is a grantor
    Duration accountLifetime = std::chrono::milliseconds(500); // of a token, from the time when its request was sent
    Duration targetLifetime = std::chrono::milliseconds(500);  // the same for keys of targets
    Duration patience = std::chrono::milliseconds(60);         // until a grantor counts as not answering
    // For which it is not asked then; doubles with each further request without an answer, up to silentFor. Longer than
    // it takes to ask all grantors, so that a call learns soon that none answers.
    Duration firstSilentFor = std::chrono::milliseconds(250);
    Duration silentFor = std::chrono::seconds(1);
    size_t   maxKeys = 8192;  // beyond it, those not used for the longest time are evicted
    uint64_t firstNumber = 1; // of requests; random, so that no answer to an earlier process of this instance matches
};

/// A request to send to a grantor.
struct GrantorRequest {
    size_t           grantor = 0; // index
    AllowanceRequest request;
};

enum class StockOutlook {
    Waiting,     // an answer is awaited, or a token is expected within patience
    Empty,       // the grantors that answer have no token
    Unavailable, // no grantor answers
};

struct StockExpectation {
    StockOutlook outlook = StockOutlook::Waiting;
    TimePoint    at{};            // Waiting: look again by then; otherwise: when to ask again
    bool         isEmpty = false; // Waiting: no answer is awaited; the grantors that answer have no token before `at`
};

/// Counts since the start.
struct StockCounts {
    uint64_t requests = 0;  // made
    uint64_t received = 0;  // tokens
    uint64_t expired = 0;   // tokens that were not used in time
    uint64_t timeouts = 0;  // requests that were not answered within patience
    uint64_t unmatched = 0; // answers to no request
};

struct GrantorState {
    bool     answers = true;
    bool     measured = false;
    Duration roundTrip{0}; // smoothed
};

/// What is known of one key, without asking for anything.
struct KeyState {
    uint32_t tokens = 0;    // held, and still valid
    double   usage = 0;     // as AllowanceStock::usage()
    Duration retryAfter{0}; // without a token: until the first grantor may have one; 0: one may have it now
};

class AllowanceStock
{
public:
    explicit AllowanceStock(const StockOptions &options);

    bool                     has(std::string_view key, TimePoint now) const; // take() would succeed
    std::optional<TimePoint> take(std::string_view key, const AllowanceLimit &limit, TimePoint now); // its expiry
    std::optional<TimePoint> takeForWaiting(std::string_view key, TimePoint now); // for a call after startWait()
    void giveBack(std::string_view key, TimePoint expiresAt, TimePoint now);      // a token that was not used
    void want(std::string_view key, const AllowanceLimit &limit, TimePoint now);  // one token for later

    void startWait(std::string_view key, const AllowanceLimit &limit, TimePoint now); // a call that take() left without
    void endWait(std::string_view key);
    StockExpectation expectation(std::string_view key, TimePoint now); // for a call that waits

    std::vector<GrantorRequest> dueRequests(TimePoint now); // to send now; at most one in flight for each grantor
    bool                        receive(const AllowanceGrant &grant, TimePoint now); // false: answers no request

    double              usage(std::string_view key, TimePoint now) const; // as reported lately; 0: unknown
    KeyState            state(std::string_view key, TimePoint now) const; // takes and asks for nothing
    size_t              keys() const;
    const StockCounts  &counts() const;
    GrantorState        grantor(size_t n, TimePoint now) const;
    std::vector<size_t> takeSilent(); // grantors that stopped to answer since the last call

private:
    struct Lot { // tokens that expire at the same time
        TimePoint expiresAt{};
        uint32_t  tokens = 0;
    };
    struct Report { // of one grantor on one key
        TimePoint emptyUntil{};
        TimePoint usageAt{};
        double    usage = 0;
    };
    struct Entry {
        std::string         key;
        AllowanceLimit      limit;
        std::vector<Lot>    lots;       // earliest expiry first
        std::vector<Report> reports;    // by grantor
        double              demand = 0; // decayed count of requests
        TimePoint           demandAt{};
        TimePoint           usedAt{};
        size_t              waiting = 0;    // calls
        bool                wanted = false; // one token for later
        bool                queued = false; // in the queue of a grantor, or part of a request in flight
    };
    struct Grantor {
        bool                       inFlight = false; // a request whose answer is awaited
        bool                       answered = true;  // the last request
        uint64_t                   number = 0;       // of the last request
        TimePoint                  sentAt{};
        std::vector<AllowanceWant> wants;  // of the last request
        std::vector<std::string>   queued; // keys for the next request
        TimePoint                  silentUntil{};
        Duration                   silentFor{0}; // of the last requests without an answer; 0: it answered
        bool                       measured = false;
        Duration                   roundTrip{0};
        TimePoint                  measuredAt{};
    };

    Entry                *find(std::string_view key);
    const Entry          *find(std::string_view key) const;
    Entry                *entryOf(std::string_view key, const AllowanceLimit &limit, TimePoint now);
    void                  evict();
    void                  noteDemand(Entry &entry, TimePoint now) const;
    uint32_t              held(Entry &entry, TimePoint now); // after the removal of expired tokens
    uint32_t              needed(Entry &entry, TimePoint now);
    void                  enqueue(Entry &entry, TimePoint now);
    std::optional<size_t> nextGrantor(const Entry &entry, TimePoint now) const;
    double                rankOf(size_t n, TimePoint now) const;
    void                  addTokens(Entry &entry, uint32_t tokens, TimePoint expiresAt);
    void                  handleTimeouts(TimePoint now);
    void                  requeue(std::span<const std::string> keys, TimePoint now);
    AllowanceRequest      nextRequest(Grantor &grantor, TimePoint now);
    void                  receiveShare(size_t n, const AllowanceShare &share, uint32_t wanted, TimePoint now);
    Duration              lifetimeOf(std::string_view key) const;

    StockOptions         m_options;
    AllowanceMap<Entry>  m_entries;
    std::vector<Grantor> m_grantors;
    uint64_t             m_number;
    StockCounts          m_counts;
    std::vector<size_t>  m_silent;
};

} // namespace damask
