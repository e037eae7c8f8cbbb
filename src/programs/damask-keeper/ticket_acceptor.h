/// Accepts a staged ticket once every instance that is not gone has confirmed it.
///
/// Every keeper on duty may do so, the lowest-ranked one first. Two at once are harmless, because the document changes
/// by compare-and-swap. The duty lease is checked right before the write, and the write fails when the lease's key no
/// longer exists.
#pragma once

#include "document_holder.h"
#include "keeper.h"
#include "member_table.h"
#include "store_sync.h"

#include <atomic>
#include <span>

namespace damask {

class TicketAcceptor
{
public:
    TicketAcceptor(Clock &clock, Metrics &metrics, const KeeperOptions &options, MemberTable &members,
                   DocumentHolder &documents, StoreSync &store);

    void           tick(std::span<const MemberView> members, bool onDuty);
    AcceptDecision decision() const; // on the staged ticket, from the current state

private:
    void accept(uint64_t number);

    Clock            &m_clock;
    Metrics          &m_metrics;
    KeeperOptions     m_options;
    MemberTable      &m_members;
    DocumentHolder   &m_documents;
    StoreSync        &m_store;
    TicketController  m_ticketController;
    std::atomic<bool> m_busy{false};
    uint64_t          m_completeNumber = 0; // of the fully confirmed ticket; 0: none; ticking thread only
    TimePoint         m_completeSince;      // ticking thread only
    TimePoint         m_retryAt;            // ticking thread only
};

} // namespace damask
