/// IP numbers and endpoints in settings, tickets and registries.
#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace damask {

/// True for an IPv4 or IPv6 number as in 192.0.2.7 or 2001:db8::7; names are not numbers.
bool isIpAddress(std::string_view text);

/// An IP number and a TCP port.
struct Endpoint {
    std::string address;
    uint16_t    port = 0;
};

/// Reads "192.0.2.7:8080" or "[2001:db8::7]:8080". BadSettings says what is allowed.
Result<Endpoint> parseEndpoint(std::string_view text);

} // namespace damask
