/// A FrontServer on loopback with a fake handler, for the tests in this folder.
#pragma once

#include "fakes/fake_handler.h"
#include "fakes/raw_caller.h"
#include "front/server.h"

#include <criterion/criterion.h>
#include <functional>

namespace damask {

/// Waits for a condition that no hook signals, by polling it every millisecond of real time.
inline void waitUntil(const std::function<bool()> &holds)
{
    Clock       real;
    RankedMutex mutex{LockRank::Program};
    Condition   neverNotified(real);
    LockGuard   lock(mutex);
    while (!holds()) {
        neverNotified.waitUntil(lock, real.now() + std::chrono::milliseconds(1));
    }
}

/// A started FrontServer that passes its calls to a FakeHandler.
struct RunningFront {
    explicit RunningFront(const FrontOptions &options = {})
        : handler(clock)
        , front(clock, metrics, options,
                [this](const CallRequest &call, CancelToken &cancel) { return handler.handle(call, cancel); })
    {
        handler.next.status = 200;
        handler.next.outcome = Outcome::Answered;
        cr_assert(front.start().has_value());
    }
    ~RunningFront()
    {
        handler.release();
    }

    RawCaller caller()
    {
        return RawCaller(front.port());
    }

    double refusals(Code code)
    {
        return metrics.counter("damask_front_refusals_total", {{"code", codeName(code)}}).Value();
    }

    Clock       clock;
    Metrics     metrics;
    FakeHandler handler;
    FrontServer front;
};

} // namespace damask
