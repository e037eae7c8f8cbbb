/// A front on loopback with a fake handler, for the tests in this folder.
#pragma once

#include "fakes/fake_handler.h"
#include "fakes/raw_caller.h"
#include "front/server.h"

#include <criterion/criterion.h>
#include <functional>

namespace damask {

/// Waits until something holds that no hook tells of. Looks again every millisecond of real time.
inline void waitUntil(const std::function<bool()> &holds)
{
    Clock       real;
    RankedMutex mutex{LockRank::Program};
    Condition   nobody(real);
    LockGuard   lock(mutex);
    while (!holds()) {
        nobody.waitUntil(lock, real.now() + std::chrono::milliseconds(1));
    }
}

/// A front whose calls go to a FakeHandler.
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
