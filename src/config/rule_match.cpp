#include "config/rule_match.h"

namespace damask {

namespace {

/// A prefix covers whole segments.
bool covers(std::string_view prefix, std::string_view path)
{
    const bool starts = path.starts_with(prefix);
    const bool whole = path.size() == prefix.size();
    return starts && (whole || prefix.empty() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

bool goesBefore(const Rule &rule, const Rule *best)
{
    if (best == nullptr) {
        return true;
    }
    if (rule.host.empty() != best->host.empty()) {
        return best->host.empty();
    }
    return rule.prefix.size() > best->prefix.size();
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
        if (ruleMatches(it, host, path) && goesBefore(it, best)) {
            best = &it;
        }
    }
    return best;
}

} // namespace damask
