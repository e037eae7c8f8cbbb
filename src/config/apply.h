/// Applies tickets to a configuration.
#pragma once

#include "base/result.h"
#include "config/model.h"
#include "config/ticket.h"

#include <string>
#include <vector>

namespace damask {

/// The configuration that the ticket asks for, validated as a whole. Its revision is one above the given one.
///
/// StaleTicket with a diff against the current state, when the ticket is based on another version of an object;
/// BadTicket with all problems, when the resulting configuration would be invalid. The version of a changed object
/// rises by one. A new object starts at the new revision, so that a name that is removed and added again never repeats
/// a version.
Result<Configuration> applyTicket(const Configuration &configuration, const Ticket &ticket);

/// True when both tickets name at least one common object.
bool ticketsOverlap(const Ticket &first, const Ticket &second);

/// Objects that the ticket states with their current value, as "pool p". Applying them still raises their versions and
/// so makes other tickets stale; leaving them out avoids that.
std::vector<std::string> unchangedObjects(const Configuration &configuration, const Ticket &ticket);

/// The ticket that undoes the changes from `before` to `after`, based on the versions in `after`. Its number, operator
/// and comment are left empty.
Ticket inverseTicket(const Configuration &before, const Configuration &after);

/// The same ticket based on the versions in `now`; the names of objects that have changed since go to `changedSince`.
Ticket rebased(const Ticket &ticket, const Configuration &now, std::vector<std::string> &changedSince);

} // namespace damask
