/// Change tickets, and parsing and writing of their INI form.
///
/// Use: `const auto ticket = parseTicket(text, "12.ini");` then `applyTicket(configuration, *ticket)` (apply.h).
/// A ticket holds the complete new state of each object it names, and the version that this state is based on.
/// All errors are reported at once, one per line: source:line, field, what is allowed, nearest valid name.
#pragma once

#include "base/result.h"
#include "config/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace damask {

constexpr uint64_t MaxTicketNumber = 1'000'000'000'000; // above any counter or date used as a number
constexpr size_t   MaxCommentBytes = 160;
constexpr size_t   MaxTicketBytes = 512 * 1024;

/// The new state of one named object.
template<class T>
struct Change {
    T        next;           // complete; its version is set when the ticket is applied
    uint64_t basedOn = 0;    // version that it is based on; 0: the object is new
    bool     remove = false; // deletes the object
    int      line = 0;       // of its section, for error messages

    bool operator==(const Change &) const = default;
};

/// What an operator submits.
struct Ticket {
    uint64_t                        number = 0;                // never reused
    std::string                     operatorName;              // person responsible for it
    std::string                     comment;                   // reason for the change
    bool                            allowCapacityLoss = false; // may leave a service without capacity
    std::string                     source;                    // name of the file, for error messages
    std::vector<Change<Service>>    services;
    std::vector<Change<Pool>>       pools;
    std::vector<Change<Rule>>       rules;
    std::vector<Change<DataCentre>> dataCentres;
    std::vector<Change<Link>>       links;
    std::vector<Change<PeerKey>>    keys;

    bool operator==(const Ticket &) const = default;
};

/// Parses a ticket. BadTicket with all errors.
Result<Ticket> parseTicket(std::string_view text, std::string_view source);

/// Writes a ticket so that parseTicket() gives the same ticket again, except for source and line numbers.
std::string renderTicket(const Ticket &ticket);

/// A ticket that holds a whole configuration, based on its versions: a starting point for an operator's next ticket.
Ticket ticketFrom(const Configuration &configuration);

/// Equal for tickets that ask for the same, whatever the layout of their text.
uint64_t contentHash(const Ticket &ticket);

} // namespace damask
