#include "base/token_bucket.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

Test(token_bucket, never_grants_more_than_burst_and_rate_allow)
{
    const bool held = rc::check("taken <= burst + rate * time", [] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 50), rc::gen::inRange(0, 400)));
        TimePoint now{};
        TokenBucket bucket({.perSecond = 100, .burst = 20}, now);
        double taken = 0;
        for (const auto &[amount, milliseconds] : steps) {
            now += std::chrono::milliseconds(milliseconds);
            taken += bucket.take(amount, now) ? amount : 0;
            RC_ASSERT(taken <= 20 + 100 * toSeconds(now.time_since_epoch()) + 1e-6);
        }
    });
    cr_assert(held);
}

Test(token_bucket, is_not_refilled_while_time_does_not_advance)
{
    TimePoint now{};
    TokenBucket bucket({.perSecond = 10, .burst = 1}, now);
    cr_assert(bucket.take(1, now));
    cr_assert(!bucket.take(1, now));
    cr_assert(bucket.take(1, now + 100ms));
}
