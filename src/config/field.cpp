#include "config/field.h"

#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace damask {

namespace {

constexpr size_t MaxPrefixBytes = 100;
constexpr size_t MaxHostBytes = 100;
constexpr size_t MaxDataCentresOfRule = 16;
constexpr size_t MaxListBytes = 160; // keeps a line below inih's limit of 200 bytes
constexpr size_t KeyBytes = 40;      // of a CURVE key in Z85
constexpr int MaxSlots = 10'000;
constexpr std::string_view AnyValue = "any";
constexpr std::string_view NoneValue = "none";
constexpr std::string_view NameFormat = "letters, digits, '.', '_' and '-', at most 40 bytes";

std::string formatNumber(double number)
{
    std::array<char, 400> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), number, std::chars_format::fixed);
    return std::string(buf.data(), ec == std::errc() ? end : buf.data());
}

std::string formatInterval(Duration duration)
{
    const int64_t us = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    if (us % 1'000'000 == 0) {
        return std::to_string(us / 1'000'000) + " s";
    }
    if (us % 1'000 == 0) {
        return std::to_string(us / 1'000) + " ms";
    }
    return std::to_string(us) + " us";
}

/// Rounds to microseconds, so that a written value reads back the same.
bool readInterval(Duration &out, std::string_view text, double minMs, double maxMs)
{
    const auto value = parseInterval(text);
    if (!value || toMilliseconds(*value) < minMs || toMilliseconds(*value) > maxMs) {
        return false;
    }
    out = std::chrono::round<std::chrono::microseconds>(*value);
    return true;
}

template<class T>
Field<T> numberField(std::string_view key, int T::*member, int minimum, int maximum)
{
    return {key, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum), false,
            [member, minimum, maximum](T &object, std::string_view text) {
                const auto value = parseNumber(text);
                if (!value || *value < minimum || *value > maximum) {
                    return false;
                }
                object.*member = static_cast<int>(*value);
                return true;
            },
            [member](const T &object) {
                return std::to_string(object.*member);
            }};
}

template<class T>
Field<T> fractionField(std::string_view key, double T::*member, double minimum, double maximum)
{
    return {key, "a number from " + formatNumber(minimum) + " to " + formatNumber(maximum), false,
            [member, minimum, maximum](T &object, std::string_view text) {
                const auto value = parseFraction(text);
                if (!value || *value < minimum || *value > maximum) {
                    return false;
                }
                object.*member = std::abs(*value); // avoids a negative zero
                return true;
            },
            [member](const T &object) {
                return formatNumber(object.*member);
            }};
}

template<class T>
Field<T> intervalField(std::string_view key, Duration T::*member, double minMs, double maxMs)
{
    return {key, "an interval from " + formatNumber(minMs) + " ms to " + formatNumber(maxMs) + " ms, as in 250 ms",
            false,
            [member, minMs, maxMs](T &object, std::string_view text) {
                return readInterval(object.*member, text, minMs, maxMs);
            },
            [member](const T &object) {
                return formatInterval(object.*member);
            }};
}

template<class T>
Field<T> flagField(std::string_view key, bool T::*member)
{
    return {key, "yes or no", false,
            [member](T &object, std::string_view text) {
                const auto value = parseFlag(text);
                object.*member = value.value_or(object.*member);
                return value.has_value();
            },
            [member](const T &object) {
                return object.*member ? "yes" : "no";
            }};
}

template<class T>
Field<T> nameField(std::string_view key, std::string T::*member)
{
    return {key, std::string(NameFormat), true,
            [member](T &object, std::string_view text) {
                object.*member = text;
                return validName(text);
            },
            [member](const T &object) {
                return object.*member;
            }};
}

bool isVisible(char c)
{
    return c > ' ' && c < '\x7f' && c != ';' && c != '#';
}

bool readHost(Rule &rule, std::string_view text)
{
    rule.host = text == AnyValue ? std::string_view() : text;
    const auto allowed = [](char c) {
        return isVisible(c) && (c < 'A' || c > 'Z') && c != '/' && c != ':';
    };
    return !text.empty() && text.size() <= MaxHostBytes && std::all_of(text.begin(), text.end(), allowed);
}

