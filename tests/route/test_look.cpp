#include "route/look.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

Prospect prospect(std::string_view name, Duration age, bool good)
{
    auto address = std::make_shared<TargetAddress>();
    address->name = name;
    return {address, age, 1, good, false};
}

/// What is known and asked, as a test says.
struct Looking {
    Looking()
        : look(clock, {.atOnce = 2, .rounds = 2},
               {.promising =
                    [this](const AcquireRequest &, size_t) {
                        return known.empty() ? std::vector<Prospect>() : known[std::min(step++, known.size() - 1)];
                    },
                .ask =
                    [this](std::span<const Prospect> prospects, Duration) {
                        for (const Prospect &it : prospects) {
                            asked += it.address->name + " ";
                        }
                        asked += "| ";
                        return std::vector<LoadNews>();
                    },
                .absorb =
                    [](std::span<const LoadNews>) {
                    }})
    {
        clock.pause();
    }

    Clock clock;
    std::vector<std::vector<Prospect>> known; // before each round
    size_t step = 0;
    std::string asked;
    Look look;
};

} // namespace

Test(look, asks_the_likeliest_and_stops_when_the_best_is_known_to_be_good)
{
    Looking it;
    it.known = {{prospect("a", 1s, true), prospect("b", 1s, false), prospect("c", 1s, true)},
                {prospect("a", 1ms, true), prospect("b", 1ms, false)}};
    cr_assert(it.look.before({.service = "s"}) == 2);
    cr_assert(it.asked == "a b | ");
}

Test(look, asks_others_when_all_that_were_asked_are_slow)
{
    Looking it;
    it.known = {{prospect("a", 1s, false), prospect("b", 1s, false)},
                {prospect("c", 1s, false), prospect("d", 1s, false), prospect("a", 1ms, false)}};
    cr_assert(it.look.before({.service = "s"}) == 4);
    cr_assert(it.asked == "a b | c d | ");
}

Test(look, asks_nobody_when_the_best_is_freshly_known)
{
    Looking it;
    it.known = {{prospect("a", 5ms, true), prospect("b", 1s, false)}};
    cr_assert(it.look.before({.service = "s"}) == 0);
}

Test(look, asks_nobody_for_a_caller_that_has_gone)
{
    Looking it;
    it.known = {{prospect("a", 1s, true)}};
    CancelToken gone;
    gone.cancel();
    cr_assert(it.look.before({.service = "s", .cancel = &gone}) == 0);
}
