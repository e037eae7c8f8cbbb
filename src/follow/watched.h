/// What a watched source gives: the operators' whole configuration, and targets that register themselves.
///
/// Plain values. An adapter decodes them from its platform's form; the decisions never see that form.
#pragma once

#include "base/time.h"
#include "config/model.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damask {

/// What callers may send, and how long they may take.
struct CallerLimits {
    size_t   headerBytes = 32 * 1024;                  // request line and fields
    size_t   bodyBytes = 8 * 1024 * 1024;              // of a request
    Duration headerTimeout = std::chrono::seconds(10); // for a request to come in
    Duration idleTimeout{0};                           // of a connection between two requests; 0: none
};

/// One version of the operators' configuration, whole. Pools are empty: targets register themselves.
struct WatchedConfiguration {
    uint64_t             version = 0; // rises with each change, in steps of any size
    std::vector<Service> services;    // in the order of names
    std::vector<Rule>    rules;       // in the order of names
    CallerLimits         limits;
};

/// What a target says of itself.
struct RegisteredTarget {
    std::string id;               // unique; a process that starts again may keep it
    std::string service;          // name of the Service that it serves
    std::string address;          // IP number
    uint16_t    port = 0;         // TCP
    std::string dataCentre;       // where it stands
    int         slots = 1;        // requests it runs at once
    bool        draining = false; // takes no new work
    int64_t     startedAt = 0;    // of its process, ms since 1970; rises with each start
    int64_t     sequence = 0;     // rises with each entry that its process writes
    uint64_t    revision = 0;     // of the store that holds the entry
    Duration    coldLeft{0};      // how much longer it is slow after its start

    bool operator==(const RegisteredTarget &) const = default;
};

} // namespace damask
