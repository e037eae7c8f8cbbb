/// Shared allowances: limits on requests per second over all instances together, enforced by tokens.
///
/// Plain values. An instance asks a grantor, which is another instance or itself, for tokens with an AllowanceRequest;
/// the AllowanceGrant says how many it got. docs/design/quotas.md explains the design.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

constexpr std::string_view AccountKeyPrefix = "account/";
constexpr std::string_view TargetKeyPrefix = "target/";

/// A limit over all instances together. The limit of a higher version replaces one of a lower version.
struct AllowanceLimit {
    double   perSecond = 0; // tokens per second
    double   burst = 0;     // tokens in addition
    uint64_t version = 0;   // of the configuration that it comes from

    bool operator==(const AllowanceLimit &) const = default;
};

/// Tokens that an instance wants for one key.
struct AllowanceWant {
    std::string    key; // "account/NAME" or "target/NAME@START"
    AllowanceLimit limit;
    uint32_t       tokens = 0;
};

struct AllowanceRequest {
    uint64_t                   number = 0; // rises with each request of the sender; repeated in the grant
    std::vector<AllowanceWant> wants;
};

/// The answer for one key.
struct AllowanceShare {
    std::string key;
    uint32_t    tokens = 0;    // granted, at most as many as wanted
    Duration    retryAfter{0}; // until a token is expected, if fewer were granted than wanted
    double      usage = 0; // tokens that the grantor granted in the last second, as a share of its part of the limit
};

struct AllowanceGrant {
    uint64_t                    number = 0; // of the request
    std::vector<AllowanceShare> shares;
};

} // namespace damask
