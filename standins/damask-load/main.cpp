/// damask-load: open-loop load generator that checks each response and compares it with the targets' ledgers.
#include "base/log.h"
#include "damask-load/runner.h"
#include "settings/settings.h"
#include "startup/program.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>

using namespace damask;
using namespace damask::standin;

namespace {

constexpr std::string_view Usage = R"(damask-load: generates load and checks the results.

Usage:
  damask-load [--settings=FILE] [--set=PAIR]... [--check | --print-settings]
  damask-load --help | --version

Options:
  --settings=FILE   INI file with the settings.
  --set=PAIR        One setting as section.key=value; overrides the file.
  --check           Check the settings and exit.
  --print-settings  Print every setting with unit, default and effective value, and exit.

Exits with 1 if a call was lost, duplicated, run although reported as not run, unanswered, or answered with
the response of another call.
)";

constexpr auto Specs = std::to_array<SettingSpec>({
    {"load", "entries", SettingType::List, "127.0.0.1:8080", "IP:PORT of each entry."},
    {"load", "straight", SettingType::Flag, "no", "The entries are targets; responses carry no outcome."},
    {"load", "rate", SettingType::Fraction, "100", "Mean rate, in calls per second.", 0.1, 1e6},
    {"load", "length", SettingType::Interval, "5 s", "Length of the run.", 10, 3600000},
    {"load", "deadline", SettingType::Interval, "2 s", "Deadline of each call; 0 ms: none sent.", 0, 600000},
    {"load", "workers", SettingType::Number, "64", "Maximum calls in flight.", 1, 2000},
    {"load", "seed", SettingType::Number, "1", "Random seed of arrivals and mix.", 0, 1e15},
    {"load", "burst-factor", SettingType::Fraction, "1", "Burst rate, as a multiple of the mean.", 1, 10},
    {"load", "burst-period", SettingType::Interval, "0 ms", "Bursts fill the first tenth of each; 0: none.", 0, 1e6},
    {"load", "run-name", SettingType::Text, "run", "Prefix of request ids; unique for each run on one bench."},
    {"calls", "one", SettingType::Text, "GET - / 1", "METHOD HOST PATH WEIGHT [chain=N] [body=N]; host -: none."},
    {"calls", "two", SettingType::Text, "", "A second kind of call."},
    {"calls", "three", SettingType::Text, "", "A third kind of call."},
    {"calls", "four", SettingType::Text, "", "A fourth kind of call."},
    {"ledger", "targets", SettingType::List, "", "IP:PORT of the control port of each damask-target."},
    {"report", "json", SettingType::Flag, "no", "Print one JSON object instead of the table."},
    {"report", "progress", SettingType::Flag, "no", "Print a line on stderr each second."},
});

Result<std::vector<Endpoint>> readEndpoints(std::span<const std::string> words)
{
    std::vector<Endpoint> out;
    for (const std::string &it : words) {
        const size_t colon = it.find(':');
        const auto port = parseNumber(colon == std::string::npos ? "" : it.substr(colon + 1));
        if (!port || *port < 1 || *port > 65535) {
            return fail(Code::BadSettings, it + ": must be IP:PORT");
        }
        out.push_back({it.substr(0, colon), static_cast<int>(*port)});
    }
    return out;
}

Result<PlanOptions> readPlan(const Settings &settings)
{
    PlanOptions out;
    out.callsPerSecond = settings.fraction("load", "rate");
    out.burstFactor = settings.fraction("load", "burst-factor");
    out.burstPeriod = settings.interval("load", "burst-period");
    out.seed = static_cast<uint64_t>(settings.number("load", "seed"));
    for (const std::string_view key : {"one", "two", "three", "four"}) {
        const std::string_view text = settings.text("calls", key);
        if (text.empty()) {
            continue;
        }
        auto kind = parseCallKind(text);
        if (!kind) {
            return fail(kind.error().code, "[calls] " + std::string(key) + ": " + kind.error().detail);
        }
        out.kinds.push_back(std::move(*kind));
    }
    return out;
}

Result<RunnerOptions> readRunner(const Settings &settings)
{
    RunnerOptions out;
    auto entries = readEndpoints(settings.list("load", "entries"));
    if (!entries || entries->empty()) {
        return fail(Code::BadSettings,
                    "[load] entries: " + (entries ? "at least one is required" : entries.error().detail));
    }
    out.entries = std::move(*entries);
    out.length = settings.interval("load", "length");
    out.deadline = settings.interval("load", "deadline");
    out.workers = static_cast<size_t>(settings.number("load", "workers"));
    out.runName = settings.text("load", "run-name");
    out.direct = settings.flag("load", "straight");
    return out;
}

int refuse(const Error &error)
{
    std::cerr << "damask-load: " << error.detail << "\n";
    return ExitSettings;
}

bool clean(const Violations &violations)
{
    return violations.lost + violations.duplicated + violations.notRunButRan + violations.wrongAnswer
               + violations.unanswered
           == 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto program = startProgram(argc, argv, {.name = "damask-load", .usage = Usage, .specs = Specs});
    if (!program.settings) {
        return program.exitCode;
    }
    const Settings &settings = *program.settings;
    const auto plan = readPlan(settings);
    const auto runner = readRunner(settings);
    const auto ledgers = readEndpoints(settings.list("ledger", "targets"));
    if (!plan || !runner || !ledgers) {
        return refuse(!plan ? plan.error() : !runner ? runner.error() : ledgers.error());
    }
    Clock clock;
    const TimePoint startedAt = clock.now();
    const bool progress = settings.flag("report", "progress");
    const std::vector<CallRecord> records = runLoad(clock, *runner, *plan, [&](uint64_t sent) {
        if (progress) {
            std::fprintf(stderr, "%.0f s, %llu calls sent\n", toSeconds(clock.now() - startedAt),
                         static_cast<unsigned long long>(sent));
        }
    });
    const Duration took = clock.now() - startedAt;
    RunSummary summary = summarise(records);
    Ledger ledger;
    for (const Endpoint &it : *ledgers) {
        readLedger(fetchText(it, "/ledger"), ledger);
    }
    if (!ledgers->empty()) {
        summary.violations = findViolations(records, ledger);
    }
    std::cout << (settings.flag("report", "json") ? summaryJson(summary, took) + "\n" : summaryTable(summary, took));
    return clean(summary.violations) ? ExitOk : ExitFailed;
}
