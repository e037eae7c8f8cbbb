#include "tail/fake_target.h"

#include <algorithm>

namespace damask::bench {

namespace {

constexpr double SlowFactor = 0.1;       // speed of a slow target
constexpr double RefusingSpeed = 0.0001; // speed of a refusing target as the oracle sees it

} // namespace

FakeTarget::FakeTarget(const FakeTargetOptions &options)
    : m_options(options)
{
}

bool FakeTarget::arrive(uint64_t call, Duration work, TimePoint now)
{
    advance(now);
    const bool refuses = m_fault == Fault::FailFast || m_fault == Fault::Draining;
    if (refuses || m_queue.size() >= static_cast<size_t>(m_options.queueLimit)) {
        return false;
    }
    m_queue.push_back({call, toMilliseconds(work)});
    fill();
    recordSample(now);
    return true;
}

void FakeTarget::cancel(uint64_t call, TimePoint now)
{
    advance(now);
    const auto same = [call](const Job &n) {
        return n.call == call;
    };
    std::erase_if(m_running, same);
    std::erase_if(m_queue, same);
    fill();
    recordSample(now);
}

void FakeTarget::setSpeed(double speed, TimePoint now)
{
    advance(now);
    m_speed = speed;
}

void FakeTarget::setFault(Fault fault, TimePoint now)
{
    advance(now);
    m_fault = fault;
}

TimePoint FakeTarget::nextDone() const
{
    if (m_running.empty()) {
        return Never;
    }
    const auto shortest = std::min_element(m_running.begin(), m_running.end(),
                                           [](const Job &left, const Job &right) { return left.left < right.left; });
    return m_at + fromMilliseconds(std::max(0.0, shortest->left) / effectiveSpeed());
}

uint64_t FakeTarget::takeDone(TimePoint now)
{
    advance(now);
    const auto shortest = std::min_element(m_running.begin(), m_running.end(),
                                           [](const Job &left, const Job &right) { return left.left < right.left; });
    const uint64_t call = shortest->call;
    m_running.erase(shortest);
    fill();
    recordSample(now);
    return call;
}

LoadReport FakeTarget::report(TimePoint now)
{
    LoadReport report{inFlight(), m_options.slots, m_fault == Fault::Draining};
    if (m_options.reports == Reports::AlwaysIdle || m_fault == Fault::FailFast) {
        report.inFlight = 0;
    } else if (m_options.reports == Reports::AlwaysLoaded) {
        report.inFlight = 2 * m_options.slots;
    } else if (m_options.reports == Reports::Lagging) {
        while (m_history.size() > 1 && m_history[1].at <= now - m_options.lag) {
            m_history.pop_front();
        }
        report.inFlight = m_history.empty() ? 0 : m_history.front().inFlight;
    }
    return report;
}

int FakeTarget::inFlight() const
{
    return static_cast<int>(m_running.size() + m_queue.size());
}

double FakeTarget::speed() const
{
    const bool refuses = m_fault == Fault::FailFast || m_fault == Fault::Draining;
    return refuses ? RefusingSpeed : effectiveSpeed();
}

Fault FakeTarget::fault() const
{
    return m_fault;
}

void FakeTarget::advance(TimePoint now)
{
    const double done = toMilliseconds(now - m_at) * effectiveSpeed();
    for (Job &it : m_running) {
        it.left -= done;
    }
    m_at = now;
}

void FakeTarget::fill()
{
    while (!m_queue.empty() && m_running.size() < static_cast<size_t>(m_options.slots)) {
        m_running.push_back(m_queue.front());
        m_queue.pop_front();
    }
}

void FakeTarget::recordSample(TimePoint now)
{
    if (m_options.reports == Reports::Lagging) {
        m_history.push_back({now, inFlight()});
    }
}

double FakeTarget::effectiveSpeed() const
{
    return m_fault == Fault::Slow ? m_speed * SlowFactor : m_speed;
}

} // namespace damask::bench
