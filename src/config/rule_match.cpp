#include "config/rule_match.h"

namespace damask {

namespace {

/// A prefix covers whole segments.
bool covers(std::string_view prefix, std::string_view path)
{
    const bool starts = path.starts_with(prefix);
    return starts && (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

} // namespace

bool ruleMatches(const Rule &rule, std::string_view host, std::string_view path)
{
    return (rule.host.empty() || rule.host == host) && covers(rule.prefix, path);
}

const Rule *decidingRule(std::span<const Rule> rules, std::string_view host, std::string_view path)
{
    const Rule *best = nullptr;
    for (const Rule &it : rules) {
        if (!ruleMatches(it, host, path)) {
            continue;
        }
        const bool namesHost = best != nullptr && it.host.empty() != best->host.empty() && !it.host.empty();
        const bool longer =
            best != nullptr && it.host.empty() == best->host.empty() && it.prefix.size() > best->prefix.size();
        if (best == nullptr || namesHost || longer) {
            best = &it;
        }
    }
    return best;
}

} // namespace damask
