/// bench-control: stands for many entries at once. Holds a link to each keeper named in its settings and prints a JSON
/// line on standard output for each configuration applied, with the wall clock's time.
#include "base/log.h"
#include "programs/damask-entry/keeper_link.h"
#include "startup/program.h"

#include <cstdio>
#include <memory>

using namespace damask;

namespace {

constexpr std::string_view Usage = R"(bench-control: holds the entries' ends of many links to keepers.

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
    {"links", "keepers", SettingType::List, "", "NAME@ADDRESS of each keeper, e.g. entry-1@tcp://127.0.0.1:7001."},
    {"links", "targets", SettingType::Number, "0", "Targets that each entry has fresh news of.", 0, 1000},
    {"links", "news", SettingType::Interval, "250 ms", "Between two messages of news.", 10, 60000},
    {"keys", "public", SettingType::Text, "", "Public key of the keepers and of the links; empty: plain."},
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

std::vector<LoadNews> makeNews(int64_t targets)
{
    std::vector<LoadNews> news;
    for (int64_t n = 0; n < targets; ++n) {
        news.push_back({.target = "pool/target-" + std::to_string(n), .report = {.inFlight = 3, .slots = 6}});
    }
    return news;
}

std::unique_ptr<KeeperLink> makeLink(Clock &clock, Metrics &metrics, const Settings &settings, std::string_view entry)
{
    const size_t at = entry.find('@');
    const std::string instance(entry.substr(0, at));
    const int64_t targets = settings.number("links", "targets");
    KeeperLinkOptions options;
    options.instance = instance;
    options.keeper = at == std::string_view::npos ? std::string() : std::string(entry.substr(at + 1));
    options.newsInterval = settings.interval("links", "news");
    options.serverKey = settings.text("keys", "public");
    options.publicKey = settings.text("keys", "public");
    options.secretKey = settings.text("keys", "secret");
    KeeperLinkHooks hooks;
    hooks.apply = [instance](const std::shared_ptr<const Configuration> &configuration) {
        printApplied(instance, configuration->revision);
    };
    hooks.absorb = [](std::span<const LoadNews>) {
    };
    hooks.ownNews = [targets] {
        return makeNews(targets);
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
    for (const std::string &it : program.settings->list("links", "keepers")) {
        links.push_back(makeLink(clock, metrics, *program.settings, it));
        links.back()->start();
    }
    waitForStop();
    links.clear();
    return ExitOk;
}
