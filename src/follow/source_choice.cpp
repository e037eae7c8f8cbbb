#include "follow/source_choice.h"

#include <algorithm>

namespace damask {

namespace {

constexpr int SeedKnownAfter = 2; // answers; the first may have waited for the seed to start

} // namespace

SourceChoice::SourceChoice(const SourceOptions &options)
    : m_options(options)
{
    for (const std::string &it : options.seeds) {
        if (it == options.own) {
            m_own = m_seeds.size();
        }
        m_seeds.push_back({.address = it, .own = it == options.own});
    }
}

bool SourceChoice::isSeed() const
{
    return m_own.has_value();
}

bool SourceChoice::late(TimePoint now) const
{
    return m_current && !m_othersAsked && !m_seeds[*m_current].answered
           && now - m_seeds[*m_current].askedAt >= m_options.beat;
}

/// A request that is still open is not made again before the patience for it has passed. Others than the followed seed
/// are asked seldom, unless a node looks for one to follow.
TimePoint SourceChoice::dueAt(const Seed &seed) const
{
    if (seed.asked == 0) {
        return TimePoint();
    }
    const bool followed = m_current && &seed == &m_seeds[*m_current];
    if (followed && seed.answered && !seed.asFollower) {
        return seed.askedAt; // at once, to hear the changes
    }
    if (!seed.answered) {
        return seed.askedAt + (followed ? m_options.patience : m_options.retry);
    }
    if (followed || seed.answers < SeedKnownAfter || (!m_current && !isSeed())) {
        return seed.askedAt + m_options.beat;
    }
    return seed.askedAt + (m_current ? m_options.scan : m_options.retry);
}

std::vector<SourceAsk> SourceChoice::due(TimePoint now, uint64_t revision)
{
    const bool all = late(now);
    m_othersAsked = m_othersAsked || all;
    std::vector<SourceAsk> out;
    for (size_t n = 0; n < m_seeds.size(); ++n) {
        Seed &it = m_seeds[n];
        if (it.own || (now < dueAt(it) && !(all && n != *m_current))) {
            continue;
        }
        it.asked = ++m_number;
        it.answered = false;
        it.askedAt = now;
        it.asFollower = m_current == n;
        out.push_back({n, {it.asked, revision, it.asFollower}});
    }
    return out;
}

TimePoint SourceChoice::nextDue() const
{
    TimePoint out = Never;
    for (const Seed &it : m_seeds) {
        out = it.own ? out : std::min(out, dueAt(it));
    }
    if (m_current && !m_othersAsked && !m_seeds[*m_current].answered) {
        out = std::min(out, m_seeds[*m_current].askedAt + m_options.beat);
    }
    return out;
}

std::optional<TimePoint> SourceChoice::heard(const StoreNews &news, TimePoint now)
{
    const auto it = std::find_if(m_seeds.begin(), m_seeds.end(), [&news](const Seed &seed) {
        return !seed.own && !seed.answered && seed.asked != 0 && seed.asked == news.number;
    });
    if (it == m_seeds.end()) {
        return std::nullopt;
    }
    it->answered = true;
    m_othersAsked = m_othersAsked && !(m_current && &m_seeds[*m_current] == &*it);
    it->proven = true;
    it->provenAt = it->askedAt - news.age; // the answer left after it was asked for
    it->hops = news.hops;
    it->roundTrip = it->answers == 0 ? now - it->askedAt : std::min(it->roundTrip, now - it->askedAt);
    it->answers = std::min(it->answers + 1, SeedKnownAfter);
    return it->asFollower && m_current && &m_seeds[*m_current] == &*it ? std::optional(it->provenAt) : std::nullopt;
}

bool SourceChoice::usable(size_t n, TimePoint now, bool reachesStore) const
{
    const Seed &it = m_seeds[n];
    const bool yields = m_own && reachesStore && n > *m_own;
    return !it.own && !yields && it.proven && it.hops < m_options.mostHops && now - it.provenAt < staleAfter();
}

std::optional<size_t> SourceChoice::source(TimePoint now, bool reachesStore)
{
    std::optional<size_t> best;
    for (size_t n = 0; n < m_seeds.size(); ++n) {
        if (usable(n, now, reachesStore) && (!best || m_seeds[n].roundTrip < m_seeds[*best].roundTrip)) {
            best = n;
        }
    }
    const bool keeps =
        m_current && usable(*m_current, now, reachesStore)
        && toSeconds(m_seeds[*best].roundTrip) >= toSeconds(m_seeds[*m_current].roundTrip) * m_options.nearer;
    if (!keeps) {
        m_current = best;
        m_othersAsked = false;
    }
    return m_current;
}

TimePoint SourceChoice::freshUntil() const
{
    return m_current ? m_seeds[*m_current].provenAt + staleAfter() : Never;
}

int SourceChoice::hops() const
{
    return m_current ? m_seeds[*m_current].hops + 1 : 0;
}

Duration SourceChoice::staleAfter() const
{
    return isSeed() ? m_options.seedStaleAfter : m_options.staleAfter;
}

const std::string &SourceChoice::address(size_t seed) const
{
    return m_seeds.at(seed).address;
}

} // namespace damask
