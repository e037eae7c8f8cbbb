#include "acceptor.h"

#include "base/log.h"

#include <algorithm>

namespace damask {

namespace {

constexpr Duration RetryGap = std::chrono::seconds(1); // between tries to accept

int64_t wallClock()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

Acceptor::Acceptor(Clock &clock, Metrics &metrics, const KeeperOptions &options, MemberTable &members,
                   DocumentHolder &documents, StoreSide &store)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_options(options)
    , m_members(members)
    , m_documents(documents)
    , m_store(store)
    , m_desk(metrics, store.fencedDocuments(),
             {.wallClock = wallClock,
              .instances =
                  [&members] {
                      return members.views();
                  }},
             {.accept = options.accept})
{
}

AcceptDecision Acceptor::decision() const
{
    const auto held = m_documents.current();
    if (!held) {
        return {};
    }
    return decideAcceptance(held->versioned.document, m_members.views(), m_options.accept);
}

void Acceptor::tick(std::span<const MemberView> members, bool onDuty)
{
    const AcceptDecision now = decision();
    if (!onDuty || !now.accept) {
        m_number = 0;
        return;
    }
    const TimePoint at = m_clock.now();
    if (now.number != m_number) {
        m_number = now.number;
        m_completeSince = at;
    }
    const auto watchers = allWatchers(members, m_options.duty);
    const auto rank = std::find(watchers.begin(), watchers.end(), m_options.self.name) - watchers.begin();
    if (at < m_completeSince + rank * m_options.acceptStep || at < m_tryAt || m_busy.exchange(true)) {
        return;
    }
    m_tryAt = at + RetryGap;
    m_store.submit([this, number = now.number] {
        accept(number);
        m_busy = false;
    });
}

void Acceptor::accept(uint64_t number)
{
    m_store.readRecords(); // after the ticket was staged: shows everyone who may have read the document before
    const AcceptDecision again = decision();
    if (!again.accept || again.number != number) {
        return;
    }
    const auto accepted = m_desk.accept(number);
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
