/// The keeper's side of the link to the entry beside it: hands on what is in force and hears what is applied.
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

/// What the status page shows of the entry.
struct EntryStatus {
    bool     connected = false;
    uint64_t incarnation = 0;
    uint64_t revision = 0; // effective revision that it has in force
    Duration silence{0};
};

/// Safe from all threads.
class EntryLink
{
public:
    EntryLink(Clock &clock, EntryLinkHooks hooks);

    void        offer(std::shared_ptr<const Configuration> configuration); // to the entry, now and when it comes back
    void        handleMessage(const WireSource &source, const Message &message); // EntryHello, OfferApplied
    void        sendUpdates(std::span<const LoadUpdate> updates);                // to the entry, when there is one
    uint64_t    offeredRevision() const;                                         // revision offered last; 0: none
    uint64_t    confirmedRevision() const;                                       // revision applied by the entry of now
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
