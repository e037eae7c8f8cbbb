/// IP addresses and endpoints in settings, tickets and registries.
#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace damask {

/// True for an IPv4 or IPv6 address such as 192.0.2.7 or 2001:db8::7; false for host names.
bool isIpAddress(std::string_view text);

/// An IP address and a TCP port.
struct Endpoint {
    std::string address;
    uint16_t    port = 0;
};

/// Parses "192.0.2.7:8080" or "[2001:db8::7]:8080". BadSettings; its detail gives the allowed format.
Result<Endpoint> parseEndpoint(std::string_view text);

} // namespace damask
