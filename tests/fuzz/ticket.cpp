// Feeds arbitrary text to the ticket parser: it must be rejected with a line number, or survive a round trip and result
// in a valid configuration.

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
        DAMASK_ASSERT(!after.error().detail.empty(), "an error must state why the ticket is refused");
        return;
    }
    DAMASK_ASSERT(findProblems(*after).empty(), "an applied ticket must result in a valid configuration");
    DAMASK_ASSERT(after->revision == before.revision + 1, "each ticket must increment the revision");
    DAMASK_ASSERT(diff(*after, *after).empty(), "a configuration must not differ from itself");
    describeEffect(effectOf(before, *after));
    intersectConfigurations(before, *after);
    std::vector<std::string> changed;
    const Ticket inverse = rebased(inverseTicket(before, *after), *after, changed);
    const auto again = applyTicket(*after, inverse);
    DAMASK_ASSERT(changed.empty() && again.has_value(), "the inverse ticket must apply to the result of the ticket");
    DAMASK_ASSERT(diff(before, *again).empty(), "the inverse ticket must restore the configuration");
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const Configuration first = firstConfiguration();
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto ticket = parseTicket(text, "fuzz");
    if (!ticket) {
        DAMASK_ASSERT(ticket.error().detail.starts_with("fuzz:"), "each error must name source and line");
        return 0;
    }
    const std::string written = renderTicket(*ticket);
    const auto again = parseTicket(written, "fuzz");
    DAMASK_ASSERT(again.has_value(), "a rendered ticket must be readable");
    DAMASK_ASSERT(renderTicket(*again) == written, "a rendered ticket must read back unchanged");
    applyTo({}, *ticket);
    applyTo(first, *ticket);
    return 0;
}
