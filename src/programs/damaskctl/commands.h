/// Runs the commands of damaskctl.
#pragma once

#include "base/clock.h"
#include "programs/damaskctl/command_line.h"
#include "programs/damaskctl/http.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace damask {

/// Exit codes of damaskctl, in addition to those of all programs (startup/program.h).
constexpr int ExitNotReached = 4;     // no connection, or no answer to a query; nothing was changed
constexpr int ExitStillWaiting = 5;   // the ticket is staged and waits for instances to confirm
constexpr int ExitOutcomeUnknown = 6; // sent, but no answer arrived; sending it again is safe

/// Replaceable parts: the network, files, output and the wall clock.
struct CommandHooks {
    HttpFetch                                            fetch;
    std::function<Result<std::string>(std::string_view)> readFile;   // "-" is standard input
    std::function<void(std::string_view)>                print;      // to standard output
    std::function<void(std::string_view)>                printError; // to standard error
    std::function<int64_t()>                             wallClock;  // ms since 1970
    Duration pollInterval = std::chrono::milliseconds(500);          // between requests while a ticket waits
};

/// Runs the command and returns the exit code.
int runCommand(Clock &clock, const CommandLine &line, const CommandHooks &hooks);

} // namespace damask
