/// damaskctl: the operators' command-line tool.

#include "programs/damaskctl/commands.h"
#include "settings/ini.h"
#include "startup/program.h"

#include <chrono>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

using namespace damask;

constexpr size_t MaxInputBytes = 512UL * 1024 * 1024; // enough for large logs

static Result<std::string> readInput(std::string_view path)
{
    return readFile(path == "-" ? "/dev/stdin" : path, MaxInputBytes);
}

static int64_t wallClock()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> words(argv + 1, argv + argc);
    const auto line = parseCommandLine(words);
    if (!line) {
        std::cerr << "damaskctl: " << line.error().detail << "\n";
        return ExitUsage;
    }
    Clock clock;
    CommandHooks hooks;
    hooks.fetch = [&clock](const FetchRequest &ask) {
        return fetchOverHttp(clock, ask);
    };
    hooks.readFile = readInput;
    hooks.print = [](std::string_view text) {
        std::cout << text << std::flush;
    };
    hooks.printError = [](std::string_view text) {
        std::cerr << text << std::flush;
    };
    hooks.wallClock = wallClock;
    return runCommand(clock, *line, hooks);
}
