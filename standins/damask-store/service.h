/// HTTP interface of the stand-in: JSON mapping of the etcd v3 protocol, instance list, faults and statistics.
///
/// Supported subset: POST /v3/kv/range (one key, or a range without options), /v3/kv/put, /v3/kv/deleterange (one key),
/// /v3/kv/txn (compares of MOD with EQUAL, puts on success), /v3/lease/grant, /v3/lease/keepalive (one response),
/// /v3/lease/revoke, /v3/watch (one create_request for one key; the response streams). 64-bit numbers are strings,
/// keys and values base64, as in the published protocol.
/// Additional endpoints: GET /instances, POST /fault, GET /stats.
#pragma once

#include "base/clock.h"
#include "damask-store/instance_table.h"
#include "damask-store/key_values.h"

#include <cstdint>
#include <memory>
#include <string>

namespace damask::standin {

struct ServiceOptions {
    std::string address = "127.0.0.1";
    uint16_t    port = 2379;                        // TCP; 0: any free one
    size_t      threads = 256;                      // concurrent calls and watches
    size_t      maxValueBytes = 1000 * 1000;        // largest value
    Duration    progress = std::chrono::seconds(5); // interval of progress messages on an idle watch
};

/// Injected faults; set with POST /fault at run time.
struct Faults {
    bool     down = false;              // requests are dropped; the connection closes without a response
    Duration slow{0};                   // delay before each call
    bool     loseConfirmations = false; // writes are applied, their responses are lost
};

class Service
{
public:
    Service(Clock &clock, const ServiceOptions &options);
    ~Service(); // stops

    Result<void>   start();
    void           stop();
    uint16_t       port() const;
    void           setFaults(const Faults &faults); // for in-process tests
    KeyValues     &keys();
    InstanceTable &instances();
    uint64_t       calls(std::string_view kind) const; // number since the start

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask::standin
