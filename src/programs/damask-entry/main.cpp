/// damask-entry: accepts calls, chooses targets, forwards the calls and returns the answers.
#include "programs/damask-entry/entry.h"
#include "startup/program.h"

#include <iostream>

using namespace damask;

namespace {

constexpr std::string_view Usage = R"(damask-entry - serves callers on an entry instance.

Usage:
  damask-entry [--settings=FILE] [--set=PAIR]... [--check | --print-settings]
  damask-entry --help | --version

Options:
  --settings=FILE   INI file with the settings.
  --set=PAIR        One setting as section.key=value; overrides the file.
  --check           Check the settings and exit.
  --print-settings  Print every setting with unit, default and effective value, and exit.
  -h --help         Show this text.
  --version         Show the version.

Exit codes: 0 stopped gracefully, 1 a port cannot be bound, 2 invalid command line, 3 invalid settings.
)";

int printError(const Error &error)
{
    std::cerr << "damask-entry: " << codeName(error.code) << " (" << codeNumber(error.code) << ")\n"
              << error.detail << "\n";
    return ExitFailed;
}

} // namespace

int main(int argc, char **argv)
{
    const auto check = [](const Settings &settings) {
        return readEntryOptions(settings).map([](const EntryOptions &) {});
    };
    const auto program =
        startProgram(argc, argv, {.name = "damask-entry", .usage = Usage, .specs = entrySpecs(), .check = check});
    if (!program.settings) {
        return program.exitCode;
    }
    const auto options = readEntryOptions(*program.settings);
    Clock clock;
    Metrics metrics;
    Entry entry(clock, metrics, *options);
    const auto started = entry.start();
    if (!started) {
        return printError(started.error());
    }
    waitForStop();
    entry.stop();
    return ExitOk;
}
