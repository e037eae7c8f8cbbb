/// Change tickets: their INI form, read and written.
///
/// Use: `const auto ticket = parseTicket(text, "12.ini");` then `applyTicket(configuration, *ticket)` (apply.h).
/// A ticket holds the whole new state of each thing it names, and the version that this state was built on.
/// Errors come all at once, one a line: source:line, field, what is allowed, nearest valid name.
#pragma once

#include "base/result.h"
#include "config/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace damask {

constexpr uint64_t MaxTicketNumber = 1'000'000'000'000; // above any counter or date in use as a number
constexpr size_t   MaxCommentBytes = 160;
constexpr size_t   MaxTicketBytes = 512 * 1024;

/// The new state of one named thing.
template<class T>
struct Change {
    T        next;           // whole; its version is set when the ticket is applied
    uint64_t basedOn = 0;    // version it was built on; 0: the thing is new
    bool     remove = false; // takes the thing away
    int      line = 0;       // of its section, for errors

    bool operator==(const Change &) const = default;
};

/// What an operator submits.
struct Ticket {
    uint64_t                        number = 0;                // unique for ever
    std::string                     operatorName;              // who answers for it
    std::string                     comment;                   // why
    bool                            allowCapacityLoss = false; // may leave a service without capacity
    std::string                     source;                    // name of the file, for errors
    std::vector<Change<Service>>    services;
    std::vector<Change<Pool>>       pools;
    std::vector<Change<Rule>>       rules;
    std::vector<Change<DataCentre>> dataCentres;
    std::vector<Change<Link>>       links;
    std::vector<Change<PeerKey>>    keys;

    bool operator==(const Ticket &) const = default;
};

/// Reads a ticket. BadTicket with all errors.
Result<Ticket> parseTicket(std::string_view text, std::string_view source);

/// Writes a ticket so that parseTicket() reads the same again, apart from source and lines.
std::string renderTicket(const Ticket &ticket);

/// A ticket that holds all of a configuration, built on its versions: the start of an operator's next one.
Ticket ticketFrom(const Configuration &configuration);

/// The same for every ticket that asks for the same, however its text is laid out.
uint64_t contentHash(const Ticket &ticket);

} // namespace damask
