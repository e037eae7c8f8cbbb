/// Where a request would go now and why, for operators. Read-only: nothing is acquired, counted or spent.
///
/// Load pattern: none; it shows the choice that the load of the moment leads to. Differences from a real choice: all
/// targets are compared, while a choice among many compares at most ServiceTable::MaxCandidates of them, and no target
/// is probed, while a node probes the best ones where its reports are old.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "route/account_gate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// A request as an operator describes it.
struct PreviewQuery {
    std::string host;
    std::string path;           // including its query
    std::string method = "GET"; // decides whether it is idempotent
    std::string account;        // name of the client account; empty: none
};

/// Why a target would not get the request.
enum class LeftOut : uint8_t {
    None,         // it could get it
    Draining,     // it drains, leaves or was removed
    Evacuated,    // its data centre is evacuated
    PushBack,     // it wants nothing from this instance for now
    Ejected,      // it failed too often, or is on trial
    RuleHomes,    // outside the home regions of the rule
    AccountHomes, // outside the home regions of the client account
    DataCentre,   // the rule does not allow its data centre
    RegionBudget, // the budget of bytes between regions is used up
    ColdToken,    // it is cold, its requests are limited, and this instance has no token for it
    NotAllowed,   // another rule of the service excludes it
    Full,         // no free slot, as far as known
};

std::string_view leftOutName(LeftOut reason); // "" for None, else e.g. "region-budget"

struct PreviewCandidate {
    std::string target; // "pool/target"
    std::string dataCentre;
    int         inFlight = 0;  // calls of this instance
    int         slots = 0;     // requests that it handles at once
    double      estimate = 0;  // calls in flight from all instances
    double      cost = 0;      // ms, expected until the answer, with penalties and the cost of the distance
    double      reportAge = 0; // ms; -1: never reported
    bool        cold = false;
    LeftOut     leftOut = LeftOut::None;
};

/// The choice within one service.
struct ServicePreview {
    std::string                   service;
    double                        weight = 1;      // of a split rule
    Code                          code = Code::Ok; // why the request would be refused or queued; QueueFull: queued
    size_t                        queued = 0;      // calls
    bool                          shortage = false;
    double                        spillover = 0; // how far this data centre lacks slots, 0 to 1, with [route] spillover
    std::string                   chosen;        // "pool/target"; empty: none
    std::vector<PreviewCandidate> candidates;    // lowest cost first, those that are left out last
};

/// The quota of a client account as this instance knows it.
struct QuotaPreview {
    double   requestsPerSecond = 0; // over all instances
    uint32_t tokens = 0;            // held by this instance
    double   usage = 0;     // requests of the last second over all instances as a share of the quota; 0: unknown
    Duration retryAfter{0}; // without a token: until one may be granted; 0: one may be granted now
};

struct RoutePreview {
    uint64_t                    revision = 0;             // of the configuration
    std::string                 rule;                     // name; empty: none matches
    std::string                 account;                  // name; empty: none
    KeyCheck                    keyCheck = KeyCheck::Off; // of a request with a key of the account
    std::optional<QuotaPreview> quota;                    // none: the account has none
    bool                        idempotent = false;
    Code                        code = Code::Ok; // why the request would be refused before any service is asked
    std::vector<ServicePreview> services;        // one, or those of a split rule
};

} // namespace damask
