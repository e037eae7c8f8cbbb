/// HTTP of the stand-in: the JSON form of the etcd v3 protocol, the instance list, faults and statistics.
///
/// The subset: POST /v3/kv/range (one key, or a range without options), /v3/kv/put, /v3/kv/deleterange (one key),
/// /v3/kv/txn (compares of MOD with EQUAL, puts on success), /v3/lease/grant, /v3/lease/keepalive (one answer),
/// /v3/lease/revoke, /v3/watch (one create_request for one key; the answer streams). 64-bit numbers are strings,
/// keys and values base64, as in the published protocol.
/// Beside it: GET /instances, POST /fault, GET /stats.
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
    size_t      threads = 256;                      // calls and watches served at once
    size_t      maxValueBytes = 1000 * 1000;        // of one value
    Duration    progress = std::chrono::seconds(5); // a watch without news says so
};

/// What is wrong with the service now; steered over POST /fault while it runs.
struct Faults {
    bool     down = false;              // nothing is done, and the connection closes without an answer
    Duration slow{0};                   // before each call is done
    bool     loseConfirmations = false; // writes are done, and their answers lost
};

class Service
{
public:
    Service(Clock &clock, const ServiceOptions &options);
    ~Service(); // stops

    Result<void>   start();
    void           stop();
    uint16_t       port() const;
    void           setFaults(const Faults &faults); // for tests in this process
    KeyValues     &keys();
    InstanceTable &instances();
    uint64_t       calls(std::string_view kind) const; // since the start

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask::standin
