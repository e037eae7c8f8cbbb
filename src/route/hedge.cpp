#include "route/hedge.h"

#include "base/check.h"
#include "base/scope.h"

#include <algorithm>
#include <utility>

namespace damask {

namespace {

constexpr double AdjustmentStep = 0.05; // relative change of the estimate per sample
constexpr double Quantile = 0.95;       // share of samples below the estimate
constexpr int FirstError = 500;         // from this HTTP status on, a response does not win

} // namespace

bool winsRace(const AttemptResult &result)
{
    return result.end == AttemptEnd::Answered && result.response.status < FirstError;
}

void HedgeDelay::addSample(Duration responseTime)
{
    const int64_t sample = std::max<int64_t>(responseTime.count(), 1);
    const int64_t current = m_estimate.load(std::memory_order_relaxed);
    const double factor = sample > current ? 1 + AdjustmentStep * Quantile : 1 - AdjustmentStep * (1 - Quantile);
    const int64_t next = current == 0 ? sample : static_cast<int64_t>(static_cast<double>(current) * factor) + 1;
    m_estimate.store(next, std::memory_order_relaxed); // a concurrent update may be lost; this costs one sample
}

Duration HedgeDelay::percentile95() const
{
    return Duration(m_estimate.load(std::memory_order_relaxed));
}

HedgeRace::HedgeRace(Clock &clock, const CallRequest &request, std::string_view firstTarget, Hedge hedge)
    : m_changed(clock)
    , m_hedge(std::move(hedge))
    , m_callRequest(&request)
    , m_firstTarget(firstTarget)
{
}

CancelToken &HedgeRace::firstToken()
{
    return m_firstToken;
}

void HedgeRace::cancelBoth()
{
    m_cancelledByCaller = true;
    m_firstToken.cancel();
    m_hedgeToken.cancel();
}

HedgeOutcome HedgeRace::close(bool wait, TimePoint until)
{
    HedgeOutcome out;
    bool running = false;
    {
        LockGuard lock(m_mutex);
        while (wait && m_started && !m_ended && m_changed.waitUntil(lock, until)) { }
        m_closed = true;
        running = m_started && !m_ended;
        out.started = m_started;
        out.ended = std::exchange(m_result, std::nullopt);
        out.denial = m_denial;
        out.postponed = m_waiting;
    }
    if (running) {
        m_hedgeToken.cancel();
    }
    return out;
}

void HedgeRace::run()
{
    m_hedge(*this);
}

void HedgeRace::withhold(HedgeDenial denial)
{
    LockGuard lock(m_mutex);
    m_denial = denial;
    m_waiting = false;
}

bool HedgeRace::postpone(TimePoint until, TimePoint latest)
{
    m_postponedUntil = m_postponedUntil.value_or(latest);
    if (until > *m_postponedUntil) {
        return false;
    }
    m_dueAgain = until;
    LockGuard lock(m_mutex);
    m_denial = HedgeDenial::Limit;
    m_waiting = true;
    return true;
}

bool HedgeRace::postponed() const
{
    return m_postponedUntil.has_value();
}

std::optional<TimePoint> HedgeRace::takeDueAgain()
{
    return std::exchange(m_dueAgain, std::nullopt);
}

bool HedgeRace::begin()
{
    LockGuard lock(m_mutex);
    if (m_closed) {
        return false;
    }
    m_denial = HedgeDenial::None;
    m_waiting = false;
    m_requestCopy = *m_callRequest;
    m_started = true;
    return true;
}

CancelToken &HedgeRace::hedgeToken()
{
    return m_hedgeToken;
}

const CallRequest &HedgeRace::request() const
{
    return m_requestCopy;
}

const std::string &HedgeRace::firstTarget() const
{
    return m_firstTarget;
}

bool HedgeRace::overtaken() const
{
    return m_hedgeToken.cancelled() && !m_cancelledByCaller;
}

bool HedgeRace::end(std::optional<HedgeResult> result)
{
    const bool won = result && winsRace(result->result);
    {
        LockGuard lock(m_mutex);
        DAMASK_ASSERT(m_started && !m_ended, "end() must be called once, after begin()");
        m_ended = true;
        if (m_closed) {
            return false;
        }
        m_result = std::move(result);
        m_changed.notifyAll();
    }
    if (won) {
        m_firstToken.cancel();
    }
    return true;
}

HedgeTimer::HedgeTimer(Clock &clock, Run run, NoThread noThread)
    : m_clock(clock)
    , m_run(std::move(run))
    , m_noThread(std::move(noThread))
    , m_changed(clock)
{
}

HedgeTimer::~HedgeTimer()
{
    close();
}

void HedgeTimer::close()
{
    LockGuard lock(m_mutex);
    m_closed = true;
    m_changed.notifyAll();
    while (m_running) {
        m_changed.wait(lock);
    }
}

bool HedgeTimer::schedule(TimePoint due, std::weak_ptr<HedgeRace> race)
{
    {
        LockGuard lock(m_mutex);
        if (m_closed) {
            return false;
        }
        m_pending.push_back({due, std::move(race)});
        std::push_heap(m_pending.begin(), m_pending.end(), later);
        if (m_running) {
            if (m_pending.front().due == due) {
                m_changed.notifyAll();
            }
            return true;
        }
        m_running = true;
    }
    return start();
}

bool HedgeTimer::later(const Entry &left, const Entry &right)
{
    return left.due > right.due;
}

bool HedgeTimer::start()
{
    // If the pool drops the task without running it, the guard is destroyed with the task and resets the timer. Without
    // it, the destructor would wait for a task that never runs.
    const auto unrun = std::make_shared<ScopeGuard>([this] { dropPending(); });
    return m_run([this, unrun] {
        unrun->dismiss();
        runDue();
    });
}

void HedgeTimer::runDue()
{
    for (auto race = waitForDue(); race; race = waitForDue()) {
        if (!m_run([this, race] { run(race); }) && m_noThread) {
            m_noThread(*race);
        }
    }
}

void HedgeTimer::run(const std::shared_ptr<HedgeRace> &race)
{
    race->run();
    const auto again = race->takeDueAgain();
    if (again && !schedule(*again, race) && m_noThread) {
        m_noThread(*race);
    }
}

void HedgeTimer::dropPending()
{
    LockGuard lock(m_mutex);
    m_pending.clear();
    m_running = false;
    m_changed.notifyAll();
}

std::shared_ptr<HedgeRace> HedgeTimer::waitForDue()
{
    LockGuard lock(m_mutex);
    while (!m_closed && !m_pending.empty()) {
        if (m_pending.front().race.expired()) {
            popFront();
        } else if (m_clock.now() < m_pending.front().due) {
            m_changed.waitUntil(lock, m_pending.front().due);
        } else if (auto race = popFront().race.lock()) {
            return race;
        }
    }
    m_running = false;
    m_changed.notifyAll();
    return nullptr;
}

HedgeTimer::Entry HedgeTimer::popFront()
{
    std::pop_heap(m_pending.begin(), m_pending.end(), later);
    Entry out = std::move(m_pending.back());
    m_pending.pop_back();
    return out;
}

} // namespace damask
