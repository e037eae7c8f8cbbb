/// Which rule decides for a request, and what it says of idempotency. Pure.
#pragma once

#include "config/model.h"

#include <span>
#include <string_view>

namespace damask {

/// The rule that decides for a host and a path with its query, or null: findMatchingRule() of config/rule_match.h,
/// which tickets are checked by too.
const Rule *matchRule(std::span<const Rule> rules, std::string_view host, std::string_view path);

/// Whether the request may be run twice without harm.
bool isIdempotent(const Rule &rule, std::string_view method);

/// Whether a path has a segment "." or "..", also written with %2e. A target could resolve it to a path of another
/// rule.
bool hasDotSegment(std::string_view path);

} // namespace damask
