/// bench-control: simulates many entries, each with one link to a keeper; link n uses port first-port + n. Prints a
/// JSON line with the wall-clock time on standard output for each configuration applied.
#include "base/log.h"
#include "programs/damask-entry/keeper_link.h"
#include "startup/program.h"

#include <array>
#include <cstdio>
#include <memory>

using namespace damask;

namespace {

constexpr std::string_view Usage = R"(bench-control: simulates the links of many entries to their keepers.

Usage:
  bench-control [--settings=FILE] [--check | --print-settings]
  bench-control (--help | --version)

Options:
  --settings=FILE   Settings in INI.
  --check           Check the settings and stop.
  --print-settings  Print the effective settings and stop.
  --help            Show this text.
  --version         Show the version.
)";

constexpr SettingSpec Specs[] = {
    {"links", "count", SettingType::Number, "1", "Number of simulated entries.", 1, 1000},
    {"links", "first-port", SettingType::Number, "7001", "TCP port of the first link; each takes the next.", 1, 65535},
    {"links", "targets", SettingType::Number, "0", "Targets for which each entry sends load updates.", 0, 1000},
    {"links", "news", SettingType::Interval, "250 ms", "Interval of load update messages.", 10, 60000},
    {"keys", "public", SettingType::Text, "", "Public key of the keepers and of the links; empty: not encrypted."},
    {"keys", "secret", SettingType::Text, "", "Secret key of the links."},
};

int64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void printApplied(std::string_view instance, uint64_t revision)
{
    std::string line = "{\"instance\":";
    appendJsonString(line, instance);
    line += ",\"revision\":" + std::to_string(revision) + ",\"at\":" + std::to_string(wallMilliseconds()) + "}\n";
    std::fputs(line.c_str(), stdout);
    std::fflush(stdout);
}

std::vector<LoadUpdate> makeUpdates(int64_t targets)
{
    std::vector<LoadUpdate> updates;
    for (int64_t n = 0; n < targets; ++n) {
        updates.push_back({.target = "pool/target-" + std::to_string(n), .report = {.inFlight = 3, .slots = 6}});
    }
    return updates;
}

/// Zero-padded, such as "entry-007", so that names sort in numeric order.
std::string instanceName(int64_t n)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "entry-%03d", static_cast<int>(n));
    return buf.data();
}

std::unique_ptr<KeeperLink> makeLink(Clock &clock, Metrics &metrics, const Settings &settings, int64_t n)
{
    const std::string instance = instanceName(n);
    const int64_t targets = settings.number("links", "targets");
    KeeperLinkOptions options;
    options.instance = instance;
    options.keeper = "tcp://127.0.0.1:" + std::to_string(settings.number("links", "first-port") + n);
    options.loadUpdateInterval = settings.interval("links", "news");
    options.serverKey = settings.text("keys", "public");
    options.publicKey = settings.text("keys", "public");
    options.secretKey = settings.text("keys", "secret");
    KeeperLinkHooks hooks;
    hooks.apply = [instance](const std::shared_ptr<const Configuration> &configuration) {
        printApplied(instance, configuration->revision);
    };
    hooks.updateLoad = [](std::span<const LoadUpdate>) {
    };
    hooks.loadSnapshot = [targets] {
        return makeUpdates(targets);
    };
    return std::make_unique<KeeperLink>(clock, metrics, options, std::move(hooks));
}

} // namespace

int main(int argc, char **argv)
{
    const ProgramStart program = startProgram(argc, argv, {.name = "bench-control", .usage = Usage, .specs = Specs});
    if (!program.settings) {
        return program.exitCode;
    }
    Clock clock;
    Metrics metrics;
    std::vector<std::unique_ptr<KeeperLink>> links;
    for (int64_t n = 0; n < program.settings->number("links", "count"); ++n) {
        links.push_back(makeLink(clock, metrics, *program.settings, n));
        links.back()->start();
    }
    waitForStop();
    links.clear();
    return ExitOk;
}
