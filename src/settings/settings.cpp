#include "settings/settings.h"

#include "base/check.h"
#include "settings/ini.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace damask {

namespace {

/// A unit and its conversion factor to the base unit.
struct Unit {
    std::string_view name;
    double factor;
};

constexpr auto TimeUnits = std::to_array<Unit>({
    {"ns", 1e-6},
    {"us", 1e-3},
    {"ms", 1},
    {"s", 1e3},
    {"min", 6e4},
    {"h", 3.6e6},
}); // in ms

constexpr auto SizeUnits = std::to_array<Unit>({{"B", 1}, {"KB", 1024}, {"MB", 1024.0 * 1024}}); // in bytes

std::string_view trimmed(std::string_view text)
{
    const size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

Result<double> parseWithUnit(std::string_view text, std::span<const Unit> units, std::string_view allowed)
{
    text = trimmed(text);
    const size_t end = std::min(text.find_first_not_of("0123456789."), text.size());
    const auto number = parseFraction(text.substr(0, end));
    const std::string_view name = trimmed(text.substr(end));
    const auto it = std::find_if(units.begin(), units.end(), [name](const Unit &n) { return n.name == name; });
    if (!number || it == units.end()) {
        return fail(Code::BadSettings, "needs a number and a unit: " + std::string(allowed));
    }
    return *number * it->factor;
}

/// The value in the unit of minValue and maxValue; NaN for types without a range.
Result<double> numericValue(const SettingSpec &spec, std::string_view text)
{
    switch (spec.type) {
    case SettingType::Number:
        return parseNumber(text).map([](int64_t n) { return static_cast<double>(n); });
    case SettingType::Fraction:
        return parseFraction(text);
    case SettingType::Interval:
        return parseInterval(text).map([](Duration n) { return toMilliseconds(n); });
    case SettingType::Size:
        return parseSize(text).map([](size_t n) { return static_cast<double>(n); });
    case SettingType::Flag:
        return parseFlag(text).map([](bool) { return std::nan(""); });
    case SettingType::Text:
    case SettingType::List:
    case SettingType::Secret:
        break;
    }
    return std::nan("");
}

std::string formatNumber(double number)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.10g", number);
    return buf.data();
}

std::string rangeText(const SettingSpec &spec)
{
    const std::string unit = spec.type == SettingType::Interval ? " ms" : spec.type == SettingType::Size ? " B" : "";
    return formatNumber(spec.minValue) + " to " + formatNumber(spec.maxValue) + unit;
}

Result<void> checkValue(const SettingSpec &spec, std::string_view text)
{
    const auto numeric = numericValue(spec, text);
    if (!numeric) {
        return tl::make_unexpected(numeric.error());
    }
    if (!std::isnan(*numeric) && (*numeric < spec.minValue || *numeric > spec.maxValue)) {
        return fail(Code::BadSettings, "out of range: allowed is " + rangeText(spec));
    }
    return {};
}

std::string_view typeName(SettingType type)
{
    switch (type) {
    case SettingType::Text:
        return "text";
    case SettingType::Number:
        return "whole number";
    case SettingType::Fraction:
        return "number";
    case SettingType::Flag:
        return "yes or no";
    case SettingType::Interval:
        return "interval (ns, us, ms, s, min, h)";
    case SettingType::Size:
        return "size (B, KB, MB)";
    case SettingType::List:
        return "words";
    case SettingType::Secret:
        return "text (never printed)";
    }
    return "text";
}

bool hasRange(SettingType type)
{
    return type == SettingType::Number || type == SettingType::Fraction || type == SettingType::Interval
           || type == SettingType::Size;
}

/// Collects the values and the errors of one file.
class Loader
{
public:
    Loader(std::string_view source, std::span<const SettingSpec> specs)
        : m_source(source)
        , m_specs(specs)
        , m_given(specs.size(), false)
    {
        for (const SettingSpec &it : specs) {
            values.emplace_back(it.defaultValue);
        }
    }

