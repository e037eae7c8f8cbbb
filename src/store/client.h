/// Client of the platform's key-value service. The form of its calls is a hook; by default that of etcd v3 over HTTP.
///
/// Use:
///     StoreClient store(clock, metrics, {.address = "10.0.0.2", .port = 2379});
///     auto held = store.get("/damask/document");
///     auto swapped = store.swap({.key = "/damask/document", .value = bytes, .version = held->version});
/// Pitfall: StoreUnknown means that the write may have taken effect. Read back; never send it again blindly.
/// Each call uses a connection of its own, so that a failure before anything was sent is told apart for sure.
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
    std::string address = "127.0.0.1";                       // IP number
    uint16_t    port = 2379;                                 // TCP
    Duration    connectTimeout = std::chrono::seconds(1);    // for a connection
    Duration    callTimeout = std::chrono::seconds(2);       // for a whole call
    Duration    watchIdleTimeout = std::chrono::seconds(15); // a watch that says nothing for so long is made anew
    size_t      maxValueBytes = 1000 * 1000;                 // of one value
};

/// Safe from all threads.
class StoreClient
{
public:
    StoreClient(Clock &clock, Metrics &metrics, const StoreOptions &options, StoreProtocol protocol = etcdProtocol());
    ~StoreClient();

    Result<StoreEntry>   get(std::string_view key);     // NotFound, StoreUnavailable, StoreBadValue
    Result<StoreListing> list(std::string_view prefix); // StoreUnavailable, StoreBadValue
    /// The changes of keys with the prefix after a revision; waits for the first one. The token ends the wait with
    /// Cancelled. StoreHistoryGone when the store no longer knows them: read all anew.
    Result<StoreChanges> poll(std::string_view prefix, uint64_t after, Duration wait, CancelToken &cancel);
    Result<uint64_t>     swap(const StoreSwap &change); // the new version; StoreConflict, StoreUnknown, StoreTooLarge
    Result<uint64_t>     put(std::string_view key, std::string_view value, uint64_t lease = 0); // the new version
    Result<void>         remove(std::string_view key);

    Result<uint64_t> grantLease(Duration timeToLive); // its id
    Result<Duration> renewLease(uint64_t lease);      // time to live from now; LeaseLapsed
    Result<void>     revokeLease(uint64_t lease);

    /// Blocks until the watch ends: Cancelled by the token, StoreUnavailable, NotFound when its revision is compacted.
    Result<void> watch(const StoreWatch &watch, CancelToken &cancel);

    Result<std::string> fetch(std::string_view path); // GET, for the instance list; StoreUnavailable

    bool reachable() const; // the last call was answered

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
