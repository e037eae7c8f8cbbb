/// Settings of a program: declared in a table, read from INI text and validated as a whole.
///
/// Use: declare `constexpr SettingSpec Specs[] = {...}`, then `Settings::load(text, "entry.ini", Specs)`.
/// Reading a key that is not in the table fails an assertion, since it is an error in the program, not in the file.
#pragma once

#include "base/result.h"
#include "base/time.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

enum class SettingType {
    Text,     // any text
    Number,   // integer from minValue to maxValue
    Fraction, // decimal number from minValue to maxValue
    Flag,     // yes or no
    Interval, // number and unit: ns, us, ms, s, min, h; range in ms
    Size,     // number and unit: B, KB, MB (1 KB = 1024 B); range in bytes
    List,     // words separated by spaces or commas
    Secret,   // any text, never printed
};

/// One row of a program's table of settings.
struct SettingSpec {
    std::string_view section;          // [section]
    std::string_view key;              // lower case with hyphens
    SettingType      type;             // how the value is parsed and validated
    std::string_view defaultValue;     // as in the file; used when the key is missing
    std::string_view help;             // one sentence
    double           minValue = 0;     // for numbers, intervals and sizes
    double           maxValue = 1e15;  // for numbers, intervals and sizes
    bool             required = false; // must be set in the file
};

class Settings
{
public:
    /// Reports all errors of the file at once, one per line: source:line, field, allowed values, nearest valid name.
    static Result<Settings> load(std::string_view text, std::string_view source, std::span<const SettingSpec> specs);

    std::string_view         text(std::string_view section, std::string_view key) const;
    std::string_view         secret(std::string_view section, std::string_view key) const;
    int64_t                  number(std::string_view section, std::string_view key) const;
    double                   fraction(std::string_view section, std::string_view key) const;
    bool                     flag(std::string_view section, std::string_view key) const;
    Duration                 interval(std::string_view section, std::string_view key) const;
    size_t                   size(std::string_view section, std::string_view key) const; // bytes
    std::vector<std::string> list(std::string_view section, std::string_view key) const;

    Result<void> change(std::string_view assignment); // "section.key=value" from a command line
    std::string  print() const;                       // all effective settings as INI, with unit, range and default

private:
    const std::string &value(std::string_view section, std::string_view key, SettingType type) const;

    std::vector<SettingSpec> m_specs;
    std::vector<std::string> m_values; // one per spec
};

/// Parsers of single values, also used for tickets. BadSettings; its detail gives the allowed values.
Result<Duration>         parseInterval(std::string_view text); // "250 ms", "2s"
Result<size_t>           parseSize(std::string_view text);     // "64 KB"
Result<int64_t>          parseNumber(std::string_view text);
Result<double>           parseFraction(std::string_view text);
Result<bool>             parseFlag(std::string_view text); // yes, no
std::vector<std::string> parseList(std::string_view text); // words

} // namespace damask
