/// How the calls of the key-value service look on HTTP: one StoreClient serves each form.
///
/// Use: the default is the HTTP form of the etcd v3 protocol; an adapter puts in the form of its platform.
/// A form says for each call what is sent and how the reply is read; time-outs, counting and what a lost answer
/// means are the client's. Calls that a form leaves empty are not to be made (asserted).
#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct StoreEntry {
    std::string key;
    std::string value;
    uint64_t    version = 0; // revision of the store that wrote it
};

/// What a read gave: the entries and the store's revision they are true at.
struct StoreListing {
    std::vector<StoreEntry> entries;
    uint64_t                revision = 0;
    std::string             next = {}; // not empty: there is more, after this key
};

/// A key that must still stand as it was for a write to take effect: the proof of a lease.
struct StoreFence {
    std::string key;
    uint64_t    version = 0;
};

struct StoreSwap {
    std::string               key;
    std::string               value;
    uint64_t                  version = 0; // expected; 0: the key must not exist
    uint64_t                  lease = 0;   // 0: none
    std::optional<StoreFence> fence;       // also expected
};

/// One change; no value: the key was deleted.
struct StoreChange {
    std::string                key;
    std::optional<std::string> value;
    uint64_t                   revision = 0;
};

/// What a long poll gave: changes in their order, and the revision to go on from.
struct StoreChanges {
    std::vector<StoreChange> changes;
    uint64_t                 revision = 0;
};

/// One change seen by a watch; no entry: the key was deleted.
struct StoreEvent {
    std::optional<StoreEntry> entry;
    uint64_t                  revision = 0;
};

struct StoreWatch {
    std::string                             key;
    uint64_t                                fromRevision = 0; // first one wanted; 0: from now on
    std::function<void(const StoreEvent &)> changed;          // on the thread that watches
    std::function<void()>                   alive;            // the store said something; may be empty
};

/// A call as it goes over HTTP.
struct StoreCall {
    std::string method;
    std::string path;
    std::string body = {}; // JSON
};

/// A reply to a call, whole.
struct StoreReply {
    int         status = 200;
    std::string body;
};

/// Pairs of hooks: what is sent, and what the reply says. A reader may give any code; the client counts it.
struct StoreProtocol {
    std::function<StoreCall(std::string_view key)>                                   get;
    std::function<Result<StoreEntry>(std::string_view key, const StoreReply &)>      readGet; // NotFound
    std::function<StoreCall(std::string_view prefix, std::string_view after)>        list;    // one page, after a key
    std::function<Result<StoreListing>(const StoreReply &)>                          readList;
    std::function<StoreCall(std::string_view prefix, uint64_t after, Duration wait)> poll; // changes after a revision
    std::function<Result<StoreChanges>(const StoreReply &)>                          readPoll; // StoreHistoryGone
    std::function<StoreCall(const StoreSwap &)>                                      swap;
    std::function<Result<uint64_t>(const StoreSwap &, const StoreReply &)>           readSwap; // StoreConflict
    std::function<StoreCall(std::string_view key, std::string_view value, uint64_t lease)> put;
    std::function<StoreCall(std::string_view key)>                                         remove;
    std::function<Result<uint64_t>(const StoreReply &)> readWrite; // by put and remove
    std::function<StoreCall(Duration timeToLive)>       grantLease;
    std::function<Result<uint64_t>(const StoreReply &)> readGrant;
    std::function<StoreCall(uint64_t lease)>            renewLease;
    std::function<Result<Duration>(const StoreReply &)> readRenewal; // LeaseLapsed
    std::function<StoreCall(uint64_t lease)>            revokeLease;
    std::function<StoreCall(const StoreWatch &)>        watch; // answers without end
    std::function<Result<size_t>(std::string_view line, const StoreWatch &)>
        readWatchLine; // bad events; an error ends it
};

/// The HTTP form of the etcd v3 protocol.
StoreProtocol etcdProtocol();

} // namespace damask
