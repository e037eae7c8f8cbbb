#include "damask-target/model.h"

#include <algorithm>
#include <cmath>

namespace damask::standin {

namespace {

constexpr Duration HistoryKept = std::chrono::seconds(10); // load history, for lagging reports
constexpr double NoisyShare = 0.25;                        // share of time that a neighbour is noisy

double exponential(const RandomSource &random)
{
    return -std::log(1 - randomUnit(random));
}

} // namespace

TargetModel::TargetModel(const TargetOptions &options, RandomSource random, TimePoint now)
    : m_options(options)
    , m_random(std::move(random))
    , m_startedAt(now)
{
}

void TargetModel::arrive(PendingCall call, TimePoint now, std::vector<DueAnswer> &due)
{
    ++arrived;
    lastArrival = now;
    if (faults.failFast) {
        TargetAnswer failed = answerFor(false, now);
        failed.status = 500;
        due.push_back({std::move(call.answer), failed});
        return;
    }
    const bool full = m_waiting.size() >= static_cast<size_t>(m_options.queueLimit);
    if (faults.draining || full || randomUnit(m_random) < faults.shedShare) {
        ++refused;
        due.push_back({std::move(call.answer), answerFor(true, now)});
        return;
    }
    if (m_running.size() < static_cast<size_t>(m_options.slots)) {
        start(std::move(call), now);
    } else {
        m_waiting.push_back(std::move(call));
    }
}

bool TargetModel::cancel(uint64_t number)
{
    return std::erase_if(m_waiting, [number](const PendingCall &n) { return n.number == number; }) > 0;
}

void TargetModel::finishDue(TimePoint now, std::vector<DueAnswer> &due)
{
    if (faults.frozen) {
        return;
    }
    while (!m_running.empty() && m_running.begin()->first <= now) {
        auto node = m_running.extract(m_running.begin());
        due.push_back({std::move(node.mapped().answer), answerFor(false, now)});
        while (!m_waiting.empty() && m_running.size() < static_cast<size_t>(m_options.slots)) {
            PendingCall next = std::move(m_waiting.front());
            m_waiting.pop_front();
            if (next.deadline <= now) {
                ++refused;
                due.push_back({std::move(next.answer), answerFor(true, now)});
                continue;
            }
            start(std::move(next), now);
        }
    }
}

TimePoint TargetModel::nextDue() const
{
    return m_running.empty() || faults.frozen ? Never : m_running.begin()->first;
}

LoadReport TargetModel::report(TimePoint now)
{
    const int load = static_cast<int>(m_running.size() + m_waiting.size());
    m_history.emplace_back(now, load);
    while (m_history.size() > 1 && m_history.front().first < now - HistoryKept) {
        m_history.pop_front();
    }
    LoadReport out;
    out.slots = m_options.slots;
    out.draining = faults.draining && !faults.hideDrain;
    out.inFlight = m_history.front().second; // for times before the oldest sample
    for (const auto &[at, then] : m_history) {
        if (at <= now - faults.loadLag) {
            out.inFlight = then;
        }
    }
    if (faults.reportIdle) {
        out.inFlight = 0;
    }
    return out;
}

void TargetModel::setFaults(const TargetFaults &wanted, TimePoint now)
{
    faults = wanted;
    m_noiseUntil = now;
    m_noisy = false;
}

void TargetModel::start(PendingCall call, TimePoint now)
{
    ++runCounts[call.requestId];
    const TimePoint end = now + drawServiceTime(now);
    m_running.emplace(end, std::move(call));
}

TargetAnswer TargetModel::answerFor(bool wasRefused, TimePoint now)
{
    TargetAnswer out;
    out.status = wasRefused ? 503 : 200;
    out.refused = wasRefused;
    out.draining = faults.draining;
    out.truncate = faults.truncate && !wasRefused;
    out.close = faults.closeAfterRead && !wasRefused;
    out.load = report(now);
    return out;
}

Duration TargetModel::drawServiceTime(TimePoint now)
{
    const double share = 1 - m_options.spread + m_options.spread * exponential(m_random);
    double factor = faults.slowFactor * noiseNow(now);
    const Duration age = now - m_startedAt;
    if (age < m_options.coldStart) {
        const double left = 1 - toSeconds(age) / toSeconds(m_options.coldStart);
        factor *= 1 + (m_options.coldFactor - 1) * left;
    }
    return fromMilliseconds(toMilliseconds(m_options.serviceTime) * share * factor);
}

double TargetModel::noiseNow(TimePoint now)
{
    if (faults.noisePeriod <= Duration::zero()) {
        return 1;
    }
    while (m_noiseUntil <= now) {
        m_noisy = randomUnit(m_random) < NoisyShare;
        m_noiseUntil += std::max(Duration(std::chrono::microseconds(100)),
                                 fromMilliseconds(toMilliseconds(faults.noisePeriod) * exponential(m_random)));
    }
    return m_noisy ? faults.noiseFactor : 1;
}

} // namespace damask::standin
