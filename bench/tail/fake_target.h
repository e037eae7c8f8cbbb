/// Fake target in virtual time with slots, a FIFO queue and a speed that noisy neighbours change.
#pragma once

#include "base/time.h"
#include "call/message.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace damask::bench {

/// Fault of a fake target.
enum class Fault {
    None,
    Slow,     // runs ten times slower
    FailFast, // refuses all requests at once and reports nothing in flight
    Draining, // refuses new requests and reports draining
};

/// How a fake target reports its load.
enum class Reports {
    True,
    Lagging,     // load as it was FakeTargetOptions::lag ago
    AlwaysIdle,  // always nothing in flight
    AlwaysLoaded // always twice its slots
};

struct FakeTargetOptions {
    int      slots = 6;                            // concurrent requests
    int      queueLimit = 48;                      // waiting requests; further ones are shed
    Reports  reports = Reports::True;              // default: accurate
    Duration lag = std::chrono::milliseconds(200); // age of Lagging reports
};

class FakeTarget
{
public:
    explicit FakeTarget(const FakeTargetOptions &options);

    bool       arrive(uint64_t call, Duration work, TimePoint now); // false: refused, not run
    void       cancel(uint64_t call, TimePoint now);                // removes the call, running or queued
    void       setSpeed(double speed, TimePoint now);
    void       setFault(Fault fault, TimePoint now);
    TimePoint  nextDone() const;        // Never if nothing runs
    uint64_t   takeDone(TimePoint now); // removes the call that completes at nextDone()
    LoadReport report(TimePoint now);   // may be wrong, see Reports
    int        inFlight() const;        // actual load: running and queued
    double     speed() const;           // actual speed: 1 if undisturbed; near 0 if it refuses
    Fault      fault() const;

private:
    struct Job {
        uint64_t call;
        double   left; // ms of work at speed 1
    };
    struct Sample {
        TimePoint at;
        int       inFlight;
    };

    void   advance(TimePoint now);
    void   fill();
    void   recordSample(TimePoint now);
    double effectiveSpeed() const;

    FakeTargetOptions  m_options;
    Fault              m_fault = Fault::None;
    double             m_speed = 1;
    TimePoint          m_at{};
    std::vector<Job>   m_running;
    std::deque<Job>    m_queue;
    std::deque<Sample> m_history; // for Lagging only
};

} // namespace damask::bench
