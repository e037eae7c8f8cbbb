/// Start-up code of all programs: command line, settings, logs and signals.
///
/// Use:
///     const auto program = startProgram(argc, argv, {.name = "damask-entry", .usage = Usage, .specs = Specs});
///     if (!program.settings) { return program.exitCode; }
///     ... start ...
///     waitForStop();
/// The usage text must offer --settings=FILE, --check, --print-settings, --version and
/// --help; it may offer [--set=PAIR]... for section.key=value, which overrides the file.
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
    ExitOk = 0,       // success, or a graceful stop
    ExitFailed = 1,   // the operation was refused or failed; the message names the result code
    ExitUsage = 2,    // invalid command line
    ExitSettings = 3, // invalid settings
};

struct ProgramOptions {
    std::string_view             name;  // of the binary
    std::string_view             usage; // docopt usage text
    std::span<const SettingSpec> specs; // table of settings

    std::function<Result<void>(const Settings &)> check = {}; // validates settings against each other; may be empty
    LogOutput                                     logs = LogOutput::StandardError;
    int                                           allocatorArenas = 0; // see base/allocator.h; 0: no limit
};

struct ProgramStart {
    std::optional<Settings> settings; // empty: return exitCode from main
    int                     exitCode = ExitOk;
};

/// Parses the command line, loads and checks the settings, and handles --help, --version, --check and
/// --print-settings. Then starts logging and blocks the stop signals in this thread and all threads started from it.
ProgramStart startProgram(int argc, char **argv, const ProgramOptions &options);

/// Blocks until SIGTERM or SIGINT. SIGHUP calls the reload hook; without a hook SIGHUP stops the program as well.
void waitForStop(const std::function<void()> &reload = {});

/// Loads the settings again from the same command line, as startProgram() does. An error has the code, source and line.
Result<Settings> reloadSettings(int argc, char **argv, const ProgramOptions &options);

} // namespace damask