bool readPrefix(Rule &rule, std::string_view text)
{
    rule.prefix = text;
    return text.starts_with('/') && text.size() <= MaxPrefixBytes && std::all_of(text.begin(), text.end(), isVisible)
           && text.find('?') == std::string_view::npos;
}

bool readRuleService(Rule &rule, std::string_view text)
{
    rule.service = text == NoneValue ? std::string_view() : text;
    return validName(text);
}

constexpr auto IdempotencyValues = std::to_array<std::string_view>({"by-method", "always", "never"});

bool readIdempotency(Rule &rule, std::string_view text)
{
    const auto *it = std::find(IdempotencyValues.begin(), IdempotencyValues.end(), text);
    if (it == IdempotencyValues.end()) {
        return false;
    }
    rule.idempotency = static_cast<Idempotency>(it - IdempotencyValues.begin());
    return true;
}

bool readDataCentres(Rule &rule, std::string_view text)
{
    rule.dataCentres = text == AnyValue ? std::vector<std::string>() : parseList(text);
    std::sort(rule.dataCentres.begin(), rule.dataCentres.end());
    const bool unique = std::adjacent_find(rule.dataCentres.begin(), rule.dataCentres.end()) == rule.dataCentres.end();
    return unique && !text.empty() && text.size() <= MaxListBytes && rule.dataCentres.size() <= MaxDataCentresOfRule
           && std::all_of(rule.dataCentres.begin(), rule.dataCentres.end(), validName);
}

std::string writeDataCentres(const Rule &rule)
{
    std::string out;
    for (const auto &it : rule.dataCentres) {
        out += (out.empty() ? "" : " ") + it;
    }
    return out.empty() ? std::string(AnyValue) : out;
}

bool readPublicKey(PeerKey &key, std::string_view text)
{
    constexpr std::string_view Z85 =
        "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()[]{}@%$#";
    key.publicKey = text;
    return text.size() == KeyBytes && text.find_first_not_of(Z85) == std::string_view::npos;
}

/// Reads one `key=value` of a target line. Returns what is wrong; empty: nothing.
std::string readTargetAttribute(Target &target, std::string_view key, std::string_view value)
{
    if (key == "data-centre") {
        target.dataCentre = value;
        return validName(value) ? "" : "data-centre: allowed is " + std::string(NameFormat);
    }
    if (key == "slots") {
        const auto slots = parseNumber(value);
        target.slots = static_cast<int>(slots.value_or(0));
        return slots && *slots >= 1 && *slots <= MaxSlots ? "" : "slots: allowed is 1 to " + std::to_string(MaxSlots);
    }
    if (key == "draining") {
        const auto draining = parseFlag(value);
        target.draining = draining.value_or(false);
        return draining ? "" : "draining: allowed is yes or no";
    }
    return "unknown attribute " + std::string(key) + "; allowed are data-centre, slots, draining";
}

bool readEndpoint(Target &target, std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto port = parseNumber(text.substr(colon + 1));
    target.address = text.substr(0, colon);
    target.port = static_cast<uint16_t>(port.value_or(0));
    return port && *port >= 1 && *port <= UINT16_MAX;
}

} // namespace

bool validName(std::string_view name)
{
    const auto letterOrDigit = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    return !name.empty() && name.size() <= MaxObjectNameBytes && letterOrDigit(name.front())
           && std::all_of(name.begin(), name.end(),
                          [&](char c) { return letterOrDigit(c) || c == '.' || c == '_' || c == '-'; });
}

