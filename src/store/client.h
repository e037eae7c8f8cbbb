/// Client of the platform's key-value store. StoreProtocol encodes its calls; the default is etcd v3 over HTTP.
///
/// Use:
///     StoreClient store(clock, metrics, {.address = "10.0.0.2", .port = 2379});
///     auto entry = store.get("/damask/document");
///     auto swapped = store.swap({.key = "/damask/document", .value = bytes, .version = entry->version});
/// Pitfall: StoreUnknown means that the write may have taken effect. Read the key back before writing again.
/// Each call opens its own connection. A failure to connect therefore proves that nothing was sent, which a reused
/// connection can't.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "call/cancel.h"
#include "store/protocol.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct StoreOptions {
    std::string address = "127.0.0.1";                    // IP address
    uint16_t    port = 2379;                              // TCP
    Duration    connectTimeout = std::chrono::seconds(1); // to establish a connection
    Duration    callTimeout = std::chrono::seconds(2);    // until a reply begins, and between two parts of it
    double      minBytesPerSecond = 125000; // a large reply may take as long as at this rate, on top of callTimeout
    Duration    watchIdleTimeout = std::chrono::seconds(15); // a watch without any message for this long ends
    size_t      maxValueBytes = 1000 * 1000;                 // of one value
};

/// Thread-safe.
class StoreClient
{
public:
    StoreClient(Clock &clock, Metrics &metrics, const StoreOptions &options, StoreProtocol protocol = etcdProtocol());
    ~StoreClient();

    Result<StoreEntry> get(std::string_view key); // NotFound, StoreUnavailable, StoreBadValue
    /// StoreUnavailable, also when the store began a new era between two pages; StoreBadValue. Changes after the
    /// revision of the result may be missing in it. When more than one page is needed, `firstPage` gets the first
    /// before the others are read.
    Result<StoreListing> list(std::string_view prefix, ListFreshness freshness = ListFreshness::Latest,
                              const std::function<void(const StoreListing &)> &firstPage = {});
    /// Long poll: the changes to keys with the prefix after a revision. Waits up to `wait` for the first change; the
    /// token ends the wait with Cancelled. StoreHistoryGone when the store has discarded these changes, and
    /// StoreHistoryLarge when the reply is larger than 1 MB and twice the last list, or than 8 MB; then call list()
    /// again, which costs less.
    Result<StoreChanges> poll(std::string_view prefix, uint64_t after, Duration wait, CancelToken &cancel);
    /// Compare-and-swap; the result is the new version.
    Result<uint64_t> swap(const StoreSwap &change); // StoreConflict, StoreUnknown, StoreTooLarge
    Result<uint64_t> put(std::string_view key, std::string_view value, uint64_t lease = 0); // the new version
    Result<void>     remove(std::string_view key);

    Result<uint64_t> grantLease(Duration timeToLive); // lease id
    Result<Duration> renewLease(uint64_t lease);      // time to live after the renewal; LeaseLapsed
    Result<void>     revokeLease(uint64_t lease);

    /// Blocks until the watch ends: Cancelled by the token, StoreUnavailable, NotFound when its revision was compacted.
    Result<void> watch(const StoreWatch &watch, CancelToken &cancel);

    Result<std::string> fetch(std::string_view path); // GET, for the instance list; StoreUnavailable

    bool reachable() const; // the store answered the last call

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
