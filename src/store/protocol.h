/// Hooks that encode the calls of a key-value store as HTTP requests and decode the replies.
///
/// Use: the default is the HTTP interface of etcd v3; an adapter supplies the protocol of its platform.
/// A protocol only encodes requests and decodes replies. StoreClient handles timeouts and metrics and decides what a
/// lost reply means. A call whose hook is empty must not be made (asserted).
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "call/message.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// What a list call may return.
enum class ListFreshness {
    Latest,     // all that the store has acknowledged
    MayBeStale, // possibly an earlier state, at a lower cost for the store
};

struct StoreEntry {
    std::string key;
    std::string value;
    uint64_t    version = 0; // store revision of the last write
};

/// Result of a list call: the entries and the store revision that they reflect.
struct StoreListing {
    std::vector<StoreEntry> entries;
    uint64_t                revision = 0;
    std::string             next = {};      // if not empty, more entries follow after this key
    size_t                  unreadable = 0; // items left out because they name no key
    std::optional<uint64_t> era = {};       // nullopt: not named
};

/// Precondition of a write: the key must still have this version. Used to prove that a lease is still held.
struct StoreFence {
    std::string key;
    uint64_t    version = 0;
};

struct StoreSwap {
    std::string               key;
    std::string               value;
    uint64_t                  version = 0; // expected version; 0: the key must not exist
    uint64_t                  lease = 0;   // lease to attach; 0: none
    std::optional<StoreFence> fence;       // additional precondition
};

/// One change. No value means that the key was deleted.
struct StoreChange {
    std::string                key;
    std::optional<std::string> value;
    uint64_t                   revision = 0;
};

/// Result of a long poll: changes in order, and the revision for the next poll.
struct StoreChanges {
    std::vector<StoreChange> changes;
    uint64_t                 revision = 0;
    size_t                   unreadable = 0; // changes left out because they name no key
    std::optional<uint64_t>  era = {};       // nullopt: not named
};

/// One change seen by a watch. No entry means that the key was deleted.
struct StoreEvent {
    std::optional<StoreEntry> entry;
    uint64_t                  revision = 0;
};

struct StoreWatch {
    std::string                             key;
    uint64_t                                fromRevision = 0; // first revision to report; 0: from now on
    std::function<void(const StoreEvent &)> changed;          // called on the thread of watch()
    std::function<void()>                   alive;            // called on every message of the store; may be empty
};

/// HTTP request of a call.
struct StoreCall {
    std::string method;
    std::string path;
    std::string body = {}; // JSON
};

/// Complete HTTP reply to a call.
struct StoreReply {
    int                      status = 200;
    std::string              body;
    std::vector<HeaderField> headers = {};
};

/// Pairs of hooks: one encodes the request, one decodes the reply. A decoder may return any code; the client counts it.
/// readWatchLine returns how many events of the line were malformed; its error ends the watch.
struct StoreProtocol {
    /// The store's era (store/position.h). NotFound without one, StoreBadValue when malformed. May be empty.
    std::function<Result<uint64_t>(const StoreReply &)>                         readEra;
    std::function<StoreCall(std::string_view key)>                              get;
    std::function<Result<StoreEntry>(std::string_view key, const StoreReply &)> readGet; // NotFound
    std::function<StoreCall(std::string_view prefix, std::string_view after, ListFreshness freshness)>
                                                            list; // one page of entries after a key
    std::function<Result<StoreListing>(const StoreReply &)> readList;
    std::function<StoreCall(std::string_view prefix, uint64_t after, Duration wait)> poll; // changes after a revision
    std::function<Result<StoreChanges>(const StoreReply &)>                          readPoll; // StoreHistoryGone
    std::function<StoreCall(const StoreSwap &)>                                      swap;
    std::function<Result<uint64_t>(const StoreSwap &, const StoreReply &)>           readSwap; // StoreConflict
    std::function<StoreCall(std::string_view key, std::string_view value, uint64_t lease)> put;
    std::function<StoreCall(std::string_view key)>                                         remove;
    std::function<Result<uint64_t>(const StoreReply &)>                      readWrite; // for put and remove
    std::function<StoreCall(Duration timeToLive)>                            grantLease;
    std::function<Result<uint64_t>(const StoreReply &)>                      readGrant;
    std::function<StoreCall(uint64_t lease)>                                 renewLease;
    std::function<Result<Duration>(const StoreReply &)>                      readRenewal; // LeaseLapsed
    std::function<StoreCall(uint64_t lease)>                                 revokeLease;
    std::function<StoreCall(const StoreWatch &)>                             watch;         // streams messages
    std::function<Result<size_t>(std::string_view line, const StoreWatch &)> readWatchLine; // count of malformed events
};

/// etcd v3 over its HTTP and JSON gateway.
StoreProtocol etcdProtocol();

} // namespace damask
