/// Messages between the system's own processes, as plain values.
///
/// Use: `std::string bytes = encodeMessage({.sender = "entry-1", .body = OfferApplied{...}});`
/// Decoding checks every field; bad bytes give BadMessage and never stop a process.
#pragma once

#include "base/result.h"
#include "control/document.h"
#include "follow/news.h"
#include "member/membership.h"
#include "route/balancer.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damask {

constexpr size_t MaxMessageBytes = 2 * 1024 * 1024; // a document and its envelope

/// Entry to keeper: what it uses now. Sent at the start and as a heartbeat.
struct EntryHello {
    uint64_t revision = 0; // of its configuration; 0: none
    uint64_t offer = 0;    // applied last from this keeper; 0: none
};

/// Keeper to entry: use this from now on.
struct ConfigurationOffer {
    uint64_t                             offer = 0; // rises by one with each change
    std::shared_ptr<const Configuration> configuration;
};

/// Entry to keeper: all new attempts use the offer.
struct OfferApplied {
    uint64_t offer = 0;
    uint64_t revision = 0;
};

/// News of targets, in both directions.
struct LoadUpdateBatch {
    std::vector<LoadUpdate> updates;
};

/// Keeper to keeper: the document as it stands in the store.
struct DocumentCopy {
    uint64_t    version = 0; // of the store's key
    std::string document;    // encoded
    uint64_t    hash = 0;    // hashBytes(document)
    bool        storeReachable = false;
};

/// Keeper to keeper: send the document if it is newer.
struct DocumentRequest {
    uint64_t version = 0; // held already
};

/// Keeper to keeper: alive. The first report is the sender's own; a watcher adds those of its data centre.
struct Heartbeat {
    bool                      storeReachable = false; // by the last call
    std::vector<MemberReport> members;
};

using MessageBody = std::variant<EntryHello, ConfigurationOffer, OfferApplied, LoadUpdateBatch, DocumentCopy,
                                 DocumentRequest, Heartbeat, FollowRequest, StoreNews>;

struct Message {
    std::string sender;          // name of the instance
    uint64_t    incarnation = 0; // of the sender's process
    MessageBody body;
};

std::string     encodeMessage(const Message &message);
Result<Message> decodeMessage(std::string_view bytes); // BadMessage

} // namespace damask
