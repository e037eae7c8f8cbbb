#include "control/effective_configuration.h"

#include "base/check.h"
#include "config/intersect.h"

#include <algorithm>
#include <set>

namespace damask {

uint64_t effectiveRevision(const ControlDocument &document)
{
    return 2 * document.accepted.revision + (document.staged ? 1 : 0);
}

Configuration effectiveConfiguration(const ControlDocument &document)
{
    Configuration configuration =
        document.staged ? intersectConfigurations(document.accepted, document.staged->next) : document.accepted;
    configuration.revision = effectiveRevision(document);
    DAMASK_ASSERT(configuration.revision / 2 == document.accepted.revision,
                  "an effective revision belongs to one accepted revision; see effective_configuration.h");
    return configuration;
}

Result<void> checkNotOlder(uint64_t inForce, const ControlDocument &document)
{
    const uint64_t offered = effectiveRevision(document);
    if (offered < inForce) {
        return fail(Code::OlderRevision, "effective revision " + std::to_string(offered) + " was offered, but "
                                             + std::to_string(inForce)
                                             + " is active; the store may have been restored to an older state");
    }
    return {};
}

Result<void> checkDocument(const ControlDocument &document)
{
    std::set<uint64_t> numbers;
    size_t staged = 0;
    for (const TicketRecord &it : document.journal) {
        if (!numbers.insert(it.number).second) {
            return fail(Code::BadConfiguration,
                        "ticket " + std::to_string(it.number) + " appears twice in the journal");
        }
        staged += it.state == TicketState::Staged ? 1 : 0;
        const bool isStaged = document.staged && document.staged->number == it.number;
        if ((it.state == TicketState::Staged) != isStaged) {
            return fail(Code::BadConfiguration,
                        "journal and staged ticket disagree on ticket " + std::to_string(it.number));
        }
    }
    if (staged != (document.staged ? 1U : 0U)) {
        return fail(Code::BadConfiguration, "the staged ticket is not in the journal");
    }
    if (document.staged && document.staged->next.revision != document.accepted.revision + 1) {
        return fail(Code::BadConfiguration, "the staged revision is not the accepted one plus one");
    }
    return {};
}

} // namespace damask
