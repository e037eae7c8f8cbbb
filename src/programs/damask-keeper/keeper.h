/// The keeper: follows the control document, distributes it to its entry and to other keepers, and accepts staged
/// tickets.
///
/// Use: `Keeper keeper(clock, metrics, options); keeper.start(); waitForStop(); keeper.stop();`
/// One thread runs the tick, one owns the sockets, one watches the store while this keeper is on duty, and a small pool
/// makes the blocking calls. All share the tables here under locks of rank Control and above.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/random.h"
#include "control/ticket_controller.h"
#include "member/duty.h"
#include "member/lease.h"
#include "send_budget.h"
#include "store/client.h"
#include "wire/keys.h"

#include <memory>
#include <string>
#include <vector>

namespace damask {

struct KeeperOptions {
    Instance                 self;                                 // its name, location and addresses
    std::string              entryListen = "tcp://127.0.0.1:7001"; // for the entry on the same instance
    std::string              peerListen = "tcp://127.0.0.1:7002";  // for other keepers; key slot b: port + 1
    std::vector<std::string> seeds;                                // keepers to ask when the store is unreachable
    KeyPair                  slotA;                                // current key pair; empty: no encryption
    KeyPair                  slotB;                                // next key pair; empty: none
    StoreOptions             store;
    DutyOptions              duty;
    SendBudgetOptions        budget;
    AcceptOptions            accept;
    Duration                 tick = std::chrono::milliseconds(250);      // interval of load updates, pushes and checks
    Duration                 heartbeat = std::chrono::seconds(2);        // interval, to other keepers
    Duration                 listInterval = std::chrono::seconds(2);     // between reads of the instance list, on duty
    Duration                 minPollInterval = std::chrono::seconds(10); // between polls of the store, off duty
    double                   pollsPerSecond = 1;                         // of all keepers off duty together
    Duration                 leaseTime = std::chrono::seconds(10);       // of the duty lease
    Duration                 acceptStagger = std::chrono::milliseconds(500); // added delay per rank before accepting
    size_t                   updateFanOut = 4;                               // keepers that get updates in one tick
};

class Keeper
{
public:
    Keeper(Clock &clock, Metrics &metrics, const KeeperOptions &options);
    ~Keeper(); // stops

    Result<void>      start();            // SystemError when a port cannot be bound
    void              stop();             // leaves the membership, revokes the lease
    bool              ready() const;      // holds a configuration
    std::string       statusJson() const; // for /status
    TicketController &ticketController();
    std::string       peerAddress() const;  // bound, after start()
    std::string       entryAddress() const; // bound, after start()

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
