#include "route/rules.h"

#include <criterion/criterion.h>

using namespace damask;

namespace {

Rule rule(std::string_view name, std::string_view host, std::string_view prefix)
{
    Rule out;
    out.name = name;
    out.host = host;
    out.prefix = prefix;
    return out;
}

const std::vector<Rule> Rules{rule("any", "", "/"), rule("pay", "", "/pay"), rule("pay-card", "", "/pay/card"),
                              rule("host", "dance.example", "/"), rule("host-pay", "dance.example", "/pay/")};

std::string matched(std::string_view host, std::string_view path)
{
    const Rule *it = matchRule(Rules, host, path);
    return it == nullptr ? "" : it->name;
}

} // namespace

Test(rules, the_longest_prefix_matches)
{
    cr_assert(matched("x", "/list") == "any");
    cr_assert(matched("x", "/pay") == "pay");
    cr_assert(matched("x", "/pay?x=/pay/card") == "pay");
    cr_assert(matched("x", "/pay/7") == "pay");
    cr_assert(matched("x", "/pay/card/7") == "pay-card");
    cr_assert(matched("x", "/payments") == "any", "a prefix matches whole segments only");
    cr_assert(matched("x", "*").empty());
}

Test(rules, a_rule_with_a_host_takes_precedence)
{
    cr_assert(matched("dance.example", "/pay/card") == "host-pay");
    cr_assert(matched("dance.example", "/pay") == "host");
    cr_assert(matchRule({}, "x", "/") == nullptr);
}

Test(rules, idempotency_depends_on_rule_or_method)
{
    Rule it;
    cr_assert(isIdempotent(it, "GET") && isIdempotent(it, "PUT") && isIdempotent(it, "DELETE"));
    cr_assert(!isIdempotent(it, "POST") && !isIdempotent(it, "PATCH") && !isIdempotent(it, "get"));
    it.idempotency = Idempotency::Always;
    cr_assert(isIdempotent(it, "POST"));
    it.idempotency = Idempotency::Never;
    cr_assert(!isIdempotent(it, "GET"));
}

Test(rules, dot_segments_are_detected)
{
    for (const std::string_view it : {"/a/../pay", "/..", "/a/.", "/a/%2e%2E/pay", "/.%2e/x"}) {
        cr_assert(hasDotSegment(it), "%s", std::string(it).c_str());
    }
    for (const std::string_view it : {"/", "/a.b", "/...", "/a?x=/../", "/.well-known/x", ""}) {
        cr_assert(!hasDotSegment(it), "%s", std::string(it).c_str());
    }
}
