/// The command line of damaskctl.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "settings/address.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace damask {

/// What an operator asks for.
enum class Verb {
    Help,
    Version,
    Submit,
    Check,
    Diff,
    Show,
    List,
    Withdraw,
    RevertOf,
    Export,
    Status,
    Why,
    Explain,
    Codes,
};

struct CommandLine {
    Verb        verb = Verb::Help;
    std::string file;         // of a ticket or a log; "-": standard input
    uint64_t    number = 0;   // of a ticket
    std::string request;      // id of a request, for why and explain
    std::string service;      // name, for why
    Endpoint    keeper;       // asked for tickets and status
    Endpoint    entry;        // asked for why
    std::string tokenFile;    // holds the operators' token; empty: none is sent
    bool        json = false; // print the answer as it came
    Duration    wait{0};      // submit: until the ticket has ended, at most
};

/// The docopt text.
std::string_view usageText();

/// BadUsage says what is wrong and how to go on.
Result<CommandLine> parseCommandLine(std::span<const std::string> words);

} // namespace damask
