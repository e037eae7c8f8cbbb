/// A node: one process that serves callers and follows the operators' configuration and the registered targets in the
/// platform's store.
///
/// Use: `Node node(clock, metrics, options, protocol); node.start(); waitForStop(); node.stop();`
/// A NodeProtocol supplies the platform's formats of requests, answers, store calls and store entries.
#pragma once

#include "back/target_protocol.h"
#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "front/caller_protocol.h"
#include "programs/damask-node/node_options.h"
#include "store/protocol.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace damask {

/// A platform's protocols: names and formats only. Each hook is pure and safe from all threads.
struct NodeProtocol {
    CallerProtocol caller;           // requests of callers and their answers
    TargetProtocol target;           // requests to targets and their answers
    StoreProtocol  store;            // list and poll calls to the store
    std::string    readyPath;        // of the readiness check, answered 200 or 503
    std::string    configurationKey; // store key of the operators' configuration
    std::string    targetPrefix;     // of the targets' keys
    std::string    evacuationPrefix; // of the keys of evacuated data centres
    std::string    watchedPrefix;    // covers all

    std::function<Result<WatchedConfiguration>(std::string_view value)>                  readConfiguration;
    std::function<Result<RegisteredTarget>(std::string_view id, std::string_view value)> readTarget;
};

class Node
{
public:
    Node(Clock &clock, Metrics &metrics, const NodeOptions &options, NodeProtocol protocol);
    ~Node(); // stops

    Result<void> start(); // SystemError when a port cannot be bound
    void         stop();  // within the grace period: readiness fails, the shutdown delay passes, calls in flight end

    uint16_t callerPort() const;   // after start()
    uint16_t operatorPort() const; // after start()

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
