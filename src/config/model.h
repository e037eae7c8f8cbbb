/// The configuration that operators create: services, pools of targets, rules, data centres and links.
///
/// Plain values. Every named thing carries a version that rises by one with each ticket that changes it;
/// the whole carries a revision that rises by one with each ticket that is accepted, or withdrawn after it was
/// staged, and never goes back.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// A server process that runs requests.
struct Target {
    std::string name;             // unique in its pool
    std::string address;          // IP number
    uint16_t    port = 0;         // TCP
    std::string dataCentre;       // name of a DataCentre
    int         slots = 1;        // requests it runs at once
    bool        draining = false; // takes no new work: set by a ticket or by its registry
    std::string instance;         // identity that it has to confirm with each request; empty: not checked
    int64_t     startedAt = 0;    // of its process, ms since 1970; another value is another process. 0: not known
    Duration    coldLeft{0};      // how much longer it is slow after its start, when it was learnt

    bool operator==(const Target &) const = default;
};

/// A named set of targets.
struct Pool {
    std::string         name;
    uint64_t            version = 0;
    std::vector<Target> targets; // in the order of their names

    bool operator==(const Pool &) const = default;
};

/// What requests of one kind need, and how they are treated.
struct Service {
    std::string name;
    uint64_t    version = 0;
    std::string pool;                                       // name of the Pool that serves it
    Duration    deadline = std::chrono::seconds(2);         // when a caller gives none
    int         maxDepth = 16;                              // calls above a call, at most
    int         queueLimit = 64;                            // calls that wait for a slot in one entry
    Duration    queueWait = std::chrono::milliseconds(100); // waiting for a slot, at most
    double      retryRatio = 0.1;                           // retries and hedges for each call, at most
    double      minRetriesPerWindow = 10;                   // retries besides, in any retryWindow
    Duration    retryWindow = std::chrono::seconds(10);     // every span of this length keeps to the ratio
    bool        hedge = false;                              // a second attempt for late idempotent calls
    Duration    hedgeAfter = std::chrono::milliseconds(50); // least time before a hedge
    int         connectionShare = 12;                       // connections one entry holds to one target
    std::string healthPath;                                 // where targets tell how they are; empty: the usual one
    double      measureBytesPerSecond = 4096;               // budget for probes from one entry
    double      measureProbesPerSecond = 20;                // budget for probes from one entry
    double      regionBytesPerSecond = 1e6;                 // calls' bytes to other regions from one entry

    bool operator==(const Service &) const = default;
};

// Idempotency::Never is scoped and so can't be mistaken for the TimePoint Never, but -Wshadow of g++ 12 says it can.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"

/// Which requests a rule lets be sent again.
enum class Idempotency {
    ByMethod, // GET, HEAD, OPTIONS, PUT and DELETE as in RFC 9110
    Always,   // every request under the rule may run twice
    Never,    // no request under the rule may run twice
};

#pragma GCC diagnostic pop

/// One part of a rule whose requests are split between services.
struct ServiceShare {
    std::string service;    // name of the Service
    double      weight = 0; // share of the requests, in proportion to the other parts' weights

    bool operator==(const ServiceShare &) const = default;
};

/// Where requests may go. The rule with the longest matching prefix decides; one that names a host goes first.
struct Rule {
    std::string              name;
    uint64_t                 version = 0;
    std::string              host;         // empty: any
    std::string              prefix = "/"; // of the path
    std::string              service;      // name of the Service; empty: such requests are refused
    Idempotency              idempotency = Idempotency::ByMethod;
    std::vector<std::string> dataCentres; // where requests may go; empty: anywhere

    // From a watched configuration only; tickets do not set these.
    std::vector<ServiceShare> split;               // instead of service: parts of the requests go to each
    Duration                  timeout{0};          // longest time that a caller is kept waiting; 0: its deadline
    Duration                  objective{0};        // answers are wanted within it; 0: none
    int                       maxAttempts = 0;     // targets that one call may be sent to; 0: the usual three
    int                       rank = 0;            // 0 is the most urgent
    bool                      retryErrors = false; // an idempotent call is sent again after an answer of 5xx

    bool operator==(const Rule &) const = default;
};

/// A data centre and the region it stands in.
struct DataCentre {
    std::string name;
    uint64_t    version = 0;
    std::string region;

    bool operator==(const DataCentre &) const = default;
};

/// The link between two regions, the same in both directions. Within a region delays are taken as Duration(1.5 ms).
struct Link {
    std::string name; // two region names joined by "--", in alphabetical order
    uint64_t    version = 0;
    Duration    delay = std::chrono::milliseconds(8); // one way

    bool operator==(const Link &) const = default;
};

/// A public key that the inner protocol knows; a retired one is refused and named.
struct PeerKey {
    std::string name;
    uint64_t    version = 0;
    std::string publicKey; // 40 characters of Z85
    bool        retired = false;

    bool operator==(const PeerKey &) const = default;
};

/// The whole state that tickets change. Lists are in the order of names.
struct Configuration {
    uint64_t                revision = 0;
    std::vector<Service>    services;
    std::vector<Pool>       pools;
    std::vector<Rule>       rules;
    std::vector<DataCentre> dataCentres;
    std::vector<Link>       links;
    std::vector<PeerKey>    keys;

    bool operator==(const Configuration &) const = default;
};

} // namespace damask
