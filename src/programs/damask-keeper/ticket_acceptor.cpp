#include "ticket_acceptor.h"

#include "base/log.h"

#include <algorithm>

namespace damask {

namespace {

constexpr Duration RetryInterval = std::chrono::seconds(1); // between attempts to accept

int64_t wallClock()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

TicketAcceptor::TicketAcceptor(Clock &clock, Metrics &metrics, const KeeperOptions &options, MemberTable &members,
                               DocumentHolder &documents, StoreSync &store)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_options(options)
    , m_members(members)
    , m_documents(documents)
    , m_store(store)
    , m_ticketController(metrics, store.fencedDocuments(),
                         {.wallClock = wallClock,
                          .instances =
                              [&members] {
                                  return members.instanceViews();
                              }},
                         {.accept = options.accept})
{
}

AcceptDecision TicketAcceptor::decision() const
{
    const auto held = m_documents.current();
    if (!held) {
        return {};
    }
    return decideAcceptance(held->versioned.document, m_members.instanceViews(), m_options.accept);
}

void TicketAcceptor::tick(std::span<const MemberView> members, bool onDuty)
{
    const AcceptDecision current = decision();
    if (!onDuty || !current.accept) {
        m_completeNumber = 0;
        return;
    }
    const TimePoint now = m_clock.now();
    if (current.number != m_completeNumber) {
        m_completeNumber = current.number;
        m_completeSince = now;
    }
    const auto watchers = allWatchers(members, m_options.duty);
    const auto rank = std::find(watchers.begin(), watchers.end(), m_options.self.name) - watchers.begin();
    if (now < m_completeSince + rank * m_options.acceptStagger || now < m_retryAt || m_busy.exchange(true)) {
        return;
    }
    m_retryAt = now + RetryInterval;
    m_store.submit([this, number = current.number] {
        accept(number);
        m_busy = false;
    });
}

void TicketAcceptor::accept(uint64_t number)
{
    m_store.readRecords(); // after staging: includes every instance that may have read the document before it
    const AcceptDecision recheck = decision();
    if (!recheck.accept || recheck.number != number) {
        return;
    }
    const auto accepted = m_ticketController.accept(number);
    if (!accepted) {
        m_metrics.countCode("damask_keeper_accept_failures_total", accepted.error().code);
        logEvent(
            Severity::Warning, "accept-failed",
            {{"ticket", number}, {"code", codeNumber(accepted.error().code)}, {"reason", accepted.error().detail}});
    } else {
        logEvent(Severity::Info, "ticket-accepted", {{"ticket", number}, {"revision", accepted->revision}});
    }
    m_store.refresh();
}

} // namespace damask
