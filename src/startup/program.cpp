#include "startup/program.h"

#include "base/allocator.h"
#include "base/log.h"
#include "settings/ini.h"

#include <csignal>
#include <cstdio>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <vector>

namespace damask {

namespace {

std::string optionText(const std::map<std::string, docopt::value> &arguments, std::string_view name)
{
    const auto it = arguments.find(std::string(name));
    return it != arguments.end() && it->second.isString() ? it->second.asString() : std::string();
}

bool optionFlag(const std::map<std::string, docopt::value> &arguments, std::string_view name)
{
    const auto it = arguments.find(std::string(name));
    return it != arguments.end() && it->second.isBool() && it->second.asBool();
}

Result<void> applyOverrides(const std::map<std::string, docopt::value> &arguments, Settings &settings)
{
    const auto it = arguments.find("--set");
    if (it == arguments.end() || !it->second.isStringList()) {
        return {};
    }
    for (const auto &pair : it->second.asStringList()) {
        const auto changed = settings.change(pair);
        if (!changed) {
            return changed;
        }
    }
    return {};
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

ProgramStart reportSettingsError(const ProgramOptions &options, const Error &error)
{
    std::cerr << options.name << ": " << codeName(error.code) << " (" << codeNumber(error.code) << ")\n"
              << error.detail << "\n";
    return {std::nullopt, ExitSettings};
}

using Arguments = std::map<std::string, docopt::value>;

/// Loads the settings file, applies the overrides of the command line and validates the result.
Result<Settings> readSettings(const Arguments &arguments, const ProgramOptions &options)
{
    std::string text;
    const std::string path = optionText(arguments, "--settings");
    if (!path.empty()) {
        auto read = readFile(path);
        if (!read) {
            return tl::make_unexpected(read.error());
        }
        text = std::move(*read);
    }
    auto settings = Settings::load(text, path.empty() ? "defaults" : path, options.specs);
    if (!settings) {
        return settings;
    }
    const auto changed = applyOverrides(arguments, *settings);
    if (!changed) {
        return tl::make_unexpected(changed.error());
    }
    const auto checked = options.check ? options.check(*settings) : Result<void>();
    if (!checked) {
        return tl::make_unexpected(checked.error());
    }
    return settings;
}

} // namespace

ProgramStart startProgram(int argc, char **argv, const ProgramOptions &options)
{
    const std::vector<std::string> args(argv + 1, argv + argc);
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(std::string(options.usage), args, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << options.usage;
        return {std::nullopt, ExitOk};
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << options.name << " " << DAMASK_VERSION << "\n";
        return {std::nullopt, ExitOk};
    } catch (const std::exception &ec) {
        std::cerr << ec.what() << "\n" << options.usage;
        return {std::nullopt, ExitUsage};
    }

    auto settings = readSettings(arguments, options);
    if (!settings) {
        return reportSettingsError(options, settings.error());
    }
    if (optionFlag(arguments, "--print-settings")) {
        std::cout << settings->print();
        return {std::nullopt, ExitOk};
    }
    if (optionFlag(arguments, "--check")) {
        std::cout << options.name << ": the settings are valid\n";
        return {std::nullopt, ExitOk};
    }
    if (options.allocatorArenas > 0) {
        limitAllocatorArenas(options.allocatorArenas);
    }
    startLogging(options.name, options.logs);
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return {std::move(*settings), ExitOk};
}

void waitForStop(const std::function<void()> &reload)
{
    const sigset_t signals = stopSignals();
    int received = 0;
    while (sigwait(&signals, &received) == 0 && received == SIGHUP && reload) {
        logEvent(Severity::Info, "reload-asked");
        reload();
    }
    logEvent(Severity::Info, "stop-asked", {{"signal", received}});
}

Result<Settings> reloadSettings(int argc, char **argv, const ProgramOptions &options)
{
    const std::vector<std::string> args(argv + 1, argv + argc);
    return readSettings(docopt::docopt_parse(std::string(options.usage), args, true, true), options);
}

} // namespace damask
