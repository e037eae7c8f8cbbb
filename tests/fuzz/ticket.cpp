// Any text as a ticket: it is refused with a line, or it reads back the same and leaves a valid configuration.

#include "config/ticket.h"
#include "base/check.h"
#include "config/apply.h"
#include "config/diff.h"
#include "config/effect.h"
#include "config/intersect.h"
#include "config/validate.h"
#include "fakes/tickets.h"

#include <cstddef>
#include <cstdint>

using namespace damask;

static Configuration firstConfiguration()
{
    return *applyTicket({}, *parseTicket(fakes::firstTicket(), "first"));
}

static void applyTo(const Configuration &before, const Ticket &ticket)
{
    const auto after = applyTicket(before, ticket);
    if (!after) {
        DAMASK_ASSERT(!after.error().detail.empty(), "say why a ticket is refused");
        return;
    }
    DAMASK_ASSERT(findProblems(*after).empty(), "an applied ticket leaves a valid configuration");
    DAMASK_ASSERT(after->revision == before.revision + 1, "each ticket makes the next revision");
    DAMASK_ASSERT(diff(*after, *after).empty(), "nothing differs from itself");
    describeEffect(effectOf(before, *after));
    intersectConfigurations(before, *after);
    std::vector<std::string> changed;
    const Ticket back = rebased(inverseTicket(before, *after), *after, changed);
    const auto again = applyTicket(*after, back);
    DAMASK_ASSERT(changed.empty() && again.has_value(), "the ticket back applies to what the ticket made");
    DAMASK_ASSERT(diff(before, *again).empty(), "the ticket back restores the state");
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const Configuration first = firstConfiguration();
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto ticket = parseTicket(text, "fuzz");
    if (!ticket) {
        DAMASK_ASSERT(ticket.error().detail.starts_with("fuzz:"), "each error names source and line");
        return 0;
    }
    const std::string written = renderTicket(*ticket);
    const auto again = parseTicket(written, "fuzz");
    DAMASK_ASSERT(again.has_value(), "what is written can be read");
    DAMASK_ASSERT(renderTicket(*again) == written, "what is written reads back the same");
    applyTo({}, *ticket);
    applyTo(first, *ticket);
    return 0;
}
