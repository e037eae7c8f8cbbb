/// Rule matching and idempotency of requests. The functions have no side effects.
#pragma once

#include "config/model.h"

#include <span>
#include <string_view>

namespace damask {

/// The rule that applies to a host and a path including its query, or null. Uses findMatchingRule() of
/// config/rule_match.h, which the ticket checks use as well.
const Rule *matchRule(std::span<const Rule> rules, std::string_view host, std::string_view path);

/// Whether the request may be run more than once: by the rule's idempotency setting, or else by the method.
bool isIdempotent(const Rule &rule, std::string_view method);

/// Whether a path has a segment "." or "..", also percent-encoded as %2e. A target could resolve such a path to one
/// that belongs to another rule.
bool hasDotSegment(std::string_view path);

} // namespace damask
