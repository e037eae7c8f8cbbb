/// Model of a target: slots, a queue, service times and injectable faults.
///
/// Not thread-safe: the caller holds a lock. Takes the time as an argument and starts no thread.
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

/// Faults that can be injected at run time, in any combination.
struct TargetFaults {
    double   slowFactor = 1;         // multiplies service times
    bool     failFast = false;       // answers 500 at once without running the request
    bool     draining = false;       // announced in responses; refuses new requests as not run
    bool     hideDrain = false;      // the load endpoint does not report draining
    double   shedShare = 0;          // 0 to 1: share of requests refused as not run
    bool     silent = false;         // connections open now get no more responses; new ones work
    bool     frozen = false;         // makes no progress, as if the process were paused
    bool     truncate = false;       // responses end in the middle
    bool     closeAfterRead = false; // runs the request, then closes without a response
    bool     reportIdle = false;     // always reports zero load
    Duration loadLag{0};             // age of the reported load
    double   noiseFactor = 1;        // multiplies service times while a neighbour is noisy
    Duration noisePeriod{0};         // mean time between changes of the neighbour; 0: never noisy
};

struct TargetOptions {
    std::string name;                                        // as in the configuration
    int         slots = 6;                                   // concurrent requests
    int         queueLimit = 64;                             // waiting requests; further ones are shed
    Duration    serviceTime = std::chrono::milliseconds(10); // mean
    double      spread = 0.5;                                // share of the mean that is exponential, 0 to 1
    Duration    coldStart{0};                                // warm-up time after the start, with slower service
    double      coldFactor = 5;                              // multiplies service times at the start of the warm-up
};

/// The answer to one request.
struct TargetAnswer {
    int        status = 200;
    bool       refused = false;  // not run; signalled by the documented header
    bool       draining = false; // sent in the response
    bool       truncate = false; // end in the middle
    bool       close = false;    // close without sending anything
    LoadReport load;             // sent in the response
};

/// A request that is queued or running.
struct PendingCall {
    uint64_t                                  number = 0;       // unique in the process
    std::string                               requestId;        // from the caller's request
    TimePoint                                 deadline = Never; // a call still queued after it is refused as not run
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
    bool       cancel(uint64_t number);                               // removes a queued call; false: it keeps running
    void       finishDue(TimePoint now, std::vector<DueAnswer> &due); // completes due calls, starts queued ones
    TimePoint  nextDue() const;                                       // Never when nothing runs
    LoadReport report(TimePoint now);                                 // as sent by the load endpoint
    void       setFaults(const TargetFaults &faults, TimePoint now);

    TargetFaults                         faults;        // read-only; change with setFaults()
    std::unordered_map<std::string, int> runCounts;     // ledger: number of runs by request id
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
    std::multimap<TimePoint, PendingCall> m_running; // by end time
    std::deque<PendingCall>               m_waiting;
    std::deque<std::pair<TimePoint, int>> m_history; // load over time, for lagging reports
    bool                                  m_noisy = false;
    TimePoint                             m_noiseUntil{};
};

} // namespace damask::standin
