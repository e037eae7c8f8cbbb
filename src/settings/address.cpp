#include "settings/address.h"

#include <arpa/inet.h>
#include <string>

namespace damask {

bool isIpNumber(std::string_view text)
{
    const std::string number(text); // the system's call wants a closing zero
    in6_addr buf{};
    return text.find('\0') == std::string_view::npos
           && (inet_pton(AF_INET, number.c_str(), &buf) == 1 || inet_pton(AF_INET6, number.c_str(), &buf) == 1);
}

} // namespace damask
