/// What a target does with its requests: slots, a queue, service times, and the faults it can be told to show.
///
/// A plain model under one lock of its caller: it takes the time as an argument and starts no thread.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "call/message.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damask::standin {

/// The faults that can be switched on while running; several at once.
struct TargetFaults {
    double   slowFactor = 1;         // multiplies service times
    bool     failFast = false;       // answers 500 at once without running
    bool     draining = false;       // says so on answers, refuses new work as not run
    bool     hideDrain = false;      // drains without saying so on its load endpoint
    double   shedShare = 0;          // 0 to 1: share of requests refused as not run
    bool     silent = false;         // connections that are open now never answer again; new ones work
    bool     frozen = false;         // nothing at all moves, as if the process were paused
    bool     truncate = false;       // answers break off in the middle
    bool     closeAfterRead = false; // reads the request, runs it, closes without an answer
    bool     reportIdle = false;        // reports no load
    Duration loadLag{0};             // age of the load that is reported
    double   noiseFactor = 1;        // service times while a neighbour is noisy
    Duration noisePeriod{0};         // mean time between changes of the neighbour; 0: quiet
};

struct TargetOptions {
    std::string name;                                        // as in the configuration
    int         slots = 6;                                   // requests run at once
    int         queueLimit = 64;                             // requests that wait; more are shed
    Duration    serviceTime = std::chrono::milliseconds(10); // mean
    double      spread = 0.5;                                // share of the mean that is exponential, 0 to 1
    Duration    coldStart{0};                                // slow for this long after its start
    double      coldFactor = 5;                              // service times at the very start
};

/// The answer to one request.
struct TargetAnswer {
    int        status = 200;
    bool       refused = false;  // not run, said by the documented signal
    bool       draining = false; // said on the answer
    bool       truncate = false; // to be broken off
    bool       close = false;    // to be closed without a byte
    LoadReport load;             // said on the answer
};

/// One request as the target holds it.
struct PendingCall {
    uint64_t                                  number = 0;       // unique in the process
    std::string                               requestId;        // of the caller
    TimePoint                                 deadline = Never; // a call that waits past it is refused as not run
    std::function<void(const TargetAnswer &)> answer;           // called once, outside the lock
};

/// An answer that is due now.
struct DueAnswer {
    std::function<void(const TargetAnswer &)> answer;
    TargetAnswer                              content;
};

class TargetModel
{
public:
    TargetModel(const TargetOptions &options, RandomSource random, TimePoint now);

    void       arrive(PendingCall call, TimePoint now, std::vector<DueAnswer> &due);
    bool       cancel(uint64_t number);                               // drops it while it waits; false: it runs on
    void       finishDue(TimePoint now, std::vector<DueAnswer> &due); // ends what has run its time, starts what waits
    TimePoint  nextDue() const;                                       // Never when nothing runs
    LoadReport report(TimePoint now);                                 // as its load endpoint says
    void       setFaults(const TargetFaults &faults, TimePoint now);

    TargetFaults                         faults;        // read only; change by setFaults()
    std::unordered_map<std::string, int> runCounts;           // the ledger: times each request id was run
    uint64_t                             arrived = 0;   // requests
    uint64_t                             refused = 0;   // requests
    TimePoint                            lastArrival{}; // of any request, refused or not

private:
    void         start(PendingCall call, TimePoint now);
    TargetAnswer answerFor(bool wasRefused, TimePoint now);
    Duration     drawServiceTime(TimePoint now);
    double       noiseNow(TimePoint now);

    TargetOptions                         m_options;
    RandomSource                          m_random;
    TimePoint                             m_startedAt;
    std::multimap<TimePoint, PendingCall>    m_running; // by end
    std::deque<PendingCall>                  m_waiting;
    std::deque<std::pair<TimePoint, int>> m_history; // load over time, for lagging reports
    bool                                  m_noisy = false;
    TimePoint                             m_noiseUntil{};
};

} // namespace damask::standin
