/// The configuration that operators create: services, pools of targets, rules, data centres, links and keys.
///
/// Plain values. Every named object carries a version that rises by one with each ticket that changes it. The
/// configuration carries a revision that rises by one with each ticket that is accepted, or withdrawn after it was
/// staged, and never decreases.
#pragma once

#include "base/time.h"
#include "config/accounts.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// A server process that handles requests.
struct Target {
    std::string name;             // unique in its pool
    std::string address;          // IP address
    uint16_t    port = 0;         // TCP
    std::string dataCentre;       // name of a DataCentre
    int         slots = 1;        // requests it handles at once
    bool        draining = false; // gets no new requests: set by a ticket or by its registration
    std::string instance;         // identity that it must confirm with each request; empty: not checked
    int64_t     startedAt = 0;    // start of its process, ms since 1970; another value is another process. 0: unknown
    Duration    coldLeft{0};      // remaining time of slow responses after its start, as of when it was reported
    uint64_t    entryRevision{0}; // of the write that reported it; 0: not registered
    uint64_t    entryEra{0};      // to which that revision belongs: the same one may be assigned again in the next

    bool operator==(const Target &) const = default;
};

/// A named set of targets.
struct Pool {
    std::string         name;
    uint64_t            version = 0;
    std::vector<Target> targets; // sorted by name

    bool operator==(const Pool &) const = default;
};

/// A kind of request: which pool serves it, and its limits for queueing, retries and hedging.
struct Service {
    std::string name;
    uint64_t    version = 0;
    std::string pool;                                       // name of the Pool that serves it
    Duration    deadline = std::chrono::seconds(2);         // default when a caller sets none
    int         maxDepth = 16;                              // calls above a call in its call chain, at most
    int         queueLimit = 64;                            // calls that wait for a slot in one entry
    Duration    queueWait = std::chrono::milliseconds(100); // longest wait for a slot
    double      retryRatio = 0.1;                           // retries and hedges per call, at most
    double      minRetriesPerWindow = 10;                   // retries in addition to the ratio, in any retryWindow
    Duration    retryWindow = std::chrono::seconds(10);     // the ratio holds over every period of this length
    bool        hedge = false;                              // a second attempt for slow idempotent calls
    Duration    hedgeAfter = std::chrono::milliseconds(50); // shortest delay before a hedge
    double hedgeLimit = 0; // hedges per call in any retryWindow, set by a node; 0: by hedgeAfter and retryRatio only
    int    connectionShare = 12;              // connections from one entry to one target
    std::string healthPath;                   // path of the targets' health report; empty: the default
    double      measureBytesPerSecond = 4096; // budget for probes from one entry
    double      measureProbesPerSecond = 20;  // budget for probes from one entry
    double      regionBytesPerSecond = 1e6;   // bytes of calls to other regions from one entry
    Duration    coldStart{0};                 // a target is cold for so long after its start
    double      coldRequestsPerSecond = 0;    // that a cold target takes from all instances together; 0: unlimited

    bool operator==(const Service &) const = default;
};

// Idempotency::Never is scoped and can't be confused with the TimePoint Never, but -Wshadow of g++ 12 warns about it.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"

/// Which requests under a rule may be sent again.
enum class Idempotency {
    ByMethod, // GET, HEAD, OPTIONS, PUT and DELETE as in RFC 9110
    Always,   // every request under the rule may run twice
    Never,    // no request under the rule may run twice
};

#pragma GCC diagnostic pop

/// One part of a rule that splits its requests between services.
struct ServiceShare {
    std::string service;    // name of the Service
    double      weight = 0; // share of the requests, relative to the weights of the other parts

    bool operator==(const ServiceShare &) const = default;
};

/// Where requests may go. The rule with the longest matching prefix applies; rules that name a host take precedence.
struct Rule {
    std::string              name;
    uint64_t                 version = 0;
    std::string              host;         // empty: any
    std::string              prefix = "/"; // of the path
    std::string              service;      // name of the Service; empty: matching requests are refused
    Idempotency              idempotency = Idempotency::ByMethod;
    std::vector<std::string> dataCentres; // where requests may go; empty: anywhere

    // Set by a watched configuration only, never by tickets.
    std::vector<ServiceShare> split;               // replaces `service`: services that share the requests
    Duration                  timeout{0};          // longest time that a caller waits; 0: its deadline
    Duration                  objective{0};        // response time objective; 0: none
    int                       maxAttempts = 0;     // targets that one call may be sent to; 0: the default of three
    int                       rank = 0;            // priority; 0 is the most urgent
    bool                      retryErrors = false; // an idempotent call is retried after a 5xx response
    std::vector<std::string>  allowedRegions;      // where requests may be served; empty: anywhere
    bool                      needsNoKey = false;  // a request needs no client account's key
    bool                      largeBodies = false; // bodies are passed on while they arrive; needs Idempotency::Never
    std::string               unusable;            // why its requests are refused with RuleUnusable; empty: usable

    bool operator==(const Rule &) const = default;
};

/// A data centre and the region it is in.
struct DataCentre {
    std::string name;
    uint64_t    version = 0;
    std::string region;

    bool operator==(const DataCentre &) const = default;
};

/// The link between two regions, the same in both directions. Within a region, a delay of 1.5 ms is assumed.
struct Link {
    std::string name; // two region names joined by "--", in alphabetical order
    uint64_t    version = 0;
    Duration    delay = std::chrono::milliseconds(8); // one way

    bool operator==(const Link &) const = default;
};

/// A public key known to the inner protocol; a retired one is refused, and the refusal names it.
struct PeerKey {
    std::string name;
    uint64_t    version = 0;
    std::string publicKey; // 40 characters of Z85
    bool        retired = false;

    bool operator==(const PeerKey &) const = default;
};

/// The complete configuration that tickets change. Lists are sorted by name.
struct Configuration {
    uint64_t                revision = 0;
    std::vector<Service>    services;
    std::vector<Pool>       pools;
    std::vector<Rule>       rules;
    std::vector<DataCentre> dataCentres;
    std::vector<Link>       links;
    std::vector<PeerKey>    keys;

    // Set by a watched configuration only, never by tickets.
    std::vector<std::string>            evacuatedDataCentres; // their targets get no requests; sorted
    std::shared_ptr<const AccountTable> accounts;             // null: callers need no key

    bool operator==(const Configuration &) const = default;
};

} // namespace damask
