#include "send_budget.h"

#include "base/check.h"

namespace damask {

namespace {

constexpr double RoundingBytes = 1; // the buckets count fractions of bytes

std::string_view className(TrafficClass trafficClass)
{
    return trafficClass == TrafficClass::LoadUpdates ? "news" : "control";
}

} // namespace

SendBudget::SendBudget(Clock &clock, Metrics &metrics, const SendBudgetOptions &options)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_startedAt(clock.now())
    , m_budgets{ClassBudget{{options.controlBytesPerSecond, options.controlBurst},
                            TokenBucket({options.controlBytesPerSecond, options.controlBurst}, clock.now())},
                ClassBudget{{options.updateBytesPerSecond, options.updateBurst},
                            TokenBucket({options.updateBytesPerSecond, options.updateBurst}, clock.now())}}
{
}

Result<void> SendBudget::take(TrafficClass trafficClass, size_t bytes)
{
    LockGuard lock(m_mutex);
    ClassBudget &budget = budgetOf(trafficClass);
    const TimePoint now = m_clock.now();
    if (!budget.bucket.take(static_cast<double>(bytes), now)) {
        m_metrics.count("damask_keeper_over_budget_total", {{"kind", className(trafficClass)}});
        return fail(Code::OverBudget, className(trafficClass));
    }
    budget.spent += static_cast<double>(bytes);
    const double allowed = budget.options.burst + budget.options.perSecond * toSeconds(now - m_startedAt);
    DAMASK_ASSERT(budget.spent <= allowed + RoundingBytes, "send to other keepers no more than the budget allows");
    m_metrics.counter("damask_keeper_sent_bytes_total", {{"kind", className(trafficClass)}})
        .Increment(static_cast<double>(bytes));
    return {};
}

double SendBudget::available(TrafficClass trafficClass)
{
    LockGuard lock(m_mutex);
    return budgetOf(trafficClass).bucket.level(m_clock.now());
}

SendBudget::ClassBudget &SendBudget::budgetOf(TrafficClass trafficClass)
{
    return m_budgets[static_cast<size_t>(trafficClass)];
}

} // namespace damask
