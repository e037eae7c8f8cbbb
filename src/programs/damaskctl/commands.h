/// What damaskctl does for each command.
#pragma once

#include "base/clock.h"
#include "programs/damaskctl/command_line.h"
#include "programs/damaskctl/http.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace damask {

/// Exit codes of damaskctl, on top of those of all programs (startup/program.h).
constexpr int ExitNotReached = 4;     // no keeper or entry answers there; nothing happened
constexpr int ExitStillWaiting = 5;   // the ticket is staged and waits for instances
constexpr int ExitOutcomeUnknown = 6; // it was sent and no answer came; sending the same again is safe

/// What varies: the network, files, what is printed, the wall clock.
struct CommandHooks {
    HttpFetch                                            fetch;
    std::function<Result<std::string>(std::string_view)> readFile;   // "-" is standard input
    std::function<void(std::string_view)>                print;      // to standard output
    std::function<void(std::string_view)>                printError; // to standard error
    std::function<int64_t()>                             wallClock;  // ms since 1970
    Duration pollInterval = std::chrono::milliseconds(500);          // between two asks while a ticket waits
};

/// Does it and returns the exit code.
int runCommand(Clock &clock, const CommandLine &line, const CommandHooks &hooks);

} // namespace damask
