#include "base/log.h"
#include "fakes/fake_chain.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr int Depth = 15;
constexpr int Calls = 2000;
constexpr double MaxCallRatio = 1.2; // times what was asked for

/// Calls sent at all levels for each that a chain without a fault sends.
double ratioWith(const FakeChain::Bottom &bottom, Duration pause = 1ms)
{
    setLogLevel(Severity::Error);
    FakeChain chain(Depth, bottom);
    for (int n = 0; n < Calls; ++n) {
        chain.clock.advance(pause);
        chain.call();
    }
    return static_cast<double>(chain.sentInAll()) / (Calls * Depth);
}

AttemptResult unavailable()
{
    AttemptResult out = answered(503);
    out.response.headers = {{"Retry-After", "1"}};
    return out;
}

} // namespace

Test(dispatcher_chain, a_fault_at_the_bottom_does_not_multiply)
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

Test(dispatcher_chain, a_slow_bottom_is_hedged_at_the_top_only)
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
    const double ratio = static_cast<double>(chain.sentInAll()) / (Calls * Depth);
    cr_assert(ratio > 1.0 && ratio <= MaxCallRatio);
}
