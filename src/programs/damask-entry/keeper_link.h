/// The entry's side of its link to the keeper beside it: takes configurations and news, gives its own.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "config/model.h"
#include "route/balancer.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace damask {

/// What the link calls, on its own thread. When apply() returns, the entry uses the configuration for all new
/// attempts; the link then acknowledges it to the keeper.
struct KeeperLinkHooks {
    std::function<void(std::shared_ptr<const Configuration>)> apply;
    std::function<void(std::span<const LoadUpdate>)>          updateLoad;
    std::function<std::vector<LoadUpdate>()>                  loadSnapshot;
};

struct KeeperLinkOptions {
    std::string keeper;                                              // "tcp://127.0.0.1:7001": IP numbers only
    std::string instance;                                            // name of this instance
    Duration    loadUpdateInterval = std::chrono::milliseconds(250); // between two messages of own news
    std::string serverKey;                            // public CURVE key of the keeper, Z85; empty: plain
    std::string publicKey;                            // own, Z85
    std::string secretKey;                            // own, Z85
    Duration    pauseLimit = std::chrono::seconds(5); // standing still for longer counts as a pause
};

class KeeperLink
{
public:
    KeeperLink(Clock &clock, Metrics &metrics, const KeeperLinkOptions &options, KeeperLinkHooks hooks);
    ~KeeperLink(); // stops

    void     start();
    void     stop();
    bool     mayAct();        // false after a pause, until the keeper has said anew what is in force: see PauseGuard
    Duration silence() const; // since the keeper was last heard; the entry serves on regardless

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
