/// Measures how many calls a chain of services sends when its last service fails, compared with a chain without a
/// fault. Prints JSON lines.
#include "base/log.h"
#include "fakes/fake_chain.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <docopt.h>
#include <map>

namespace {

using namespace damask;

constexpr char Usage[] = R"(Calls sent along a chain of services whose last service fails, in virtual time.

Usage:
  bench-chain [--depth=N] [--calls=N] [--failing=PERCENT]
  bench-chain --help

Options:
  --depth=N          Services in the chain [default: 15].
  --calls=N          Calls to the first service [default: 5000].
  --failing=PERCENT  Percent of attempts at the last service that fail [default: 100].
)";

constexpr Duration BetweenCalls = std::chrono::milliseconds(1);
constexpr Duration SlowTime = std::chrono::milliseconds(60); // longer than the hedge delay

struct Fault {
    const char *name;
    AttemptResult result;
    Duration takes{0};
    int maxFailing = 100; // percent of attempts; if all are slow, the hedge delay rises and few are hedged
};

AttemptResult unavailable()
{
    AttemptResult out = answered(503);
    out.response.headers = {{"Retry-After", "1"}};
    return out;
}

struct Run {
    int depth;
    int calls;
    int failing; // percent
};

void print(const Run &run, const char *fault, const char *figure, double value)
{
    std::printf(R"({"case":"chain","fault":"%s","depth":%d,"failing_percent":%d,"figure":"%s","unit":"ratio",)"
                R"("value":%.4f})"
                "\n",
                fault, run.depth, run.failing, figure, value);
}

void measure(const Run &run, const Fault &fault)
{
    FakeChain *at = nullptr;
    const int failing = std::min(run.failing, fault.maxFailing);
    int n = 0;
    FakeChain chain(run.depth, [&](const Attempt &) {
        n = (n + 1) % 100;
        if (n < 100 - failing) {
            return answered();
        }
        at->clock.advance(fault.takes);
        return fault.result;
    });
    at = &chain;
    for (int it = 0; it < run.calls; ++it) {
        chain.clock.advance(BetweenCalls);
        chain.call();
    }
    const double requested = run.calls;
    print(run, fault.name, "calls_ratio", static_cast<double>(chain.totalSent()) / (requested * run.depth));
    print(run, fault.name, "bottom_ratio", static_cast<double>(chain.sent(run.depth - 1)) / requested);
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
    const auto number = [&arguments](const char *name) {
        return static_cast<int>(arguments.at(name).asLong());
    };
    const Run run{number("--depth"), number("--calls"), number("--failing")};
    if (run.depth < 1 || run.depth > 16 || run.calls < 1 || run.failing < 0 || run.failing > 100) {
        std::fputs("bench-chain: depth is 1 to 16, calls 1 or more, failing 0 to 100\n", stderr);
        return EXIT_FAILURE;
    }
    setLogLevel(Severity::Error);
    const std::array<Fault, 7> faults{{{"none", answered()},
                                       {"unavailable", unavailable()},
                                       {"error", answered(500)},
                                       {"refused", ended(AttemptEnd::Refused, Code::TargetRefused)},
                                       {"no-connection", ended(AttemptEnd::NotSent, Code::ConnectFailed)},
                                       {"lost", ended(AttemptEnd::Lost, Code::ConnectionLost)},
                                       {"slow", answered(), SlowTime, 10}}};
    for (const Fault &it : faults) {
        measure(run, it);
    }
    return EXIT_SUCCESS;
}