    void readSection(const IniSection &section)
    {
        std::vector<std::string_view> sections;
        for (const SettingSpec &it : m_specs) {
            sections.push_back(it.section);
        }
        const std::string header = section.name.empty() ? section.kind : section.kind + " " + section.name;
        if (std::find(sections.begin(), sections.end(), header) == sections.end()) {
            addError(section.line, "unknown section [" + header + "]; nearest is ["
                                       + std::string(nearestName(header, sections)) + "]");
            return;
        }
        for (const IniEntry &it : section.entries) {
            readEntry(header, it);
        }
    }

    void checkRequired()
    {
        for (size_t n = 0; n < m_specs.size(); ++n) {
            if (m_specs[n].required && !m_given[n]) {
                addError(0, "[" + std::string(m_specs[n].section) + "] " + std::string(m_specs[n].key)
                                + " is missing and has no default");
            }
        }
    }

    std::vector<std::string> values;
    std::string errors;

private:
    void readEntry(std::string_view section, const IniEntry &entry)
    {
        std::vector<std::string_view> keys;
        for (size_t n = 0; n < m_specs.size(); ++n) {
            if (m_specs[n].section != section) {
                continue;
            }
            keys.push_back(m_specs[n].key);
            if (m_specs[n].key == entry.key) {
                readValue(n, entry);
                return;
            }
        }
        addError(entry.line, "unknown key " + entry.key + " in [" + std::string(section) + "]; nearest is "
                                 + std::string(nearestName(entry.key, keys)));
    }

    void readValue(size_t n, const IniEntry &entry)
    {
        if (m_given[n]) {
            addError(entry.line, entry.key + " occurs twice in [" + std::string(m_specs[n].section) + "]");
            return;
        }
        m_given[n] = true;
        const auto checked = checkValue(m_specs[n], entry.value);
        if (!checked) {
            addError(entry.line, entry.key + " = " + entry.value + ": " + checked.error().detail);
            return;
        }
        values[n] = entry.value;
    }

    void addError(int line, std::string_view message)
    {
        errors += errors.empty() ? "" : "\n";
        errors += std::string(m_source) + (line > 0 ? ":" + std::to_string(line) : "") + ": " + std::string(message);
    }

    std::string_view m_source;
    std::span<const SettingSpec> m_specs;
    std::vector<bool> m_given;
};

} // namespace

Result<Settings> Settings::load(std::string_view text, std::string_view source, std::span<const SettingSpec> specs)
{
    const auto sections = readIni(text, source);
    if (!sections) {
        return tl::make_unexpected(sections.error());
    }
    Loader loader(source, specs);
    for (const IniSection &it : *sections) {
        loader.readSection(it);
    }
    loader.checkRequired();
    if (!loader.errors.empty()) {
        return fail(Code::BadSettings, loader.errors);
    }
    Settings settings;
    settings.m_specs.assign(specs.begin(), specs.end());
    settings.m_values = std::move(loader.values);
    return settings;
}

const std::string &Settings::value(std::string_view section, std::string_view key, SettingType type) const
{
    for (size_t n = 0; n < m_specs.size(); ++n) {
        if (m_specs[n].section == section && m_specs[n].key == key) {
            DAMASK_ASSERT(m_specs[n].type == type, "read the setting with the accessor of its declared type");
            return m_values[n];
        }
    }
    DAMASK_ASSERT(false, "declare the setting in the program's table of settings");
    return m_values.front();
}

std::string_view Settings::text(std::string_view section, std::string_view key) const
{
    return value(section, key, SettingType::Text);
}

std::string_view Settings::secret(std::string_view section, std::string_view key) const
{
    return value(section, key, SettingType::Secret);
}

int64_t Settings::number(std::string_view section, std::string_view key) const
{
    return parseNumber(value(section, key, SettingType::Number)).value_or(0);
}

double Settings::fraction(std::string_view section, std::string_view key) const
{
    return parseFraction(value(section, key, SettingType::Fraction)).value_or(0);
}

