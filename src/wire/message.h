/// Messages of the inner protocol, as plain values.
///
/// Use: `std::string bytes = encodeMessage({.sender = "entry-1", .body = OfferApplied{...}});`
/// Decoding checks every field; malformed bytes give BadMessage and never terminate the process.
#pragma once

#include "base/result.h"
#include "control/document.h"
#include "follow/news.h"
#include "member/membership.h"
#include "quota/allowance.h"
#include "quota/credit.h"
#include "route/balancer.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damask {

constexpr size_t MaxMessageBytes = 2 * 1024 * 1024; // a control document with its envelope

/// Entry to keeper: what the entry currently uses. Sent at the start and as a heartbeat.
struct EntryHello {
    uint64_t revision = 0; // of the entry's configuration; 0: none
    uint64_t offer = 0;    // last one applied from this keeper; 0: none
};

/// Keeper to entry: the configuration to apply.
struct ConfigurationOffer {
    uint64_t                             offer = 0; // number; rises by one with each change
    std::shared_ptr<const Configuration> configuration;
};

/// Entry to keeper: acknowledges that all new attempts use the offered configuration.
struct OfferApplied {
    uint64_t offer = 0;
    uint64_t revision = 0;
};

/// Load updates of targets, in both directions.
struct LoadUpdateBatch {
    std::vector<LoadUpdate> updates;
};

/// Keeper to keeper: a copy of the document in the store.
struct DocumentCopy {
    uint64_t    version = 0; // of the store's key
    std::string document;    // encoded
    uint64_t    hash = 0;    // hashBytes(document)
    bool        storeReachable = false;
};

/// Keeper to keeper: asks for the document if the receiver has a newer version.
struct DocumentRequest {
    uint64_t version = 0; // that the sender has
};

/// Keeper to keeper: shows that the sender is alive. The first report is the sender's own; a watcher adds the reports
/// of the other instances in its data centre.
struct Heartbeat {
    bool                      storeReachable = false; // according to the sender's last store call
    std::vector<MemberReport> members;
};

using MessageBody =
    std::variant<EntryHello, ConfigurationOffer, OfferApplied, LoadUpdateBatch, DocumentCopy, DocumentRequest,
                 Heartbeat, FollowRequest, StoreNews, AllowanceRequest, AllowanceGrant, CreditRequest, CreditGrant>;

struct Message {
    std::string sender;          // name of the instance
    uint64_t    incarnation = 0; // of the sender's process
    MessageBody body;
};

std::string_view kindOf(const MessageBody &body); // metric label, e.g. "allowance-request"

std::string     encodeMessage(const Message &message);
Result<Message> decodeMessage(std::string_view bytes); // BadMessage

} // namespace damask
