#include "quota/allowance_stock.h"

#include "base/check.h"
#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damask {

namespace {

constexpr double DemandMemory = 1;           // seconds over which the rate of a key is measured
constexpr double AheadShareOfLifetime = 0.5; // of the demand within a lifetime, fetched ahead; the rest may expire
constexpr uint32_t MaxWantedTokens = 100000; // of one key in one request
constexpr size_t EvictedShare = 8;           // one in this many keys is evicted at once, so that the scan is rare
constexpr double RoundTripWeight = 0.25;     // of a new measurement
constexpr Duration MinRetryAfter = std::chrono::milliseconds(1); // so that an answer never leads to a loop of requests

// A measured round trip loses half of its weight in this time, so that a grantor that was far or silent is tried again.
constexpr Duration RoundTripHalfLife = std::chrono::seconds(10);

} // namespace

std::string allowanceKey(std::string_view prefix, std::string_view name)
{
    const bool printable = std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~'; });
    std::string out(prefix);
    if (printable && prefix.size() + name.size() <= MaxAllowanceKeyBytes) {
        return out.append(name);
    }
    return out.append("#").append(std::to_string(hashBytes(name)));
}

AllowanceStock::AllowanceStock(const StockOptions &options)
    : m_options(options)
    , m_grantors(options.grantors)
    , m_number(options.firstNumber)
{
    DAMASK_ASSERT(options.grantors > 0 && options.maxKeys > 0, "pass at least one grantor and one key");
    DAMASK_ASSERT(!options.own || *options.own < options.grantors, "pass the index of a grantor");
}

bool AllowanceStock::has(std::string_view key, TimePoint now) const
{
    const Entry *entry = find(key);
    return entry != nullptr
           && std::any_of(entry->lots.begin(), entry->lots.end(), [now](const Lot &it) { return it.expiresAt > now; });
}

std::optional<TimePoint> AllowanceStock::take(std::string_view key, const AllowanceLimit &limit, TimePoint now)
{
    Entry *entry = entryOf(key, limit, now);
    if (entry == nullptr) {
        return std::nullopt;
    }
    noteDemand(*entry, now);
    const auto expiresAt = takeForWaiting(key, now);
    if (expiresAt) {
        enqueue(*entry, now);
    }
    return expiresAt;
}

std::optional<TimePoint> AllowanceStock::takeForWaiting(std::string_view key, TimePoint now)
{
    Entry *entry = find(key);
    if (entry == nullptr || held(*entry, now) == 0) {
        return std::nullopt;
    }
    Lot &first = entry->lots.front();
    const TimePoint out = first.expiresAt;
    if (--first.tokens == 0) {
        entry->lots.erase(entry->lots.begin());
    }
    return out;
}

void AllowanceStock::giveBack(std::string_view key, TimePoint expiresAt, TimePoint now)
{
    if (Entry *entry = find(key); entry != nullptr && expiresAt > now) {
        addTokens(*entry, 1, expiresAt);
    }
}

void AllowanceStock::want(std::string_view key, const AllowanceLimit &limit, TimePoint now)
{
    if (Entry *entry = entryOf(key, limit, now); entry != nullptr) {
        entry->wanted = true;
        enqueue(*entry, now);
    }
}

void AllowanceStock::startWait(std::string_view key, const AllowanceLimit &limit, TimePoint now)
{
    if (Entry *entry = entryOf(key, limit, now); entry != nullptr) {
        ++entry->waiting;
        enqueue(*entry, now);
    }
}

void AllowanceStock::endWait(std::string_view key)
{
    if (Entry *entry = find(key); entry != nullptr && entry->waiting > 0) {
        --entry->waiting;
    }
}

