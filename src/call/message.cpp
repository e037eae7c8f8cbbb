#include "call/message.h"

#include <algorithm>

namespace damask {

namespace {

char toLowerAscii(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view headerValue(std::span<const HeaderField> headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(),
                                 [name](const HeaderField &n) { return sameHeaderName(n.name, name); });
    return it == headers.end() ? std::string_view() : std::string_view(it->value);
}

bool sameHeaderName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return toLowerAscii(a) == toLowerAscii(b); });
}

} // namespace damask