std::string readTarget(Target &target, std::string_view value)
{
    const std::vector<std::string> words = parseList(value);
    if (words.empty() || !readEndpoint(target, words.front())) {
        return "allowed is IP:PORT first, as in 192.0.2.7:8001 data-centre=zh1 slots=6 draining=no";
    }
    std::vector<std::string_view> seen;
    for (size_t n = 1; n < words.size(); ++n) {
        const std::string_view word = words[n];
        const size_t equals = std::min(word.find('='), word.size());
        const std::string_view key = word.substr(0, equals);
        if (std::find(seen.begin(), seen.end(), key) != seen.end()) {
            return std::string(key) + " appears twice";
        }
        seen.push_back(key);
        std::string wrong = readTargetAttribute(target, key, word.substr(std::min(equals + 1, word.size())));
        if (!wrong.empty()) {
            return wrong;
        }
    }
    return target.dataCentre.empty() ? "data-centre is missing" : "";
}

std::string writeTarget(const Target &target)
{
    return target.address + ":" + std::to_string(target.port) + " data-centre=" + target.dataCentre
           + " slots=" + std::to_string(target.slots) + " draining=" + (target.draining ? "yes" : "no");
}

template<>
std::span<const Field<Service>> fieldsOf<Service>()
{
    static const std::vector<Field<Service>> fields = {
        nameField<Service>("pool", &Service::pool),
        intervalField<Service>("deadline", &Service::deadline, 1, 600'000),
        numberField<Service>("max-depth", &Service::maxDepth, 1, 64),
        numberField<Service>("queue-limit", &Service::queueLimit, 0, 100'000),
        intervalField<Service>("queue-wait", &Service::queueWait, 0, 60'000),
        fractionField<Service>("retry-ratio", &Service::retryRatio, 0, 1),
        flagField<Service>("hedge", &Service::hedge),
        intervalField<Service>("hedge-after", &Service::hedgeAfter, 0.1, 60'000),
        numberField<Service>("connection-share", &Service::connectionShare, 1, 1'000),
        fractionField<Service>("measure-bytes-per-second", &Service::measureBytesPerSecond, 0, 1e8),
        fractionField<Service>("measure-probes-per-second", &Service::measureProbesPerSecond, 0, 1e5),
        fractionField<Service>("region-bytes-per-second", &Service::regionBytesPerSecond, 0, 1e10),
    };
    return fields;
}

template<>
std::span<const Field<Pool>> fieldsOf<Pool>()
{
    return {};
}

template<>
std::span<const Field<Rule>> fieldsOf<Rule>()
{
    static const std::vector<Field<Rule>> fields = {
        {"host", "a host name in lower case without port, or any", false, readHost,
         [](const Rule &rule) {
             return rule.host.empty() ? std::string(AnyValue) : rule.host;
         }},
        {"prefix", "a path that starts with /, at most 100 bytes", false, readPrefix,
         [](const Rule &rule) {
             return rule.prefix;
         }},
        {"service", "the name of a service, or none to refuse such requests", true, readRuleService,
         [](const Rule &rule) {
             return rule.service.empty() ? std::string(NoneValue) : rule.service;
         }},
        {"idempotency", "by-method, always or never", false, readIdempotency,
         [](const Rule &rule) {
             return std::string(IdempotencyValues.at(static_cast<size_t>(rule.idempotency)));
         }},
        {"data-centres", "names of data centres, each once, or any", false, readDataCentres, writeDataCentres},
    };
    return fields;
}

template<>
std::span<const Field<DataCentre>> fieldsOf<DataCentre>()
{
    static const std::vector<Field<DataCentre>> fields = {nameField<DataCentre>("region", &DataCentre::region)};
    return fields;
}

template<>
std::span<const Field<Link>> fieldsOf<Link>()
{
    static const std::vector<Field<Link>> fields = {intervalField<Link>("delay", &Link::delay, 0, 10'000)};
    return fields;
}

template<>
std::span<const Field<PeerKey>> fieldsOf<PeerKey>()
{
    static const std::vector<Field<PeerKey>> fields = {
        {"public-key", "40 characters of Z85", true, readPublicKey,
         [](const PeerKey &key) {
             return key.publicKey;
         }},
        flagField<PeerKey>("retired", &PeerKey::retired),
    };
    return fields;
}

} // namespace damask
