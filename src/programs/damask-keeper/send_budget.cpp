#include "send_budget.h"

#include "base/check.h"

namespace damask {

namespace {

constexpr double Rounding = 1; // bytes: the buckets count in fractions

std::string_view kindName(SendKind kind)
{
    return kind == SendKind::News ? "news" : "control";
}

} // namespace

SendBudget::SendBudget(Clock &clock, Metrics &metrics, const SendBudgetOptions &options)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_startedAt(clock.now())
    , m_shares{Share{{options.controlBytesPerSecond, options.controlBurst},
                     TokenBucket({options.controlBytesPerSecond, options.controlBurst}, clock.now())},
               Share{{options.newsBytesPerSecond, options.newsBurst},
                     TokenBucket({options.newsBytesPerSecond, options.newsBurst}, clock.now())}}
{
}

Result<void> SendBudget::take(SendKind kind, size_t bytes)
{
    LockGuard lock(m_mutex);
    Share &share = shareOf(kind);
    const TimePoint now = m_clock.now();
    if (!share.bucket.take(static_cast<double>(bytes), now)) {
        m_metrics.count("damask_keeper_over_budget_total", {{"kind", kindName(kind)}});
        return fail(Code::OverBudget, kindName(kind));
    }
    share.taken += static_cast<double>(bytes);
    const double allowed = share.options.burst + share.options.perSecond * toSeconds(now - m_startedAt);
    DAMASK_ASSERT(share.taken <= allowed + Rounding, "send to other keepers only what the budget gave");
    m_metrics.counter("damask_keeper_sent_bytes_total", {{"kind", kindName(kind)}})
        .Increment(static_cast<double>(bytes));
    return {};
}

double SendBudget::left(SendKind kind)
{
    LockGuard lock(m_mutex);
    return shareOf(kind).bucket.level(m_clock.now());
}

SendBudget::Share &SendBudget::shareOf(SendKind kind)
{
    return m_shares[static_cast<size_t>(kind)];
}

} // namespace damask
