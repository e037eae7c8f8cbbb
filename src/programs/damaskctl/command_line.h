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

/// The command to run.
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
    Where,
    Explain,
    Codes,
};

struct CommandLine {
    Verb        verb = Verb::Help;
    std::string file;         // of a ticket or a log; "-": standard input
    uint64_t    number = 0;   // of a ticket
    std::string request;      // id of a request, for why and explain
    std::string service;      // name, for why
    std::string host;         // of a request, for where
    std::string path;         // the same
    std::string method;       // the same
    std::string account;      // name of a client account, for where; empty: none
    Endpoint    node;         // operators' port for where
    Endpoint    keeper;       // operators' port for tickets and status
    Endpoint    entry;        // operators' port for why
    std::string tokenFile;    // holds the operators' token; empty: none is sent
    bool        json = false; // print the answer as received
    Duration    wait{0};      // submit: longest wait for the ticket to end
};

/// The usage text, parsed by docopt.
std::string_view usageText();

/// BadUsage; its detail names the error and the next step.
Result<CommandLine> parseCommandLine(std::span<const std::string> words);

} // namespace damask
