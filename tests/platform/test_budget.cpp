// The fleet's retry budget as it is judged: by the clients' requests in three windows, which know nothing of checks.
#include "programs/damask-node/node_options.h"
#include "route/retry.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <random>
#include <vector>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr double Ratio = 0.2;
constexpr int Slack = 58;
constexpr int Steps = 4000; // of 10 ms
constexpr int Window = 1000;

struct Trace {
    std::vector<int> requests = std::vector<int>(Steps, 0); // of clients
    std::vector<int> retries = std::vector<int>(Steps, 0);
};

/// A burst, and targets that shed most of what they get from shortly before its end; one request in thirty only checks
/// which routes there are.
Trace shedAfterBurst(unsigned seed, double shareUsed)
{
    constexpr int Nodes = 15;
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> chance(0, 1);
    std::vector<std::unique_ptr<RetryBudget>> budgets;
    for (int n = 0; n < Nodes; ++n) {
        budgets.push_back(
            std::make_unique<RetryBudget>(RetryBudgetOptions{.ratio = Ratio * shareUsed, .slack = 0, .window = 10s}));
    }
    Trace trace;
    TimePoint now{1000s};
    for (int step = 0; step < Steps; ++step, now += 10ms) {
        const bool burst = step >= 865 && step < 1365;
        const bool shedding = step >= 1300 && step < 2150;
        const int load = static_cast<int>(random() % 3) + (burst ? 7 : 4);
        for (int n = 0; n < load; ++n) {
            RetryBudget &budget = *budgets[random() % Nodes];
            budget.earn(now);
            const bool check = chance(random) < 1.0 / 30;
            trace.requests[step] += check ? 0 : 1;
            while (shedding && chance(random) < 0.55 && budget.spend(now)) {
                ++trace.retries[step];
            }
        }
    }
    return trace;
}

int sum(const std::vector<int> &counts, int from, int to)
{
    int out = 0;
    for (int n = std::max(from, 0); n < std::min(to, Steps); ++n) {
        out += counts[n];
    }
    return out;
}

/// How many repeats more than allowed there are in the worst window; negative: none.
double worstExcess(const Trace &trace)
{
    double out = -Steps;
    for (int from = 0; from + Window <= Steps; from += 10) {
        const int maxRequests =
            std::max({sum(trace.requests, from, from + Window), sum(trace.requests, from - Window, from),
                      sum(trace.requests, from - Window / 2, from + Window / 2)});
        out = std::max(out, sum(trace.retries, from, from + Window) - (Ratio * maxRequests + Slack));
    }
    return out;
}

} // namespace

Test(budget, the_share_of_the_ratio_that_a_node_uses_leaves_room_for_what_it_cannot_tell_apart)
{
    double fullRatio = -Steps;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const double excess = worstExcess(shedAfterBurst(seed, RetryShareUsed));
        cr_assert(excess < -Slack, "seed %u: within the ratio alone, the slack is not needed", seed);
        fullRatio = std::max(fullRatio, worstExcess(shedAfterBurst(seed, 1)));
    }
    cr_assert(fullRatio > -Slack, "the whole ratio would go beyond what clients' requests allow");
}
