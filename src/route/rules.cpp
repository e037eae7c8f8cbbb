#include "route/rules.h"

#include "config/rule_match.h"

#include <algorithm>
#include <array>

namespace damask {

namespace {

constexpr std::array<std::string_view, 5> IdempotentMethods{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};

std::string_view withoutQuery(std::string_view path)
{
    return path.substr(0, path.find_first_of("?#"));
}

/// Removes and returns the first character, decoding %2e as a dot.
char takeCharacter(std::string_view &text)
{
    const bool encoded = text.starts_with("%2e") || text.starts_with("%2E");
    const char out = encoded ? '.' : text.front();
    text.remove_prefix(encoded ? 3 : 1);
    return out;
}

bool isDots(std::string_view segment)
{
    size_t dots = 0;
    while (!segment.empty()) {
        if (takeCharacter(segment) != '.') {
            return false;
        }
        ++dots;
    }
    return dots == 1 || dots == 2;
}

} // namespace

const Rule *matchRule(std::span<const Rule> rules, std::string_view host, std::string_view path)
{
    return findMatchingRule(rules, host, withoutQuery(path));
}

bool isIdempotent(const Rule &rule, std::string_view method)
{
    switch (rule.idempotency) {
    case Idempotency::Always:
        return true;
    case Idempotency::Never:
        return false;
    case Idempotency::ByMethod:
        break;
    }
    return std::find(IdempotentMethods.begin(), IdempotentMethods.end(), method) != IdempotentMethods.end();
}

bool hasDotSegment(std::string_view path)
{
    std::string_view left = withoutQuery(path);
    while (!left.empty()) {
        const size_t slash = left.find('/');
        if (isDots(left.substr(0, slash))) {
            return true;
        }
        left = slash == std::string_view::npos ? std::string_view() : left.substr(slash + 1);
    }
    return false;
}

} // namespace damask
