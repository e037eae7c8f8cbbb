/// What a node reads from a watched store: the operators' complete configuration, and targets that register
/// themselves.
///
/// Plain values. A platform adapter decodes them from the platform's format, which no decision depends on.
#pragma once

#include "base/time.h"
#include "config/model.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace damask {

/// Limits on callers' requests and connections.
struct CallerLimits {
    size_t   headerBytes = 32 * 1024;                  // of the request line and all fields
    size_t   bodyBytes = 8 * 1024 * 1024;              // of a request
    Duration headerTimeout = std::chrono::seconds(10); // to receive a request
    Duration idleTimeout{0};                           // of a connection between two requests; 0: unlimited
};

/// One complete version of the operators' configuration. Pools are empty: targets register themselves.
struct WatchedConfiguration {
    uint64_t             version = 0; // rises with each change, by any amount
    std::vector<Service> services;    // sorted by name
    std::vector<Rule>    rules;       // sorted by name
    CallerLimits         limits;

    std::shared_ptr<const AccountTable> accounts; // null: callers need no key

    std::vector<std::string> refused; // why parts of it can't be used: the field, its value and what is allowed
};

/// A target's registration, as the target wrote it.
struct RegisteredTarget {
    std::string id;               // unique; may stay the same after a restart
    std::string service;          // name of the Service that it serves
    std::string address;          // IP address
    uint16_t    port = 0;         // TCP
    std::string dataCentre;       // its location
    int         slots = 1;        // requests that it runs concurrently
    bool        draining = false; // takes no new requests
    int64_t     startedAt = 0;    // start of its process, ms since 1970 by its own clock; no order. 0: unknown
    int64_t     sequence = 0;     // rises with each write by the same process
    uint64_t    revision = 0;     // store revision of the entry
    uint64_t    era = 0;          // of the store, to which the revision belongs
    Duration    coldLeft{0};      // remaining time of slow responses after its start

    bool operator==(const RegisteredTarget &) const = default;
};

} // namespace damask
