/// Parses INI text with inih into sections and entries with their line numbers.
///
/// Sections may have a name: `[pool listings]` has kind "pool" and name "listings".
#pragma once

#include "base/result.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// One `key = value` line.
struct IniEntry {
    std::string key;      // as in the file
    std::string value;    // without leading and trailing white space
    int         line = 0; // from 1
};

/// One `[kind name]` section with its entries in the order of the file.
struct IniSection {
    std::string           kind;     // first word of the header; empty for entries before any header
    std::string           name;     // the rest of the header; may be empty
    int                   line = 0; // line of the header
    std::vector<IniEntry> entries;
};

/// Parses text. An indented line continues the value above it. `source` names the text in errors. BadSettings with
/// source and line on malformed lines.
Result<std::vector<IniSection>> readIni(std::string_view text, std::string_view source);

/// Formats `key = value` for readIni(). Long values are broken at spaces into indented continuation lines.
std::string writeIniEntry(std::string_view key, std::string_view value);

/// Reads a whole file of at most maxBytes. SystemError when it can't be read or is longer.
Result<std::string> readFile(std::string_view path, size_t maxBytes = 4 * 1024 * 1024);

/// The candidate nearest to word by edit distance; empty when there are none.
std::string_view nearestName(std::string_view word, std::span<const std::string_view> candidates);

} // namespace damask
