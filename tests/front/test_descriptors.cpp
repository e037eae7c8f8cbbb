#include "front/running_front.h"

#include "base/log.h"
#include "base/scope.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <vector>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr rlim_t FewDescriptors = 64;

/// Lowers the descriptor limit and opens all descriptors but one.
std::vector<FileDescriptor> openAllButOne()
{
    const rlimit limit{FewDescriptors, FewDescriptors};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    std::vector<FileDescriptor> out;
    FileDescriptor next(::open("/dev/null", O_RDONLY | O_CLOEXEC));
    while (next.valid()) {
        out.push_back(std::move(next));
        next.reset(::open("/dev/null", O_RDONLY | O_CLOEXEC));
    }
    cr_assert(!out.empty());
    out.pop_back();
    return out;
}

} // namespace

Test(descriptors, exhaustion_neither_spins_nor_loses_the_connection)
{
    RunningFront it;
    it.clock.pause();
    // UBSan checks an object it has not seen before through a pipe, which needs descriptors: let it check the log's
    // now.
    logEvent(Severity::Info, "test-started");
    std::vector<FileDescriptor> taken = openAllButOne();
    RawCaller caller = it.caller();
    caller.send(getRequest("/late"));
    waitUntil([&] { return it.refusals(Code::TooManyConnections) == 1; });
    const uint64_t before = it.front.status().pollerWakeUps;
    Clock real;
    const TimePoint until = real.now() + 100ms;
    waitUntil([&] { return real.now() >= until; });
    cr_assert(it.front.status().pollerWakeUps <= before + 1, "accepting is retried only after the delay");
    taken.clear();
    it.clock.advance(2s);
    cr_assert(caller.receive().body == "GET /late ");
}