bool Settings::flag(std::string_view section, std::string_view key) const
{
    return parseFlag(value(section, key, SettingType::Flag)).value_or(false);
}

Duration Settings::interval(std::string_view section, std::string_view key) const
{
    return parseInterval(value(section, key, SettingType::Interval)).value_or(Duration::zero());
}

size_t Settings::size(std::string_view section, std::string_view key) const
{
    return parseSize(value(section, key, SettingType::Size)).value_or(0);
}

std::vector<std::string> Settings::list(std::string_view section, std::string_view key) const
{
    return parseList(value(section, key, SettingType::List));
}

Result<void> Settings::change(std::string_view assignment)
{
    const std::string_view name = assignment.substr(0, assignment.find('='));
    const size_t dot = name.find('.');
    if (name.size() == assignment.size() || dot == std::string_view::npos) {
        return fail(Code::BadSettings, std::string(assignment) + ": needs section.key=value");
    }
    for (size_t n = 0; n < m_specs.size(); ++n) {
        if (m_specs[n].section != name.substr(0, dot) || m_specs[n].key != name.substr(dot + 1)) {
            continue;
        }
        const std::string_view newValue = assignment.substr(name.size() + 1);
        const auto checked = checkValue(m_specs[n], newValue);
        if (!checked) {
            return fail(Code::BadSettings, std::string(assignment) + ": " + checked.error().detail);
        }
        m_values[n] = newValue;
        return {};
    }
    return fail(Code::UnknownSetting, std::string(name) + ": unknown setting; see --print-settings");
}

std::string Settings::print() const
{
    std::string out;
    std::string_view section;
    for (size_t n = 0; n < m_specs.size(); ++n) {
        const SettingSpec &spec = m_specs[n];
        if (spec.section != section) {
            section = spec.section;
            out += (out.empty() ? "[" : "\n[") + std::string(section) + "]\n";
        }
        out += "; " + std::string(spec.help) + " " + std::string(typeName(spec.type));
        if (hasRange(spec.type)) {
            out += ", " + rangeText(spec);
        }
        out += spec.required ? ", required\n" : ", default: " + std::string(spec.defaultValue) + "\n";
        const bool hidden = spec.type == SettingType::Secret && !m_values[n].empty();
        out += hidden ? "; " + std::string(spec.key) + " is set\n" : writeIniEntry(spec.key, m_values[n]);
    }
    return out;
}

Result<Duration> parseInterval(std::string_view text)
{
    return parseWithUnit(text, TimeUnits, "ns, us, ms, s, min or h, as in 250 ms").map([](double n) {
        return fromMilliseconds(n);
    });
}

Result<size_t> parseSize(std::string_view text)
{
    return parseWithUnit(text, SizeUnits, "B, KB or MB, as in 64 KB").map([](double n) {
        return static_cast<size_t>(n);
    });
}

Result<int64_t> parseNumber(std::string_view text)
{
    text = trimmed(text);
    int64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return fail(Code::BadSettings, "needs a whole number");
    }
    return number;
}

Result<double> parseFraction(std::string_view text)
{
    text = trimmed(text);
    double number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size() || !std::isfinite(number)) {
        return fail(Code::BadSettings, "needs a number");
    }
    return number;
}

Result<bool> parseFlag(std::string_view text)
{
    text = trimmed(text);
    if (text != "yes" && text != "no") {
        return fail(Code::BadSettings, "needs yes or no");
    }
    return text == "yes";
}

std::vector<std::string> parseList(std::string_view text)
{
    constexpr std::string_view Separators = " ,\t";
    std::vector<std::string> words;
    while (true) {
        const size_t first = text.find_first_not_of(Separators);
        if (first == std::string_view::npos) {
            return words;
        }
        text.remove_prefix(first);
        const size_t end = std::min(text.find_first_of(Separators), text.size());
        words.emplace_back(text.substr(0, end));
        text.remove_prefix(end);
    }
}

} // namespace damask
