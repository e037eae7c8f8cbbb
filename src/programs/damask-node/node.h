/// A node: one process that serves callers and follows what operators and targets wrote in the platform's store.
///
/// Use: `Node node(clock, metrics, options, form); node.start(); waitForStop(); node.stop();`
/// How the platform spells requests, answers, the store's calls and its entries comes in as a NodeProtocol.
#pragma once

#include "back/target_form.h"
#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "front/caller_form.h"
#include "programs/damask-node/node_options.h"
#include "store/protocol.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace damask {

/// How a platform speaks. Names and formats only; each hook is pure and safe from all threads.
struct NodeProtocol {
    CallerForm    caller;           // with callers
    TargetForm    target;           // with targets
    StoreProtocol store;            // with its store: list and poll
    std::string   readyPath;        // that readiness is asked at, answered 200 or 503
    std::string   configurationKey; // of the operators' configuration in the store
    std::string   targetPrefix;     // of the targets' entries
    std::string   watchedPrefix;    // of all of these

    std::function<Result<WatchedConfiguration>(std::string_view value)>                  readConfiguration;
    std::function<Result<RegisteredTarget>(std::string_view id, std::string_view value)> readTarget;
};

class Node
{
public:
    Node(Clock &clock, Metrics &metrics, const NodeOptions &options, NodeProtocol protocol);
    ~Node(); // stops

    Result<void> start(); // SystemError when a port can't be had
    void         stop();  // gracefully, within the grace: readiness fails, the notice passes, calls in flight end

    uint16_t callerPort() const;   // after start()
    uint16_t operatorPort() const; // after start()

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