StockExpectation AllowanceStock::expectation(std::string_view key, TimePoint now)
{
    handleTimeouts(now);
    Entry *entry = find(key);
    if (entry == nullptr) { // all keys are in use
        return {StockOutlook::Unavailable, now + m_options.firstSilentFor};
    }
    enqueue(*entry, now);
    StockExpectation out{StockOutlook::Unavailable, Never};
    if (entry->queued) {
        for (const Grantor &it : m_grantors) {
            if (it.inFlight) {
                out.at = std::min(out.at, it.sentAt + m_options.patience);
            }
        }
        return {StockOutlook::Waiting, out.at == Never ? now : out.at};
    }
    for (size_t n = 0; n < m_grantors.size(); ++n) {
        const bool silent = m_grantors[n].silentUntil > now;
        const StockOutlook outlook = silent ? StockOutlook::Unavailable : StockOutlook::Empty;
        const TimePoint at = silent ? m_grantors[n].silentUntil : entry->reports[n].emptyUntil;
        if (outlook == out.outlook) {
            out.at = std::min(out.at, at);
        } else if (outlook == StockOutlook::Empty) {
            out = {outlook, at};
        }
    }
    const double servedSoon = 1 + entry->limit.perSecond * toSeconds(m_options.patience);
    if (out.outlook == StockOutlook::Empty && out.at <= now + m_options.patience
        && static_cast<double>(entry->waiting) <= servedSoon) {
        out.outlook = StockOutlook::Waiting; // a short wait costs the caller less than a rejection
        out.isEmpty = true;
    }
    return out;
}

std::vector<GrantorRequest> AllowanceStock::dueRequests(TimePoint now)
{
    handleTimeouts(now);
    std::vector<GrantorRequest> out;
    for (size_t n = 0; n < m_grantors.size(); ++n) {
        Grantor &grantor = m_grantors[n];
        if (grantor.inFlight || grantor.queued.empty()) {
            continue;
        }
        AllowanceRequest request = nextRequest(grantor, now);
        if (!request.wants.empty()) {
            out.push_back({n, std::move(request)});
        }
    }
    return out;
}

AllowanceRequest AllowanceStock::nextRequest(Grantor &grantor, TimePoint now)
{
    AllowanceRequest out;
    size_t read = 0;
    for (; read < grantor.queued.size() && out.wants.size() < MaxAllowanceWants; ++read) {
        Entry *entry = find(grantor.queued[read]);
        const uint32_t tokens = entry == nullptr ? 0 : needed(*entry, now);
        if (tokens > 0) {
            out.wants.push_back({entry->key, entry->limit, tokens});
        } else if (entry != nullptr) {
            entry->queued = false;
        }
    }
    grantor.queued.erase(grantor.queued.begin(), grantor.queued.begin() + static_cast<std::ptrdiff_t>(read));
    if (out.wants.empty()) {
        return out;
    }
    out.number = ++m_number;
    grantor.inFlight = true;
    grantor.answered = false;
    grantor.number = out.number;
    grantor.sentAt = now;
    grantor.wants = out.wants;
    ++m_counts.requests;
    return out;
}

/// An answer that comes after its timeout is used if the grantor has not been asked again: its tokens are still valid
/// until the end of their lifetime.
bool AllowanceStock::receive(const AllowanceGrant &grant, TimePoint now)
{
    const auto asked = std::find_if(m_grantors.begin(), m_grantors.end(),
                                    [&](const Grantor &it) { return !it.answered && it.number == grant.number; });
    if (asked == m_grantors.end()) {
        ++m_counts.unmatched;
        return false;
    }
    Grantor &grantor = *asked;
    const auto n = static_cast<size_t>(asked - m_grantors.begin());
    const Duration roundTrip = now - grantor.sentAt;
    grantor.roundTrip = grantor.measured ? std::chrono::duration_cast<Duration>(
                            grantor.roundTrip * (1 - RoundTripWeight) + roundTrip * RoundTripWeight)
                                         : roundTrip;
    grantor.measured = true;
    grantor.measuredAt = now;
    grantor.answered = true;
    grantor.silentUntil = {};
    grantor.silentFor = Duration(0);
    const bool awaited = std::exchange(grantor.inFlight, false);
    const std::vector<AllowanceWant> wants = std::exchange(grantor.wants, {});
    for (const AllowanceWant &it : wants) {
        if (Entry *entry = find(it.key); entry != nullptr && awaited) {
            entry->queued = false;
        }
    }
    for (size_t i = 0; i < wants.size(); ++i) { // the answer keeps the order of the request
        const bool granted = i < grant.shares.size() && grant.shares[i].key == wants[i].key;
        const AllowanceShare none{.key = wants[i].key, .tokens = 0, .retryAfter = m_options.silentFor, .usage = 0};
        receiveShare(n, granted ? grant.shares[i] : none, wants[i].tokens, now);
    }
    for (const AllowanceWant &it : wants) {
        if (Entry *entry = find(it.key); entry != nullptr) {
            enqueue(*entry, now);
        }
    }
    return true;
}

