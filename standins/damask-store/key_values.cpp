#include "damask-store/key_values.h"

#include <algorithm>

namespace damask::standin {

namespace {

constexpr size_t MaxEvents = 200; // retained for watches that start at an earlier revision

} // namespace

KeyValues::KeyValues(Clock &clock)
    : m_clock(clock)
    , m_changed(clock)
{
}

uint64_t KeyValues::revision() const
{
    LockGuard lock(m_mutex);
    return m_revision;
}

std::vector<KeyValue> KeyValues::range(std::string_view first, std::string_view end) const
{
    LockGuard lock(m_mutex);
    std::vector<KeyValue> out;
    for (auto it = m_keys.lower_bound(first); it != m_keys.end(); ++it) {
        const bool inside = end.empty() ? it->first == first : it->first < end || end == std::string_view("\0", 1);
        if (!inside) {
            break;
        }
        out.push_back(it->second);
    }
    return out;
}

Result<TxnOutcome> KeyValues::txn(std::span<const Compare> compares, std::span<const Put> puts)
{
    LockGuard lock(m_mutex);
    for (const Compare &it : compares) {
        const auto held = m_keys.find(it.key);
        const uint64_t modRevision = held == m_keys.end() ? 0 : held->second.modRevision;
        if (modRevision != it.modRevision) {
            return TxnOutcome{false, m_revision};
        }
    }
    const auto unknownLease = [this](const Put &put) {
        return put.lease != 0 && !m_leases.contains(put.lease);
    };
    if (std::any_of(puts.begin(), puts.end(), unknownLease)) {
        return fail(Code::NotFound, "requested lease not found");
    }
    if (!puts.empty()) {
        ++m_revision;
    }
    for (const Put &it : puts) {
        write(it, m_revision);
    }
    m_changed.notifyAll();
    return TxnOutcome{true, m_revision};
}

uint64_t KeyValues::remove(std::string_view key)
{
    LockGuard lock(m_mutex);
    if (!m_keys.contains(key)) {
        return 0;
    }
    ++m_revision;
    removeAt(key, m_revision);
    m_changed.notifyAll();
    return 1;
}

uint64_t KeyValues::grant(Duration timeToLive, uint64_t wantedId)
{
    LockGuard lock(m_mutex);
    const uint64_t id = wantedId != 0 ? wantedId : m_nextLease++;
    m_leases[id] = {timeToLive, m_clock.now() + timeToLive};
    m_changed.notifyAll();
    return id;
}

Result<Duration> KeyValues::keepAlive(uint64_t lease)
{
    LockGuard lock(m_mutex);
    const auto it = m_leases.find(lease);
    if (it == m_leases.end()) {
        return fail(Code::NotFound, "requested lease not found");
    }
    it->second.endsAt = m_clock.now() + it->second.timeToLive;
    return it->second.timeToLive;
}

Result<void> KeyValues::revoke(uint64_t lease)
{
    LockGuard lock(m_mutex);
    if (!m_leases.contains(lease)) {
        return fail(Code::NotFound, "requested lease not found");
    }
    dropLease(lease);
    return {};
}

Result<std::vector<KeyValue>> KeyValues::changes(std::string_view key, uint64_t from, TimePoint deadline)
{
    LockGuard lock(m_mutex);
    const uint64_t wakes = m_wakes;
    while (true) {
        if (from <= m_compacted) {
            return fail(Code::NotFound, "required revision has been compacted");
        }
        std::vector<KeyValue> out;
        for (const KeyValue &it : m_events) {
            if (it.modRevision >= from && it.key == key) {
                out.push_back(it);
            }
        }
        if (!out.empty() || m_wakes != wakes || m_clock.now() >= deadline) {
            return out;
        }
        m_changed.waitUntil(lock, deadline);
    }
}

void KeyValues::wakeAll()
{
    LockGuard lock(m_mutex);
    ++m_wakes;
    m_changed.notifyAll();
}

void KeyValues::expireLeases()
{
    LockGuard lock(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<uint64_t> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.endsAt <= now) {
            expired.push_back(id);
        }
    }
    for (const uint64_t it : expired) {
        dropLease(it);
    }
}

TimePoint KeyValues::nextExpiry() const
{
    LockGuard lock(m_mutex);
    TimePoint next = Never;
    for (const auto &[id, lease] : m_leases) {
        next = std::min(next, lease.endsAt);
    }
    return next;
}

void KeyValues::write(const Put &put, uint64_t revision)
{
    KeyValue &held = m_keys[put.key];
    if (held.version == 0) {
        held.key = put.key;
        held.createRevision = revision;
    }
    held.value = put.value;
    held.lease = put.lease;
    held.modRevision = revision;
    ++held.version;
    m_events.push_back(held);
    if (m_events.size() > MaxEvents) {
        m_compacted = m_events.front().modRevision;
        m_events.pop_front();
    }
}

void KeyValues::removeAt(std::string_view key, uint64_t revision)
{
    m_keys.erase(m_keys.find(key));
    KeyValue event;
    event.key = key;
    event.modRevision = revision;
    event.deleted = true;
    m_events.push_back(std::move(event));
}

void KeyValues::dropLease(uint64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, held] : m_keys) {
        if (held.lease == lease) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++m_revision;
    }
    for (const std::string &it : keys) {
        removeAt(it, m_revision);
    }
    m_changed.notifyAll();
}

} // namespace damask::standin
