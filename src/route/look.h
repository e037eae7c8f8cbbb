/// Asking the targets that look best how they are, right before a call is sent.
///
/// A report that came with an earlier answer is stale by the time of the next call, and a call that may run once only
/// has no second chance. So the likeliest targets are asked together, for a moment, and what they say is absorbed
/// before one is chosen. Pure but for its hooks.
///
/// Use: `look.before(request); auto permit = balancer.acquire(request);`
#pragma once

#include "base/clock.h"
#include "route/balancer.h"

#include <functional>
#include <span>
#include <vector>

namespace damask {

struct LookOptions {
    size_t   atOnce = 2; // targets asked together; 0: none is ever asked
    size_t   rounds = 2; // times that others are asked when all of those asked are slow or full
    Duration patience = std::chrono::milliseconds(40); // for their answers, each time
    Duration fresh = std::chrono::milliseconds(30);    // age of a report that needs no asking
    double   leastShareLeft = 0.25;                    // of the call's time that must be left for another round
};

/// What varies: what is known, and how targets are asked.
struct LookHooks {
    std::function<std::vector<Prospect>(const AcquireRequest &request, size_t most)>             promising;
    std::function<std::vector<LoadNews>(std::span<const Prospect> prospects, Duration patience)> ask; // blocks
    std::function<void(std::span<const LoadNews> news)>                                          absorb;
};

/// Safe from all threads.
class Look
{
public:
    Look(Clock &clock, const LookOptions &options, LookHooks hooks);

    size_t before(const AcquireRequest &request); // targets asked

private:
    std::vector<Prospect> toAsk(const AcquireRequest &request) const;

    Clock      &m_clock;
    LookOptions m_options;
    LookHooks   m_hooks;
};

} // namespace damask