void AllowanceStock::receiveShare(size_t n, const AllowanceShare &share, uint32_t wanted, TimePoint now)
{
    Entry *entry = find(share.key);
    if (entry == nullptr) {
        return;
    }
    const uint32_t tokens = std::min(share.tokens, wanted);
    const TimePoint expiresAt = m_grantors[n].sentAt + lifetimeOf(share.key);
    m_counts.received += tokens;
    if (expiresAt > now) {
        addTokens(*entry, tokens, expiresAt);
    } else {
        m_counts.expired += tokens;
    }
    Report &report = entry->reports[n];
    report.usage = share.usage;
    report.usageAt = now;
    report.emptyUntil = tokens < wanted ? now + std::max(share.retryAfter, MinRetryAfter) : TimePoint{};
}

std::vector<size_t> AllowanceStock::takeSilent()
{
    return std::exchange(m_silent, {});
}

AllowanceStock::Entry *AllowanceStock::find(std::string_view key)
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second;
}

const AllowanceStock::Entry *AllowanceStock::find(std::string_view key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second;
}

/// Null: all keys are in use.
AllowanceStock::Entry *AllowanceStock::entryOf(std::string_view key, const AllowanceLimit &limit, TimePoint now)
{
    Entry *entry = find(key);
    if (entry == nullptr) {
        if (m_entries.size() >= m_options.maxKeys) {
            evict();
        }
        if (m_entries.size() >= m_options.maxKeys) {
            return nullptr;
        }
        entry = &m_entries[std::string(key)];
        entry->key = key;
        entry->limit = limit;
        entry->reports.resize(m_grantors.size());
        entry->demandAt = now;
    } else if (limit.version > entry->limit.version) {
        entry->limit = limit;
        for (Report &it : entry->reports) {
            it.emptyUntil = {};
        }
    }
    entry->usedAt = now;
    return entry;
}

/// Evicts keys that were not used for the longest time, except those for which a call waits or an answer is due.
void AllowanceStock::evict()
{
    std::vector<std::pair<TimePoint, std::string_view>> oldest;
    for (const auto &[key, it] : m_entries) {
        if (it.waiting == 0 && !it.queued) {
            oldest.emplace_back(it.usedAt, key);
        }
    }
    if (oldest.empty()) {
        return;
    }
    const size_t n = std::max<size_t>(oldest.size() / EvictedShare, 1);
    std::nth_element(oldest.begin(), oldest.begin() + static_cast<std::ptrdiff_t>(n - 1), oldest.end());
    for (size_t i = 0; i < n; ++i) {
        m_entries.erase(m_entries.find(oldest[i].second));
    }
}

void AllowanceStock::noteDemand(Entry &entry, TimePoint now) const
{
    const double age = std::max(toSeconds(now - entry.demandAt), 0.0);
    entry.demand = entry.demand * std::exp(-age / DemandMemory) + 1;
    entry.demandAt = now;
}

uint32_t AllowanceStock::held(Entry &entry, TimePoint now)
{
    uint32_t out = 0;
    size_t expired = 0;
    for (const Lot &it : entry.lots) {
        if (it.expiresAt <= now) {
            m_counts.expired += it.tokens;
            ++expired;
        } else {
            out += it.tokens;
        }
    }
    entry.lots.erase(entry.lots.begin(), entry.lots.begin() + static_cast<std::ptrdiff_t>(expired));
    return out;
}

/// The number of tokens to ask for: what waits, plus what the recent rate needs soon once half of that is used. Nothing
/// is fetched ahead from this instance's own bucket, where it would only expire, unless the rate is above its part.
uint32_t AllowanceStock::needed(Entry &entry, TimePoint now)
{
    const uint32_t inStock = held(entry, now);
    const double age = std::max(toSeconds(now - entry.demandAt), 0.0);
    const double rate = std::min(entry.demand * std::exp(-age / DemandMemory) / DemandMemory, entry.limit.perSecond);
    const bool ownSuffices = rate * static_cast<double>(m_grantors.size()) <= entry.limit.perSecond && m_options.own
                             && nextGrantor(entry, now) == m_options.own;
    double ahead = std::floor(rate * toSeconds(lifetimeOf(entry.key)) * AheadShareOfLifetime);
    if (inStock > ahead / 2 || ownSuffices) {
        ahead = 0;
    }
    const double total = static_cast<double>(entry.waiting) + std::max(ahead, entry.wanted ? 1.0 : 0.0) - inStock;
    return static_cast<uint32_t>(std::clamp(total, 0.0, static_cast<double>(MaxWantedTokens)));
}

