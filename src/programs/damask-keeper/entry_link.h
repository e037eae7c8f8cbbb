/// The keeper's side of the link to the entry on the same instance: sends it the configuration in force and receives
/// its confirmations.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "wire/node.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>

namespace damask {

struct EntryLinkHooks {
    std::function<void(const WireSource &, MessageBody)> send;
};

/// State of the entry for the status page.
struct EntryStatus {
    bool     connected = false;
    uint64_t incarnation = 0;
    uint64_t revision = 0; // effective revision that it has applied
    Duration silence{0};
};

/// Safe from all threads.
class EntryLink
{
public:
    EntryLink(Clock &clock, EntryLinkHooks hooks);

    void     offer(std::shared_ptr<const Configuration> configuration); // sent now, and again when the entry reconnects
    void     handleMessage(const WireSource &source, const Message &message); // EntryHello, OfferApplied
    void     sendUpdates(std::span<const LoadUpdate> updates);                // dropped when no entry is connected
    uint64_t offeredRevision() const;                                         // last offered revision; 0: none
    uint64_t confirmedRevision() const; // revision applied by the current entry process
    EntryStatus status() const;

private:
    void confirm(uint64_t revision);
    void sendOffer();

    Clock                               &m_clock;
    EntryLinkHooks                       m_hooks;
    mutable RankedMutex                  m_mutex{LockRank::Control};
    std::optional<WireSource>            m_entry;
    uint64_t                             m_incarnation = 0; // of the entry
    uint64_t                             m_offer = 0;
    uint64_t                             m_confirmed = 0;
    TimePoint                            m_heardAt;
    std::shared_ptr<const Configuration> m_configuration;
};

} // namespace damask
