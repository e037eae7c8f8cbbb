#include "base/log.h"
#include "fakes/fake_chain.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr int Depth = 15;
constexpr int Calls = 2000;
constexpr double MaxCallRatio = 1.2; // maximum ratio of attempts sent to attempts without a fault

/// Ratio of the attempts sent at all levels to those that a chain without a fault sends.
double ratioWith(const FakeChain::LeafTarget &bottom, Duration pause = 1ms)
{
    setLogLevel(Severity::Error);
    FakeChain chain(Depth, bottom);
    for (int n = 0; n < Calls; ++n) {
        chain.clock.advance(pause);
        chain.call();
    }
    return static_cast<double>(chain.totalSent()) / (Calls * Depth);
}

AttemptResult unavailable()
{
    AttemptResult out = answered(503);
    out.response.headers = {{"Retry-After", "1"}};
    return out;
}

} // namespace

// Retries at every level of a chain would multiply with its depth. Checks each kind of failure of the last target.
Test(dispatcher_chain, a_fault_of_the_last_target_does_not_multiply_attempts)
{
    cr_assert(ratioWith([](const Attempt &) { return answered(); }) == 1);
    cr_assert(ratioWith([](const Attempt &) { return unavailable(); }) <= MaxCallRatio);
    cr_assert(ratioWith([](const Attempt &) { return answered(500); }) <= MaxCallRatio);
    cr_assert(ratioWith([](const Attempt &) { return ended(AttemptEnd::Refused, Code::TargetRefused); })
              <= MaxCallRatio);
    cr_assert(ratioWith([](const Attempt &) { return ended(AttemptEnd::NotSent, Code::ConnectFailed); })
              <= MaxCallRatio);
    cr_assert(ratioWith([](const Attempt &) { return ended(AttemptEnd::Lost, Code::ConnectionLost); }) <= MaxCallRatio);
}

Test(dispatcher_chain, a_slow_last_target_is_hedged_only_at_the_top_level)
{
    FakeChain *at = nullptr;
    setLogLevel(Severity::Error);
    int sent = 0;
    FakeChain chain(Depth, [&at, &sent](const Attempt &) {
        at->clock.advance(++sent % 10 == 0 ? 60ms : 0ms);
        return answered();
    });
    at = &chain;
    for (int n = 0; n < Calls; ++n) {
        cr_assert(chain.call().status == 200);
    }
    const double ratio = static_cast<double>(chain.totalSent()) / (Calls * Depth);
    cr_assert(ratio > 1.0 && ratio <= MaxCallRatio);
}