void AllowanceStock::enqueue(Entry &entry, TimePoint now)
{
    if (entry.queued) {
        return;
    }
    if (needed(entry, now) == 0) {
        entry.wanted = false;
        return;
    }
    const auto n = nextGrantor(entry, now);
    if (!n) {
        entry.wanted = false;
        return;
    }
    m_grantors[*n].queued.push_back(entry.key);
    entry.queued = true;
}

/// The nearest grantor that answers and is not known to be without tokens for this key.
std::optional<size_t> AllowanceStock::nextGrantor(const Entry &entry, TimePoint now) const
{
    std::optional<size_t> out;
    for (size_t i = 0; i < m_grantors.size(); ++i) {
        const size_t n = (i + m_options.firstNumber) % m_grantors.size(); // instances begin with different ones
        if (m_grantors[n].silentUntil > now || entry.reports[n].emptyUntil > now) {
            continue;
        }
        if (!out || rankOf(n, now) < rankOf(*out, now)) {
            out = n;
        }
    }
    return out;
}

/// Round trip in seconds, less for one that was measured long ago; one that never was comes first, to be measured.
double AllowanceStock::rankOf(size_t n, TimePoint now) const
{
    const Grantor &it = m_grantors[n];
    if (m_options.own == n) {
        return -1;
    }
    if (!it.measured) {
        return 0;
    }
    const double halvings = toSeconds(now - it.measuredAt) / toSeconds(RoundTripHalfLife);
    return toSeconds(it.roundTrip) * std::exp2(-std::max(halvings, 0.0));
}

void AllowanceStock::addTokens(Entry &entry, uint32_t tokens, TimePoint expiresAt)
{
    if (tokens == 0) {
        return;
    }
    const auto it = std::lower_bound(entry.lots.begin(), entry.lots.end(), expiresAt,
                                     [](const Lot &lot, TimePoint at) { return lot.expiresAt < at; });
    if (it != entry.lots.end() && it->expiresAt == expiresAt) {
        it->tokens += tokens;
    } else {
        entry.lots.insert(it, {expiresAt, tokens});
    }
}

void AllowanceStock::handleTimeouts(TimePoint now)
{
    for (size_t n = 0; n < m_grantors.size(); ++n) {
        Grantor &grantor = m_grantors[n];
        if (!grantor.inFlight || now < grantor.sentAt + m_options.patience) {
            continue;
        }
        ++m_counts.timeouts;
        // A grantor that has just started answers soon; one that stays silent must not be waited for often.
        grantor.silentFor = std::min(std::max(grantor.silentFor * 2, m_options.firstSilentFor), m_options.silentFor);
        // Counts from the timeout itself, which may be long past when the next call notices it.
        const TimePoint silentUntil = grantor.sentAt + m_options.patience + grantor.silentFor;
        if (grantor.silentUntil <= now && silentUntil > now) {
            m_silent.push_back(n);
        }
        grantor.inFlight = false;
        grantor.silentUntil = silentUntil;
        grantor.roundTrip = std::max(grantor.roundTrip, m_options.patience);
        grantor.measured = true;
        grantor.measuredAt = now;
        std::vector<std::string> keys = std::exchange(grantor.queued, {});
        for (const AllowanceWant &it : grantor.wants) {
            keys.push_back(it.key);
        }
        requeue(keys, now);
    }
}

void AllowanceStock::requeue(std::span<const std::string> keys, TimePoint now)
{
    for (const std::string &key : keys) {
        if (Entry *entry = find(key); entry != nullptr) {
            entry->queued = false;
            enqueue(*entry, now);
        }
    }
}

Duration AllowanceStock::lifetimeOf(std::string_view key) const
{
    return key.starts_with(TargetKeyPrefix) ? m_options.targetLifetime : m_options.accountLifetime;
}

} // namespace damask
