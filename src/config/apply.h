/// Applying a ticket to a configuration.
#pragma once

#include "base/result.h"
#include "config/model.h"
#include "config/ticket.h"

#include <string>
#include <vector>

namespace damask {

/// The configuration that the ticket asks for; its revision is one above. It is valid as a whole.
///
/// StaleTicket with a diff against what is there now, when the ticket was built on another version of something;
/// BadTicket with all problems, when the whole would not be valid. The version of a changed thing rises by one.
/// A new thing starts at the new revision, so that a name that comes back never repeats a version.
Result<Configuration> applyTicket(const Configuration &configuration, const Ticket &ticket);

/// True when two tickets name a thing in common.
bool ticketsOverlap(const Ticket &first, const Ticket &second);

/// Names of things that the ticket states as they are already: "pool p". Leaving them out makes no others stale.
std::vector<std::string> unchangedObjects(const Configuration &configuration, const Ticket &ticket);

/// The ticket that takes back what changed from before to after, built on the versions of after. Its head is empty.
Ticket inverseTicket(const Configuration &before, const Configuration &after);

/// The same ticket built on the versions of now; names of things that have changed since go to changedSince.
Ticket rebased(const Ticket &ticket, const Configuration &now, std::vector<std::string> &changedSince);

} // namespace damask
