/// The keeper: follows the control document, hands it to its entry and to other keepers, and accepts staged tickets.
///
/// Use: `Keeper keeper(clock, metrics, options); keeper.start(); waitForStop(); keeper.stop();`
/// One thread ticks, one owns the sockets, one watches the store while this keeper is on duty, and a small pool makes
/// the calls that wait. All share the tables here under locks of rank Control and above.
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
    Instance                 self;                                 // its name, place and addresses
    std::string              entryListen = "tcp://127.0.0.1:7001"; // for the entry beside it
    std::string              peerListen = "tcp://127.0.0.1:7002";  // for other keepers; key slot b: port + 1
    std::vector<std::string> seeds;                                // keepers to ask when the store is down
    KeyPair                  slotA;                                // key pair in use; empty: plain
    KeyPair                  slotB;                                // the next one; empty: none
    StoreOptions             store;
    DutyOptions              duty;
    SendBudgetOptions        budget;
    AcceptOptions            accept;
    Duration                 tick = std::chrono::milliseconds(250);          // news, pushes and checks
    Duration                 heartbeat = std::chrono::seconds(2);            // to other keepers
    Duration                 listInterval = std::chrono::seconds(2);         // between reads of the list, on duty
    Duration                 minPollInterval = std::chrono::seconds(10);     // between slow polls, off duty
    double                   pollsPerSecond = 1;                             // of all keepers off duty together
    Duration                 leaseTime = std::chrono::seconds(10);           // of duty
    Duration                 acceptStagger = std::chrono::milliseconds(500); // by which each rank accepts later
    size_t                   updateFanOut = 4;                               // keepers told in one tick
};

class Keeper
{
public:
    Keeper(Clock &clock, Metrics &metrics, const KeeperOptions &options);
    ~Keeper(); // stops

    Result<void>      start();            // SystemError when a port can't be had
    void              stop();             // leaves the membership, gives back the lease
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
