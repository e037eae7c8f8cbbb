/// The entry's side of the link to its keeper: receives configurations and load updates, and sends its own load
/// updates.
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

/// Called on the link's own thread. When apply() returns, the entry uses the configuration for all new attempts, and
/// the link acknowledges it to the keeper.
struct KeeperLinkHooks {
    std::function<void(std::shared_ptr<const Configuration>)> apply;
    std::function<void(std::span<const LoadUpdate>)>          updateLoad;
    std::function<std::vector<LoadUpdate>()>                  loadSnapshot;
};

struct KeeperLinkOptions {
    std::string keeper;                                              // "tcp://127.0.0.1:7001": IP addresses only
    std::string instance;                                            // name of this instance
    Duration    loadUpdateInterval = std::chrono::milliseconds(250); // of sending own load updates
    std::string serverKey;                            // public CURVE key of the keeper, Z85; empty: no encryption
    std::string publicKey;                            // own, Z85
    std::string secretKey;                            // own, Z85
    Duration    pauseLimit = std::chrono::seconds(5); // a longer gap in execution counts as a pause
};

class KeeperLink
{
public:
    KeeperLink(Clock &clock, Metrics &metrics, const KeeperLinkOptions &options, KeeperLinkHooks hooks);
    ~KeeperLink(); // stops

    void     start();
    void     stop();
    bool     mayAct(); // false after a pause, until the keeper has sent the configuration in force: see PauseGuard
    Duration silence() const; // since the last message of the keeper; the entry keeps serving regardless

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
