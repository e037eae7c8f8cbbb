#include "settings/address.h"

#include <arpa/inet.h>
#include <charconv>
#include <string>

namespace damask {

bool isIpAddress(std::string_view text)
{
    const std::string terminated(text); // inet_pton() needs a terminated string
    in6_addr buf{};
    return text.find('\0') == std::string_view::npos
           && (inet_pton(AF_INET, terminated.c_str(), &buf) == 1 || inet_pton(AF_INET6, terminated.c_str(), &buf) == 1);
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const size_t colon = text.rfind(':');
    std::string_view address = text.substr(0, colon);
    const std::string_view digits = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
    }
    uint16_t port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (!isIpAddress(address) || ec != std::errc() || end != digits.data() + digits.size() || port == 0) {
        return fail(Code::BadSettings,
                    "endpoint \"" + std::string(text) + "\": needs an IP address and a port, as in 127.0.0.1:7000");
    }
    return Endpoint{std::string(address), port};
}

} // namespace damask
