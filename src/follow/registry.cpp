#include "follow/registry.h"

#include <algorithm>
#include <utility>

namespace damask {

namespace {

constexpr size_t MaxFormerWrites = 4096;    // last writes under ids without a target
constexpr size_t MassRemovalMinTargets = 3; // smaller services are never held for a mass removal
constexpr int OutageFailures = 2;           // calls in a row without an answer that prove an outage

} // namespace

std::string_view registryOutcomeName(RegistryOutcome outcome)
{
    switch (outcome) {
    case RegistryOutcome::Added:
        return "added";
    case RegistryOutcome::Changed:
        return "changed";
    case RegistryOutcome::Same:
        return "same";
    case RegistryOutcome::Stale:
        return "stale";
    case RegistryOutcome::Draining:
        return "draining";
    case RegistryOutcome::Held:
        return "held";
    case RegistryOutcome::Gone:
        return "gone";
    }
    return "gone";
}

Registry::Registry(const RegistryOptions &options, Report report)
    : m_options(options)
    , m_report(std::move(report))
{
}

void Registry::report(std::string_view id, RegistryOutcome outcome, std::string_view detail) const
{
    if (m_report) {
        m_report(id, outcome, detail);
    }
}

/// Why a write must be ignored; empty when it is the newest. The store's revision decides. A write that a process made
/// before it announced draining, and that the store accepted after it, must not put the process back into use: it is
/// told by the process's own count of its writes.
std::string_view Registry::staleReason(const RegisteredTarget &target) const
{
    const auto it = m_lastWrites.find(target.id);
    if (it == m_lastWrites.end()) {
        return {};
    }
    const LastWrite &last = it->second;
    if (target.revision < last.revision) {
        return "older than the last known write of this target";
    }
    const bool drained = last.drainingProcess != 0 && target.startedAt == last.drainingProcess;
    return drained && target.sequence < last.drainingSequence ? "written before its process began to drain" : "";
}

void Registry::put(const RegisteredTarget &target)
{
    if (const std::string_view reason = staleReason(target); !reason.empty()) {
        report(target.id, RegistryOutcome::Stale, reason);
        return;
    }
    LastWrite &last = m_lastWrites[target.id];
    last.revision = target.revision;
    if (target.draining) {
        last.drainingProcess = target.startedAt;
        last.drainingSequence = target.sequence;
    }
    const auto [it, inserted] = m_entries.try_emplace(target.id, Entry{target});
    Entry &entry = it->second;
    const bool wasHeld = std::exchange(entry.heldUntil, Never) != Never;
    entry.holdLimit = Never;
    RegisteredTarget before = std::exchange(entry.target, target);
    entry.massHeld = false;
    before.sequence = target.sequence;
    before.revision = target.revision;
    if (inserted) {
        report(target.id, target.draining ? RegistryOutcome::Draining : RegistryOutcome::Added);
    } else if (target.draining && !before.draining) {
        report(target.id, RegistryOutcome::Draining);
    } else {
        report(target.id, before == target && !wasHeld ? RegistryOutcome::Same : RegistryOutcome::Changed);
    }
}

bool Registry::mostAreRemoved(std::string_view service) const
{
    size_t all = 0;
    size_t held = 0;
    for (const auto &[id, it] : m_entries) {
        const bool counts = it.target.service == service && !it.target.draining;
        all += counts ? 1 : 0;
        held += counts && it.heldUntil != Never ? 1 : 0;
    }
    return all >= MassRemovalMinTargets && held * 2 > all;
}

/// Until when a removed entry may still be written again; `now` when the target is removed at once.
TimePoint Registry::holdUntil(const Entry &entry, TimePoint now) const
{
    if (entry.target.draining) {
        return now;
    }
    if (m_storeLost) {
        return now + m_options.lapseHold; // extended by storeRecovered()
    }
    return m_storeEverLost ? std::max(now, m_storeRecoveredAt + m_options.lapseHold) : now;
}

/// The latest end of a hold that begins now. One failed call proves no outage, so the entry may have been removed right
/// after the last answer. Several failures in a row prove one that lasted until the last of them.
TimePoint Registry::holdLimit() const
{
    if (m_verifiedAt == TimePoint()) {
        return Never;
    }
    const TimePoint known = m_verifiedAt + m_options.removalBound;
    return m_failures < OutageFailures ? known : std::max(known, m_lastFailureAt + m_options.outageBound);
}

void Registry::remove(std::string_view id, uint64_t revision, TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.heldUntil != Never || revision < it->second.target.revision) {
        return;
    }
    m_lastWrites[it->first].revision = revision;
    // A hold of zero length ends with the next expire(), so that removals that arrive together are judged together.
    it->second.holdLimit = std::max(holdLimit(), now);
    it->second.heldUntil = std::min(holdUntil(it->second, now), it->second.holdLimit);
    if (it->second.heldUntil > now) {
        report(id, RegistryOutcome::Held, "removed during or shortly after a store outage");
    }
}

