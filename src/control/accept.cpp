#include "control/accept.h"

#include "control/effective_configuration.h"

#include <algorithm>

namespace damask {

namespace {

bool isPresumedDead(const InstanceView &instance, const AcceptOptions &options)
{
    return !instance.listed && !instance.leaseHeld && instance.lapsedFor >= options.listLag;
}

std::string waitingReason(const InstanceView &instance)
{
    if (instance.leaseHeld) {
        return "alive, but has not confirmed yet";
    }
    if (instance.listed) {
        return "in the instance list, but its lease has lapsed: it may be partitioned and still serve requests";
    }
    return "its lease lapsed recently; the instance list may not show it yet";
}

int64_t stagedAt(const ControlDocument &document)
{
    for (const TicketRecord &it : document.journal) {
        if (it.number == document.staged->number) {
            return it.submittedAt;
        }
    }
    return 0;
}

} // namespace

AcceptDecision decideAcceptance(const ControlDocument &document, std::span<const InstanceView> instances,
                                const AcceptOptions &options)
{
    AcceptDecision decision;
    if (!document.staged) {
        return decision;
    }
    decision.number = document.staged->number;
    const uint64_t needed = effectiveRevision(document);
    size_t confirmed = 0;
    for (const InstanceView &it : instances) {
        if (isPresumedDead(it, options)) {
            decision.passedOver.push_back(it.name);
        } else if (it.confirmedRevision >= needed) {
            ++confirmed;
        } else {
            decision.waiting.push_back({it.name, waitingReason(it), it.confirmedRevision, stagedAt(document)});
        }
    }
    std::sort(decision.waiting.begin(), decision.waiting.end(),
              [](const WaitingInstance &a, const WaitingInstance &b) { return a.name < b.name; });
    decision.accept = confirmed > 0 && decision.waiting.empty();
    return decision;
}

} // namespace damask
