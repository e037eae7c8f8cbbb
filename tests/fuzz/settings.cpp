// Feeds arbitrary text to the settings parser: it must be rejected with a reason, or survive a round trip through
// print().

#include "settings/settings.h"
#include "base/check.h"

#include <array>
#include <cstddef>
#include <cstdint>

using namespace damask;

static constexpr auto Specs = std::to_array<SettingSpec>({
    {"front", "address", SettingType::Text, "127.0.0.1", "IP address to listen on."},
    {"front", "port", SettingType::Number, "8080", "Port for callers.", 1, 65535},
    {"front", "idle-timeout", SettingType::Interval, "30 s", "Closes idle connections.", 100, 600000},
    {"front", "max-body", SettingType::Size, "1 MB", "Largest body.", 1, 1e8},
    {"route", "ratio", SettingType::Fraction, "0.1", "Share of retries.", 0, 1},
    {"route", "hedge", SettingType::Flag, "no", "Second attempts."},
    {"member", "peers", SettingType::List, "", "Peers."},
});

static void readAll(const Settings &settings)
{
    settings.text("front", "address");
    DAMASK_ASSERT(settings.number("front", "port") >= 1, "a value must be in its range");
    DAMASK_ASSERT(settings.interval("front", "idle-timeout") >= std::chrono::milliseconds(100),
                  "a value must be in its range");
    DAMASK_ASSERT(settings.size("front", "max-body") >= 1, "a value must be in its range");
    DAMASK_ASSERT(settings.fraction("route", "ratio") <= 1, "a value must be in its range");
    settings.flag("route", "hedge");
    settings.list("member", "peers");
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto settings = Settings::load(text, "fuzz", Specs);
    if (!settings) {
        DAMASK_ASSERT(settings.error().detail.starts_with("fuzz:"), "each error must name the source");
        return 0;
    }
    readAll(*settings);
    const std::string printed = settings->print();
    const auto again = Settings::load(printed, "printed", Specs);
    DAMASK_ASSERT(again.has_value(), "printed settings must be readable");
    DAMASK_ASSERT(again->print() == printed, "printed settings must read back unchanged");
    return 0;
}