void Registry::replace(std::span<const RegisteredTarget> targets, uint64_t revision, TimePoint now)
{
    for (const RegisteredTarget &it : targets) {
        put(it);
    }
    for (const auto &[id, entry] : m_entries) {
        const bool listed =
            std::any_of(targets.begin(), targets.end(), [&id = id](const RegisteredTarget &it) { return it.id == id; });
        if (!listed) {
            remove(id, revision, now);
        }
    }
}

void Registry::forgetRevisions()
{
    for (auto &[id, it] : m_entries) {
        it.target.revision = 0;
    }
    for (auto &[id, it] : m_lastWrites) {
        it.revision = 0;
    }
}

void Registry::storeLost(TimePoint now)
{
    m_storeLost = true;
    m_storeEverLost = true;
    ++m_failures;
    m_lastFailureAt = now;
}

void Registry::verified(TimePoint at)
{
    m_verifiedAt = std::max(m_verifiedAt, at);
    m_failures = 0;
}

void Registry::storeRecovered(TimePoint now)
{
    if (!std::exchange(m_storeLost, false)) {
        return;
    }
    m_storeRecoveredAt = now;
    for (auto &[id, it] : m_entries) {
        if (it.heldUntil != Never && !it.target.draining) {
            it.heldUntil = std::min(std::max(it.heldUntil, now + m_options.lapseHold), it.holdLimit);
        }
    }
}

bool Registry::expire(TimePoint now)
{
    bool changed = false;
    for (auto &[id, it] : m_entries) {
        const bool due = it.heldUntil <= now && it.holdLimit > now && !it.target.draining && !it.massHeld;
        if (due && mostAreRemoved(it.target.service)) {
            it.massHeld = true;
            it.heldUntil = std::min(now + m_options.massRemovalHold, it.holdLimit);
            report(id, RegistryOutcome::Held, "most targets of its service were removed at once");
        }
    }
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (it->second.heldUntil > now) {
            ++it;
            continue;
        }
        report(it->first, RegistryOutcome::Gone);
        it = m_entries.erase(it);
        changed = true;
    }
    while (m_lastWrites.size() > m_entries.size() + MaxFormerWrites) {
        forgetOldestFormerWrite();
    }
    return changed;
}

void Registry::forgetOldestFormerWrite()
{
    auto oldest = m_lastWrites.end();
    for (auto it = m_lastWrites.begin(); it != m_lastWrites.end(); ++it) {
        const bool older = oldest == m_lastWrites.end() || it->second.revision < oldest->second.revision;
        if (older && !m_entries.contains(it->first)) {
            oldest = it;
        }
    }
    m_lastWrites.erase(oldest);
}

TimePoint Registry::nextExpiry() const
{
    TimePoint out = Never;
    for (const auto &[id, it] : m_entries) {
        out = std::min(out, it.heldUntil);
    }
    return out;
}

std::vector<RegisteredTarget> Registry::targets() const
{
    std::vector<RegisteredTarget> out;
    out.reserve(m_entries.size());
    for (const auto &[id, it] : m_entries) {
        out.push_back(it.target);
    }
    return out;
}

} // namespace damask
