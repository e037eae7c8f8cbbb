#include "settings/settings.h"

#include <array>
#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

static constexpr auto Specs = std::to_array<SettingSpec>({
    {"front", "port", SettingType::Number, "8080", "Port for callers.", 1, 65535},
    {"front", "idle-timeout", SettingType::Interval, "30 s", "Closes idle connections.", 100, 600000},
    {"front", "max-body", SettingType::Size, "1 MB", "Largest body.", 1, 1e8},
    {"member", "name", SettingType::Text, "", "Name of this instance.", 0, 0, true},
    {"member", "peers", SettingType::List, "", "Peers."},
});

static std::string errorsOf(std::string_view text)
{
    const auto settings = Settings::load(text, "a.ini", Specs);
    return settings ? "" : settings.error().detail;
}

Test(settings, values_and_defaults_are_read_by_type)
{
    const auto settings =
        Settings::load("[front]\nidle-timeout = 250 ms\n[member]\nname = e1\npeers = a, b\n", "a.ini", Specs);
    cr_assert(settings.has_value());
    cr_assert(settings->number("front", "port") == 8080);
    cr_assert(settings->interval("front", "idle-timeout") == 250ms);
    cr_assert(settings->size("front", "max-body") == 1024 * 1024);
    cr_assert(settings->list("member", "peers").size() == 2);
}

Test(settings, errors_report_the_line_and_the_nearest_name)
{
    const std::string errors = errorsOf("[frnt]\nport = 1\n[front]\nprt = 1\nport = 70000\nidle-timeout = 3 weeks\n");
    cr_assert(errors.find("a.ini:1: unknown section [frnt]; nearest is [front]") != std::string::npos, "%s",
              errors.c_str());
    cr_assert(errors.find("a.ini:4: unknown key prt in [front]; nearest is port") != std::string::npos);
    cr_assert(errors.find("a.ini:5: port = 70000: out of range: allowed is 1 to 65535") != std::string::npos);
    cr_assert(errors.find("a.ini:6: idle-timeout = 3 weeks: needs a number and a unit") != std::string::npos);
    cr_assert(errors.find("[member] name is missing") != std::string::npos);
}

Test(settings, duplicate_keys_and_sections_are_errors)
{
    cr_assert(errorsOf("[member]\nname = a\nname = b\n").find("a.ini:3: name occurs twice") != std::string::npos);
    cr_assert(errorsOf("[member]\nname = a\n[front]\nport = 1\n[member]\npeers = b\n").find("a.ini:5: section")
              != std::string::npos);
}

Test(settings, printed_settings_can_be_loaded_again)
{
    const auto settings = Settings::load("[member]\nname = e1\n", "a.ini", Specs);
    const auto again = Settings::load(settings->print(), "printed", Specs);
    cr_assert(again.has_value());
    cr_assert(again->print() == settings->print());
}

Test(settings, long_lists_are_read_and_printed_with_continuation_lines)
{
    std::string peers;
    for (int n = 0; n < 60; ++n) {
        peers += "tcp://10.0.0." + std::to_string(n) + ":7002" + (n % 5 == 4 ? "\n    " : " ");
    }
    const auto settings = Settings::load("[member]\nname = e1\npeers = " + peers, "a.ini", Specs);
    cr_assert(settings.has_value(), "%s", settings.error().detail.c_str());
    cr_assert(settings->list("member", "peers").size() == 60);
    const auto again = Settings::load(settings->print(), "printed", Specs);
    cr_assert(again.has_value() && again->list("member", "peers") == settings->list("member", "peers"));
}

Test(settings, secrets_are_read_and_never_printed)
{
    static constexpr auto Secrets = std::to_array<SettingSpec>({
        {"operate", "token", SettingType::Secret, "", "Token."},
    });
    const auto settings = Settings::load("[operate]\ntoken = hush\n", "a.ini", Secrets);
    cr_assert(settings->secret("operate", "token") == "hush");
    cr_assert(settings->print().find("hush") == std::string::npos);
    cr_assert(Settings::load(settings->print(), "printed", Secrets)->secret("operate", "token").empty());
}

Test(settings, overrides_from_the_command_line_are_validated)
{
    auto settings = Settings::load("[member]\nname = e1\n", "a.ini", Specs);
    cr_assert(settings->change("front.port=9000").has_value());
    cr_assert(settings->number("front", "port") == 9000);
    cr_assert(settings->change("front.port=0").error().code == Code::BadSettings);
    cr_assert(settings->change("front.prt=1").error().code == Code::UnknownSetting);
    cr_assert(settings->change("port").error().code == Code::BadSettings);
    cr_assert(settings->number("front", "port") == 9000);
}

Test(settings, a_comment_after_the_equals_sign_is_not_a_value)
{
    const auto settings = Settings::load("[member]\nname = e1\npeers =;none\n", "a.ini", Specs);
    cr_assert(settings->list("member", "peers").empty());
}

Test(settings, lines_longer_than_inih_allows_are_errors_with_the_line)
{
    const std::string errors = errorsOf("[member]\nname = e1\npeers = " + std::string(200, 'a') + "\n");
    cr_assert(errors.find("a.ini:3: longer than") != std::string::npos, "%s", errors.c_str());
}

Test(settings, a_comment_on_a_continuation_line_is_not_a_value)
{
    const auto settings = Settings::load(
        "[member]\nname = e1\npeers = a, ; the first\n    b,c ; two more\n    ;none\n    d;e\n", "a.ini", Specs);
    cr_assert(settings->list("member", "peers") == std::vector<std::string>({"a", "b", "c", "d;e"}));
    const auto again = Settings::load(settings->print(), "printed", Specs);
    cr_assert(again && again->print() == settings->print());
}

Test(settings, a_value_that_begins_on_a_continuation_line_has_no_leading_space)
{
    const auto settings = Settings::load("[member]\nname =\n    e1\npeers = \n    a,\n    b\n", "a.ini", Specs);
    cr_assert(settings.has_value(), "%s", settings.error().detail.c_str());
    cr_assert(settings->text("member", "name") == "e1");
    const auto again = Settings::load(settings->print(), "printed", Specs);
    cr_assert(again && again->print() == settings->print());
}

Test(settings, values_of_several_lines_are_printed_so_that_they_read_back)
{
    const std::string value =
        std::string(100, 'a') + "\n    " + std::string(90, 'b') + "\n    " + std::string(100, 'c');
    const auto settings = Settings::load("[member]\nname = e1\npeers = " + value + "\n", "a.ini", Specs);
    cr_assert(settings.has_value(), "%s", settings.error().detail.c_str());
    const auto again = Settings::load(settings->print(), "printed", Specs);
    cr_assert(again && again->print() == settings->print());
}

Test(settings, a_value_that_no_line_could_hold_is_an_error)
{
    const std::string value = std::string(100, 'a') + " \t" + std::string(94, 'b'); // not broken beside a tab
    const std::string errors = errorsOf("[member]\nname = e1\npeers =\n " + value + "\n d\n");
    cr_assert(errors.find("longer than") != std::string::npos, "%s", errors.c_str());
}

Test(settings, white_space_of_any_kind_before_a_comment_is_not_a_value)
{
    const auto settings =
        Settings::load("[member]\nname = e1\npeers = a,\n    b \v;none\n    c\r;none\n", "a.ini", Specs);
    cr_assert(settings->text("member", "name") == "e1");
    const auto again = Settings::load(settings->print(), "printed", Specs);
    cr_assert(again && again->print() == settings->print());
    cr_assert(settings->list("member", "peers") == std::vector<std::string>({"a", "b", "c"}));
}
