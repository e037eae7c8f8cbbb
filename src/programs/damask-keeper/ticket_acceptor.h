/// Accepts a staged ticket once every instance that is not gone has confirmed it.
///
/// Every keeper on duty may do it, the lowest-ranked one first; two at once do no harm, for the document changes by
/// compare-and-swap. The duty lease is checked right before the write, and the write fails when its key is gone.
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
    AcceptDecision decision() const; // for the staged ticket, as it looks now

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
    uint64_t          m_completeNumber = 0; // that is complete; ticking thread alone
    TimePoint         m_completeSince;      // ticking thread alone
    TimePoint         m_retryAt;            // ticking thread alone
};

} // namespace damask
