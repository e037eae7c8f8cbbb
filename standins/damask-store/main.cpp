/// damask-store: stand-in for the platform's key-value service and instance list, for tests and benches.
#include "base/log.h"
#include "damask-store/service.h"
#include "startup/program.h"

using namespace damask;

namespace {

constexpr std::string_view Usage = R"(damask-store: stand-in for the platform's key-value service and instance list.

Usage:
  damask-store [--settings=FILE] [--set=PAIR]... [--check | --print-settings]
  damask-store (--help | --version)

Options:
  --settings=FILE   Settings in INI.
  --set=PAIR        One setting as section.key=value; overrides the file.
  --check           Check the settings and stop.
  --print-settings  Print the effective settings and stop.
  --help            Show this text.
  --version         Show the version.
)";

constexpr SettingSpec Specs[] = {
    {"listen", "address", SettingType::Text, "127.0.0.1", "IP address to listen on."},
    {"listen", "port", SettingType::Number, "2379", "TCP port to listen on; 0 takes any free one.", 0, 65535},
    {"listen", "threads", SettingType::Number, "256", "Maximum concurrent calls and watches.", 4, 4096},
    {"limits", "value", SettingType::Size, "1000000 B", "Largest value of a key.", 1024, 16 * 1024 * 1024},
    {"limits", "progress", SettingType::Interval, "5 s", "Interval of progress messages on an idle watch.", 100, 60000},
    {"instances", "lag", SettingType::Interval, "0 ms", "Age of the state that the instance list shows.", 0, 600000},
};

} // namespace

int main(int argc, char **argv)
{
    const ProgramStart program = startProgram(argc, argv, {.name = "damask-store", .usage = Usage, .specs = Specs});
    if (!program.settings) {
        return program.exitCode;
    }
    const Settings &settings = *program.settings;
    Clock clock;
    standin::Service service(clock, {.address = std::string(settings.text("listen", "address")),
                                     .port = static_cast<uint16_t>(settings.number("listen", "port")),
                                     .threads = static_cast<size_t>(settings.number("listen", "threads")),
                                     .maxValueBytes = settings.size("limits", "value"),
                                     .progress = settings.interval("limits", "progress")});
    service.instances().setLag(settings.interval("instances", "lag"));
    if (const auto started = service.start(); !started) {
        logEvent(Severity::Error, "start-failed", {{"reason", started.error().detail}});
        return ExitFailed;
    }
    logEvent(Severity::Info, "listening", {{"port", int{service.port()}}});
    waitForStop();
    service.stop();
    return ExitOk;
}
