/// What every program does first: command line, settings, logs, signals.
///
/// Use:
///     const auto program = startProgram(argc, argv, {.name = "damask-entry", .usage = Usage, .specs = Specs});
///     if (!program.settings) { return program.exitCode; }
///     ... start ...
///     waitForStop();
/// The usage text must offer --settings=FILE, --check, --print-settings, --version and
/// --help; it may offer [--set=PAIR]... for section.key=value, which goes before the file.
#pragma once

#include "base/log.h"
#include "settings/settings.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace damask {

/// Exit codes of all programs; docs/INTERFACE.md has the table.
enum ExitCode : int {
    ExitOk = 0,       // done, or stopped gracefully
    ExitFailed = 1,   // the operation was refused or failed; the message names the result code
    ExitUsage = 2,    // the command line is wrong
    ExitSettings = 3, // the settings are wrong
};

struct ProgramOptions {
    std::string_view             name;  // of the binary
    std::string_view             usage; // docopt text
    std::span<const SettingSpec> specs; // table of settings

    std::function<Result<void>(const Settings &)> check = {}; // of settings against each other; may be empty
    LogOutput                                     logs = LogOutput::StandardError;
};

struct ProgramStart {
    std::optional<Settings> settings; // empty: return exitCode from main
    int                     exitCode = ExitOk;
};

/// Parses and checks; answers --help, --version, --check and --print-settings; starts the logs and blocks
/// the stop signals in this thread and those it starts.
ProgramStart startProgram(int argc, char **argv, const ProgramOptions &options);

/// Waits for SIGTERM or SIGINT without spinning. With a reload hook, SIGHUP runs it; without, SIGHUP ends the process.
void waitForStop(const std::function<void()> &reload = {});

/// Reads the settings again that the command line named, as startProgram() did. The code and line of what is wrong.
Result<Settings> reloadSettings(int argc, char **argv, const ProgramOptions &options);

} // namespace damask
