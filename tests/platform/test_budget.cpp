// The retry budget of a fleet of nodes. The limit counts only clients' requests, in three windows; the nodes also earn
// budget from checks, which they can't tell from clients' requests.
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
constexpr int Steps = 4000; // of 10 ms each
constexpr int Window = 1000;

struct Trace {
    std::vector<int> requests = std::vector<int>(Steps, 0); // clients' requests per step
    std::vector<int> retries = std::vector<int>(Steps, 0);
};

/// Simulates a burst of requests, and targets that shed most requests from shortly before its end on. One request in
/// thirty is a check of the routes.
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
            budget.deposit(now);
            const bool check = chance(random) < 1.0 / 30;
            trace.requests[step] += check ? 0 : 1;
            while (shedding && chance(random) < 0.55 && budget.tryWithdraw(now)) {
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

/// The number of retries above the limit in the worst window; negative if the limit holds.
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

Test(budget, the_share_of_the_ratio_used_by_a_node_leaves_room_for_checks)
{
    double fullRatio = -Steps;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const double excess = worstExcess(shedAfterBurst(seed, RetryRatioSafetyFactor));
        cr_assert(excess < -Slack, "seed %u: the retries stay within the ratio without using the slack", seed);
        fullRatio = std::max(fullRatio, worstExcess(shedAfterBurst(seed, 1)));
    }
    cr_assert(fullRatio > -Slack, "with the whole ratio the retries exceed the ratio of clients' requests");
}
