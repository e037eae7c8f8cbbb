#include "damask-load/plan.h"
#include "damask-load/record.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace damask::standin;
using namespace std::chrono_literals;

static CallRecord recordOf(std::string id, bool idempotent, int status, Outcome outcome)
{
    CallRecord record;
    record.id = std::move(id);
    record.idempotent = idempotent;
    record.answered = status != 0;
    record.status = status;
    record.outcome = outcome;
    return record;
}

Test(plan, the_same_seed_gives_the_same_plan_at_the_configured_rate)
{
    const PlanOptions options{.callsPerSecond = 1000, .kinds = {{.weight = 9}, {.weight = 1}}, .seed = 3};
    Plan first(options);
    Plan second(options);
    size_t rare = 0;
    PlannedCall last;
    for (int n = 0; n < 10000; ++n) {
        last = first.next();
        const PlannedCall same = second.next();
        cr_assert(last.at == same.at && last.kind == same.kind);
        rare += last.kind;
    }
    cr_assert(last.at > 9s && last.at < 11s);
    cr_assert(rare > 800 && rare < 1200);
}

Test(plan, a_valid_call_kind_is_parsed_and_an_invalid_one_rejected)
{
    const auto kind = parseCallKind("POST shop.example /pay 2 chain=3 body=10");
    cr_assert(kind.has_value());
    cr_assert(kind->method == "POST" && kind->host == "shop.example" && kind->chain == 3 && kind->bodyBytes == 10);
    cr_assert(!parseCallKind("GET /").has_value());
    cr_assert(!parseCallKind("GET - / 0").has_value());
    cr_assert(!parseCallKind("GET - / 1 speed=2").has_value());
}

Test(findViolations, counts_each_kind_of_violation)
{
    Ledger ledger;
    readLedger("twice 2\nran 1\nfine 1\n", ledger);
    const std::vector<CallRecord> records{
        recordOf("twice", false, 200, Outcome::Answered), recordOf("ran", true, 503, Outcome::NotRun),
        recordOf("never", false, 200, Outcome::Answered), recordOf("fine", false, 200, Outcome::Answered),
        recordOf("gone", true, 0, Outcome::Unknown),      recordOf("repeat", true, 200, Outcome::Answered),
    };
    const Violations violations = findViolations(records, ledger);
    cr_assert(violations.duplicated == 1);
    cr_assert(violations.notRunButRan == 1);
    cr_assert(violations.lost == 1);
    cr_assert(violations.unanswered == 1);
    cr_assert(violations.wrongAnswer == 0);
}

Test(histogram, percentiles_are_within_2_percent)
{
    LatencyHistogram histogram;
    for (int n = 1; n <= 1000; ++n) {
        histogram.add(std::chrono::milliseconds(n));
    }
    cr_assert(histogram.percentile(0.5) > 490 && histogram.percentile(0.5) < 510);
    cr_assert(histogram.percentile(0.99) > 970 && histogram.percentile(0.99) < 1010);
}
