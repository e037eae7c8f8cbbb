/// Selects the rule that applies to a request.
#pragma once

#include "config/model.h"

#include <span>
#include <string_view>

namespace damask {

/// True when the rule covers the host (without port, lower case) and path. A prefix matches whole segments: "/pay"
/// covers "/pay" and "/pay/7", but not "/payments".
bool ruleMatches(const Rule &rule, std::string_view host, std::string_view path);

/// The rule that applies: rules that name the host take precedence, then the longest prefix. nullptr: none matches.
const Rule *findMatchingRule(std::span<const Rule> rules, std::string_view host, std::string_view path);

} // namespace damask
