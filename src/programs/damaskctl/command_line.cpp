#include "programs/damaskctl/command_line.h"

#include "config/ticket.h"
#include "settings/address.h"
#include "settings/settings.h"

#include <array>
#include <docopt/docopt.h>
#include <map>
#include <vector>

namespace damask {

namespace {

constexpr std::string_view Usage = R"(damaskctl - submit change tickets to damaskflow and inspect its state.

Usage:
  damaskctl ticket submit FILE [options]
  damaskctl ticket check FILE [options]
  damaskctl ticket diff FILE [options]
  damaskctl ticket show NUMBER [options]
  damaskctl ticket list [options]
  damaskctl ticket withdraw NUMBER [options]
  damaskctl ticket revert-of NUMBER [options]
  damaskctl ticket export [options]
  damaskctl status [options]
  damaskctl why (--request=ID | --service=NAME) [options]
  damaskctl where HOST PATH [options]
  damaskctl explain ID FILE
  damaskctl codes
  damaskctl --help
  damaskctl --version

Options:
  --keeper=ADDR:PORT  Operators' port of any damask-keeper [default: 127.0.0.1:7000].
  --entry=ADDR:PORT   Operators' port of a damask-entry, for why [default: 127.0.0.1:7101].
  --node=ADDR:PORT    Operators' port of a damask-node, for where [default: 127.0.0.1:9464].
  --method=METHOD     Method of the request, for where [default: GET].
  --account=NAME      Client account of the request, for where.
  --token-file=FILE   File with the operators' token.
  --wait=INTERVAL     submit: wait at most this long for the ticket to end, as in 30s [default: 0s].
  --json              Print the answer as JSON.
  --request=ID        Id of a request, from the answer's header.
  --service=NAME      Name of a service.
  -h --help           Show this text.
  --version           Show the version.

where shows where a request would go now and why, without sending it.
explain prints what happened to the request ID according to a log of nodes or entries (FILE).
Otherwise FILE is an INI ticket; - reads standard input. Create one with `damaskctl ticket export`, test it with
`damaskctl ticket check FILE`, which changes nothing, then submit it.

Exit codes: 0 success, 1 refused or failed, 2 invalid command line, 3 unreadable file, 4 not reached,
5 staged and still waiting, 6 outcome unknown: check with `ticket show`, or submit the same ticket again.
)";

using Arguments = std::map<std::string, docopt::value>;

bool flagIn(const Arguments &arguments, std::string_view name)
{
    const auto it = arguments.find(std::string(name));
    return it != arguments.end() && it->second.isBool() && it->second.asBool();
}

std::string textIn(const Arguments &arguments, std::string_view name)
{
    const auto it = arguments.find(std::string(name));
    return it != arguments.end() && it->second.isString() ? it->second.asString() : std::string();
}

/// A word of the command line and its command.
struct VerbWord {
    std::string_view word;
    Verb verb;
};

constexpr auto VerbWords = std::to_array<VerbWord>({
    {"submit", Verb::Submit},
    {"check", Verb::Check},
    {"diff", Verb::Diff},
    {"show", Verb::Show},
    {"list", Verb::List},
    {"withdraw", Verb::Withdraw},
    {"revert-of", Verb::RevertOf},
    {"export", Verb::Export},
    {"status", Verb::Status},
    {"why", Verb::Why},
    {"where", Verb::Where},
    {"explain", Verb::Explain},
    {"codes", Verb::Codes},
});

Verb verbIn(const Arguments &arguments)
{
    for (const VerbWord &it : VerbWords) {
        if (flagIn(arguments, it.word)) {
            return it.verb;
        }
    }
    return Verb::Help;
}

Result<Endpoint> readEndpoint(std::string_view option, std::string_view text)
{
    return parseEndpoint(text).map_error([&](const Error &ec) {
        return Error{Code::BadUsage, std::string(option) + ": " + ec.detail};
    });
}

Result<void> readOptions(CommandLine &line, const Arguments &arguments)
{
    const auto keeper = readEndpoint("--keeper", textIn(arguments, "--keeper"));
    const auto entry = readEndpoint("--entry", textIn(arguments, "--entry"));
    const auto node = readEndpoint("--node", textIn(arguments, "--node"));
    const auto wait = parseInterval(textIn(arguments, "--wait"));
    if (!keeper || !entry) {
        return tl::make_unexpected(keeper ? entry.error() : keeper.error());
    }
    if (!node) {
        return tl::make_unexpected(node.error());
    }
    if (!wait) {
        return fail(Code::BadUsage, "--wait: " + wait.error().detail);
    }
    line.keeper = *keeper;
    line.entry = *entry;
    line.node = *node;
    line.wait = *wait;
    line.method = textIn(arguments, "--method");
    line.account = textIn(arguments, "--account");
    line.tokenFile = textIn(arguments, "--token-file");
    line.json = flagIn(arguments, "--json");
    return {};
}

Result<void> readNumber(CommandLine &line, std::string_view text)
{
    const auto number = parseNumber(text);
    if (!number || *number < 1 || static_cast<uint64_t>(*number) > MaxTicketNumber) {
        return fail(Code::BadUsage, "NUMBER = " + std::string(text)
                                        + ": needs the number of a ticket; "
                                          "`damaskctl ticket list` shows them");
    }
    line.number = static_cast<uint64_t>(*number);
    return {};
}

} // namespace

std::string_view usageText()
{
    return Usage;
}

Result<CommandLine> parseCommandLine(std::span<const std::string> words)
{
    CommandLine line;
    Arguments arguments;
    try {
        arguments = docopt::docopt_parse(std::string(Usage), {words.begin(), words.end()}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        return line;
    } catch (const docopt::DocoptExitVersion &) {
        line.verb = Verb::Version;
        return line;
    } catch (const std::exception &ec) {
        return fail(Code::BadUsage, std::string(ec.what()) + "; `damaskctl --help` shows all commands");
    }
    line.verb = verbIn(arguments);
    line.file = textIn(arguments, "FILE");
    line.request = textIn(arguments, line.verb == Verb::Explain ? "ID" : "--request");
    line.service = textIn(arguments, "--service");
    line.host = textIn(arguments, "HOST");
    line.path = textIn(arguments, "PATH");
    const auto options = readOptions(line, arguments);
    if (!options) {
        return tl::make_unexpected(options.error());
    }
    const std::string number = textIn(arguments, "NUMBER");
    const auto read = number.empty() ? Result<void>() : readNumber(line, number);
    if (!read) {
        return tl::make_unexpected(read.error());
    }
    return line;
}

} // namespace damask
