// Tests that reports lose weight when they do not correlate with answer times.
#include "base/random.h"
#include "route/report_trust.h"

#include <criterion/criterion.h>

using namespace damask;

Test(report_trust, accurate_and_constant_reports_keep_trust_and_lagging_ones_lose_it)
{
    const RandomSource random = seededRandom(7);
    ReportTrust honest;
    ReportTrust lagging;
    ReportTrust constant;
    for (int n = 0; n < 2000; ++n) {
        const double load = randomUnit(random) - 0.5;
        const double time = load + randomUnit(random) - 0.5;
        honest.addSample(load, time);
        lagging.addSample(randomUnit(random) - 0.5, time);
        constant.addSample(0, time);
    }
    cr_assert(honest.trust() > 0.9);
    cr_assert(lagging.trust() < 0.2);
    cr_assert(constant.trust() == 1, "a constant report gives no evidence either way");
}
