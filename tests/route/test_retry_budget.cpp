#include "route/retry.h"

#include <criterion/criterion.h>
#include <deque>
#include <random>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr RetryBudgetOptions FleetOptions{.ratio = 0.2, .slack = 0, .window = 10s};

/// One node of the fleet.
struct Node {
    RetryBudget budget{FleetOptions};
    bool dead = false;
};

} // namespace

Test(retry_budget, allows_no_retries_without_calls_and_the_ratio_with_calls)
{
    RetryBudget budget(FleetOptions);
    TimePoint now{1000s};
    cr_assert(!budget.tryWithdraw(now));
    for (int n = 0; n < 50; ++n) {
        budget.deposit(now);
    }
    int retries = 0;
    while (budget.tryWithdraw(now)) {
        ++retries;
    }
    cr_assert(retries == 10);
    cr_assert(!budget.tryWithdraw(now + 9s));
    cr_assert(budget.balance(now + 21s) <= 0, "calls before the window must not count");
}

/// Nodes fail and are replaced by nodes without history while the load changes. In every window, the retries of all
/// nodes must stay within the ratio of the calls of that window, of the window before, or of the one half a window
/// earlier.
Test(retry_budget, ratio_holds_for_all_nodes_in_every_window)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        std::vector<std::unique_ptr<Node>> nodes;
        for (int n = 0; n < 15; ++n) {
            nodes.push_back(std::make_unique<Node>());
        }
        constexpr int Steps = 6000; // of 10 ms
        constexpr int Window = 1000;
        std::vector<int> calls(Steps, 0);
        std::vector<int> retries(Steps, 0);
        TimePoint now{1000s};
        for (int step = 0; step < Steps; ++step, now += 10ms) {
            const int load = (step / 700) % 3 == 0 ? 30 : 4; // alternates between bursts and low load
            for (int n = 0; n < load; ++n) {
                Node &it = *nodes[random() % nodes.size()];
                it.budget.deposit(now);
                ++calls[step];
                retries[step] += random() % 2 == 0 && it.budget.tryWithdraw(now) ? 1 : 0;
            }
            if (random() % 200 == 0) { // a node fails and is replaced by one without history
                nodes[random() % nodes.size()] = std::make_unique<Node>();
            }
        }
        const auto sum = [](const std::vector<int> &of, int from, int to) {
            int out = 0;
            for (int n = std::max(from, 0); n < std::min<int>(to, static_cast<int>(of.size())); ++n) {
                out += of[n];
            }
            return out;
        };
        for (int from = 0; from + Window <= Steps; from += 50) {
            const int maxCalls = std::max({sum(calls, from, from + Window), sum(calls, from - Window, from),
                                           sum(calls, from - Window / 2, from + Window / 2)});
            cr_assert(sum(retries, from, from + Window) <= 0.2 * maxCalls + 58, "seed %u, window at step %d", seed,
                      from);
        }
    }
}
