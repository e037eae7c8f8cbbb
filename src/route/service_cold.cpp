// Cold targets of a ServiceTable: until when each is cold, and the tokens for those whose requests are limited.
#include "route/service_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace damask {

namespace {

constexpr size_t MaxTokenChecks = 24;   // hasColdToken() calls for one choice, as each takes a lock
constexpr size_t MaxWantsPerChoice = 4; // targets for which one choice asks for tokens

} // namespace

/// Whether the service has a cold phase. Without one a health check that says nothing of it must change nothing.
bool ServiceTable::tracksCold() const
{
    return m_service.coldStart > Duration(0) || m_service.coldRequestsPerSecond > 0;
}

/// Reports the change if the target becomes cold or warm by it.
void ServiceTable::setCold(TargetEntry &entry, TimePoint until, ColdReason reason, TimePoint now)
{
    const bool before = isCold(entry.cold, now);
    entry.cold.until = until;
    entry.cold.confirmed = reason == ColdReason::HealthCheck;
    m_coldUntil = std::max(m_coldUntil, until);
    const bool after = isCold(entry.cold, now);
    if (before != after && tracksCold() && m_hooks.coldChanged) {
        m_hooks.coldChanged({entry.address->name, after ? until - now : Duration(0), reason});
    }
}

/// Whether requests to some cold targets are limited now.
bool ServiceTable::limitsCold(TimePoint now) const
{
    return m_hooks.hasColdToken && m_hooks.takeColdToken && m_service.coldRequestsPerSecond > 0 && now < m_coldUntil;
}

bool ServiceTable::needsToken(const TargetEntry &entry, TimePoint now) const
{
    return limitsCold(now) && isCold(entry.cold, now);
}

ColdTarget ServiceTable::coldTarget(const TargetEntry &entry) const
{
    return {entry.address->name, entry.target.startedAt, m_service.coldRequestsPerSecond};
}

/// Whether the target can be compared in this choice: it needs no token, or there is one.
bool ServiceTable::passesColdLimit(TargetEntry &entry, size_t index, TimePoint now)
{
    if (!needsToken(entry, now)) {
        return true;
    }
    if (m_tokenChecks < MaxTokenChecks) {
        ++m_tokenChecks;
        if (m_hooks.hasColdToken(coldTarget(entry))) {
            return true;
        }
    }
    entry.lastSequence = m_sequence;
    m_withoutToken.push_back(index);
    return false;
}

/// Takes a token for one request to the target, if it needs one. False: there is none any more.
bool ServiceTable::takeToken(const TargetEntry &entry, TimePoint now)
{
    if (!needsToken(entry, now)) {
        return true;
    }
    const std::optional<TimePoint> expiresAt = m_hooks.takeColdToken(coldTarget(entry));
    ++(expiresAt ? m_coldCounts.granted : m_coldCounts.gone);
    m_tokenExpiresAt = expiresAt.value_or(Never);
    return expiresAt.has_value();
}

/// For how many targets this choice may ask for tokens. Where nothing else has room, few for each call that waits.
size_t ServiceTable::wantsLeft(bool nothingElseHasRoom, TimePoint now)
{
    if (!nothingElseHasRoom) {
        return MaxWantsPerChoice;
    }
    while (!m_wantedForCalls.empty() && now - m_wantedForCalls.front() >= ColdAnswerTime) {
        m_wantedForCalls.pop_front();
    }
    const size_t useful = std::max<size_t>(m_queue.size(), 1) * ColdTokensPerCall;
    return std::min(useful - std::min(useful, m_wantedForCalls.size()), MaxWantsPerChoice);
}

/// Asks for tokens of the targets that this choice left out: of this data centre first, and among those of equal
/// distance the one that was asked for the longest time ago. In a fixed order the first ones would be due again with
/// each call of an instance that sees few calls, and the others would get nothing for their whole cold time.
void ServiceTable::wantTokens(bool nothingElseHasRoom, TimePoint now)
{
    if (!m_hooks.wantColdToken) {
        return;
    }
    size_t left = wantsLeft(nothingElseHasRoom, now);
    const auto before = [this](size_t one, size_t other) {
        const TargetEntry &a = *m_targets[one];
        const TargetEntry &b = *m_targets[other];
        return std::tuple(a.linkDelay, a.cold.wantedAt, one) < std::tuple(b.linkDelay, b.cold.wantedAt, other);
    };
    std::sort(m_withoutToken.begin(), m_withoutToken.end(), before);
    for (auto it = m_withoutToken.begin(); it != m_withoutToken.end() && left > 0; ++it) {
        TargetEntry &entry = *m_targets[*it];
        const bool here = entry.target.dataCentre == m_options.dataCentre;
        if (wantsColdToken(entry.cold, here, nothingElseHasRoom, now)) {
            entry.cold.wantedAt = now;
            ++m_coldCounts.wanted;
            --left;
            if (nothingElseHasRoom) {
                m_wantedForCalls.push_back(now);
            }
            m_hooks.wantColdToken(coldTarget(entry));
        }
    }
}

/// Targets left out for lack of a token that no health check has confirmed to be cold, for a selection probe. After a
/// start of this instance all targets may count as cold by entries that are hours old.
void ServiceTable::appendUnconfirmedCold(TimePoint now, size_t limit, std::vector<TargetCandidate> &out) const
{
    for (const size_t it : m_withoutToken) {
        const TargetEntry &entry = *m_targets[it];
        if (out.size() < limit && !entry.cold.confirmed) {
            const bool reported = entry.load.lastReport() >= 0;
            out.push_back({entry.address, reported ? now - entry.load.reportedAt() : Duration::max(), 0, false, false});
        }
    }
}

ColdCounts ServiceTable::takeColdCounts()
{
    return std::exchange(m_coldCounts, {});
}

} // namespace damask
