#include "config/rule_match.h"

namespace damask {

namespace {

/// True when the path is the prefix or continues it at a segment boundary.
bool matchesSegments(std::string_view prefix, std::string_view path)
{
    const bool hasPrefix = path.starts_with(prefix);
    const bool exact = path.size() == prefix.size();
    return hasPrefix && (exact || prefix.empty() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

bool isMoreSpecific(const Rule &rule, const Rule *best)
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
    return (rule.host.empty() || rule.host == host) && matchesSegments(rule.prefix, path);
}

const Rule *findMatchingRule(std::span<const Rule> rules, std::string_view host, std::string_view path)
{
    const Rule *best = nullptr;
    for (const Rule &it : rules) {
        if (ruleMatches(it, host, path) && isMoreSpecific(it, best)) {
            best = &it;
        }
    }
    return best;
}

} // namespace damask
