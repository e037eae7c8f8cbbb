/// A small fake of a target in virtual time: slots, a FIFO queue, and a speed that noisy neighbours change.
#pragma once

#include "base/time.h"
#include "call/message.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace damask::bench {

/// What a fake target does wrong.
enum class Fault {
    None,
    Slow,     // runs ten times slower
    FailFast, // refuses everything at once, and looks idle
    Draining, // refuses what is new, and says so
};

/// How a fake target reports its load.
enum class Reports {
    True,
    Lagging,   // as it was some time ago
    AlwaysIdle,  // always nothing in flight
    AlwaysLoaded // always twice its slots
};

struct FakeTargetOptions {
    int      slots = 6;                            // requests it runs at once
    int      queueLimit = 48;                      // requests that wait in it; more are shed
    Reports  reports = Reports::True;              // default: the truth
    Duration lag = std::chrono::milliseconds(200); // of Lagging reports
};

class FakeTarget
{
public:
    explicit FakeTarget(const FakeTargetOptions &options);

    bool       arrive(uint64_t call, Duration work, TimePoint now); // false: refused, not run
    void       cancel(uint64_t call, TimePoint now);                // forgets it, running or queued
    void       setSpeed(double speed, TimePoint now);
    void       setFault(Fault fault, TimePoint now);
    TimePoint  nextDone() const;        // Never when nothing runs
    uint64_t   takeDone(TimePoint now); // the call that is done at nextDone()
    LoadReport report(TimePoint now);   // what it says of itself
    int        inFlight() const;        // true: running and queued
    double     speed() const;           // true: 1 when undisturbed; near 0 when it answers nothing
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
    std::deque<Sample> m_history; // kept only for Lagging
};

} // namespace damask::bench
