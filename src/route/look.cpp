#include "route/look.h"

#include <algorithm>
#include <utility>

namespace damask {

Look::Look(Clock &clock, const LookOptions &options, LookHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

size_t Look::before(const AcquireRequest &request)
{
    const TimePoint began = m_clock.now();
    size_t asked = 0;
    for (size_t round = 0; round < m_options.rounds && m_options.atOnce > 0; ++round) {
        const std::vector<Prospect> prospects = toAsk(request);
        if (prospects.empty() || (request.cancel != nullptr && request.cancel->cancelled())) {
            break;
        }
        const TimePoint now = m_clock.now();
        if (request.deadline != Never
            && request.deadline - now < (request.deadline - began) * m_options.leastShareLeft) {
            break;
        }
        const Duration patience =
            request.deadline == Never ? m_options.patience : std::min(m_options.patience, request.deadline - now);
        const std::vector<LoadNews> news = m_hooks.ask(prospects, patience);
        m_hooks.absorb(news);
        asked += prospects.size();
    }
    return asked;
}

/// None when the best is known well enough to be good; otherwise the best of which nothing fresh is known, and one that
/// is on trial.
std::vector<Prospect> Look::toAsk(const AcquireRequest &request) const
{
    const std::vector<Prospect> all = m_hooks.promising(request, m_options.atOnce * m_options.rounds);
    if (all.empty() || (!all.front().onTrial && all.front().good && all.front().reportAge <= m_options.fresh)) {
        return {};
    }
    std::vector<Prospect> out;
    for (const Prospect &it : all) {
        if (it.onTrial || (it.reportAge > m_options.fresh && out.size() < m_options.atOnce)) {
            out.push_back(it);
        }
    }
    return out;
}

} // namespace damask
