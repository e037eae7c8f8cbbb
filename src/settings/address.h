/// IP numbers in settings and tickets.
#pragma once

#include <string_view>

namespace damask {

/// True for an IPv4 or IPv6 number as in 192.0.2.7 or 2001:db8::7; names are not numbers.
bool isIpNumber(std::string_view text);

} // namespace damask
