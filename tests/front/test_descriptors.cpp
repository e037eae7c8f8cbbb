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

/// Takes all descriptors but one of those that the process may open.
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

Test(descriptors, running_out_of_them_neither_spins_nor_loses_the_caller)
{
    RunningFront it;
    it.clock.pause();
    // UBSan looks at an object it has not seen through a pipe, which takes descriptors: show it the log's now.
    logEvent(Severity::Info, "test-started");
    std::vector<FileDescriptor> taken = openAllButOne();
    RawCaller caller = it.caller();
    caller.send(getRequest("/late"));
    waitUntil([&] { return it.refusals(Code::TooManyConnections) == 1; });
    const uint64_t before = it.front.status().pollerWakeUps;
    Clock real;
    const TimePoint until = real.now() + 100ms;
    waitUntil([&] { return real.now() >= until; });
    cr_assert(it.front.status().pollerWakeUps <= before + 1, "accepting waits for its pause");
    taken.clear();
    it.clock.advance(2s);
    cr_assert(caller.receive().body == "GET /late ");
}
