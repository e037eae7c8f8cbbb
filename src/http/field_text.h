/// Text parsing helpers shared by the head parsers and protocols of this package.
#pragma once

#include <charconv>
#include <string_view>
#include <system_error>

namespace damask {

/// Returns text without leading and trailing spaces and tabs.
inline std::string_view trimmed(std::string_view text)
{
    const size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Parses a number. Returns false unless the whole text is one.
template<class T>
bool parseNumber(std::string_view text, T &out)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    return ec == std::errc() && end == text.data() + text.size() && !text.empty();
}

} // namespace damask
