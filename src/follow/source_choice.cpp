#include "follow/source_choice.h"

#include <algorithm>

namespace damask {

namespace {

/// Answers of a seed to collect at the short interval: the first round trip may include the seed's start.
constexpr int TrustedAnswerCount = 2;

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

void SourceChoice::enterEra(uint64_t era)
{
    m_era = era;
}

bool SourceChoice::hasRelay() const
{
    return m_seeds.size() > m_options.seeds.size();
}

bool SourceChoice::isRelay(size_t seed) const
{
    return seed >= m_options.seeds.size();
}

/// A relay that is followed is kept until it fails.
void SourceChoice::offerRelay(std::string_view address)
{
    const bool known =
        std::any_of(m_seeds.begin(), m_seeds.end(), [&](const Seed &it) { return it.address == address; });
    if (address.empty() || isSeed() || address == m_options.own || known || (m_current && isRelay(*m_current))) {
        return;
    }
    m_seeds.resize(m_options.seeds.size());
    m_seeds.push_back({.address = std::string(address)});
}

/// A relay gets no second chance: the seed names another one as soon as it is followed again.
void SourceChoice::dropSilentRelay(TimePoint now)
{
    if (!hasRelay() || m_seeds.back().requestNumber == 0 || m_seeds.back().answered || now < dueAt(m_seeds.back())) {
        return;
    }
    if (m_current && isRelay(*m_current)) {
        m_current.reset();
    }
    m_seeds.pop_back();
}

bool SourceChoice::answerOverdue(TimePoint now) const
{
    return m_current && !m_othersRequested && !m_seeds[*m_current].answered
           && now - m_seeds[*m_current].requestedAt >= m_options.requestInterval;
}

/// An open request is repeated only after its timeout. Seeds other than the followed one are asked rarely, unless the
/// node is looking for a seed to follow.
TimePoint SourceChoice::dueAt(const Seed &seed) const
{
    if (seed.requestNumber == 0) {
        return TimePoint();
    }
    const bool followed = m_current && &seed == &m_seeds[*m_current];
    if (followed && seed.answered && (!seed.asFollower || seed.hasMore)) {
        return seed.requestedAt; // at once, to subscribe to its changes or for the next step of them
    }
    if (!seed.answered) {
        return seed.requestedAt + (followed ? m_options.answerTimeout : m_options.retryInterval);
    }
    if (followed || seed.answerCount < TrustedAnswerCount || (!m_current && !isSeed())) {
        return seed.requestedAt + m_options.requestInterval;
    }
    return seed.requestedAt + (m_current ? m_options.scanInterval : m_options.retryInterval);
}

std::vector<SeedRequest> SourceChoice::dueRequests(TimePoint now, uint64_t revision)
{
    dropSilentRelay(now);
    const bool askAll = answerOverdue(now);
    m_othersRequested = m_othersRequested || askAll;
    std::vector<SeedRequest> out;
    for (size_t n = 0; n < m_seeds.size(); ++n) {
        Seed &it = m_seeds[n];
        if (it.own || (now < dueAt(it) && !(askAll && n != *m_current))) {
            continue;
        }
        it.requestNumber = ++m_number;
        it.answered = false;
        it.requestedAt = now;
        it.asFollower = m_current == n;
        out.push_back({n,
                       {.number = it.requestNumber, .revision = revision, .follows = it.asFollower, .era = m_era},
                       it.address});
    }
    return out;
}

TimePoint SourceChoice::nextDue() const
{
    TimePoint out = Never;
    for (const Seed &it : m_seeds) {
        out = it.own ? out : std::min(out, dueAt(it));
    }
    if (m_current && !m_othersRequested && !m_seeds[*m_current].answered) {
        out = std::min(out, m_seeds[*m_current].requestedAt + m_options.requestInterval);
    }
    return out;
}

std::optional<TimePoint> SourceChoice::handleAnswer(const StoreNews &news, TimePoint now)
{
    const auto it = std::find_if(m_seeds.begin(), m_seeds.end(), [&news](const Seed &seed) {
        return !seed.own && !seed.answered && seed.requestNumber != 0 && seed.requestNumber == news.number;
    });
    if (it == m_seeds.end()) {
        if (news.number == 0 && news.more && m_current) {
            m_seeds[*m_current].hasMore = true;
        }
        return std::nullopt;
    }
    it->answered = true;
    it->hasMore = news.more;
    m_othersRequested = m_othersRequested && !(m_current && &m_seeds[*m_current] == &*it);
    it->verified = true;
    it->verifiedAt = it->requestedAt - news.age; // a lower bound: the seed answered after the request was sent
    it->hops = news.hops;
    it->era = news.era;
    it->roundTrip = it->answerCount == 0 ? now - it->requestedAt : std::min(it->roundTrip, now - it->requestedAt);
    it->answerCount = std::min(it->answerCount + 1, TrustedAnswerCount);
    const bool isCurrent = m_current && &m_seeds[*m_current] == &*it;
    const std::optional<TimePoint> proof =
        it->asFollower && !news.more && isCurrent && news.era == m_era ? std::optional(it->verifiedAt) : std::nullopt;
    if (isCurrent) {
        offerRelay(news.relay);
    }
    return proof;
}

bool SourceChoice::usable(size_t n, TimePoint now, bool reachesStore) const
{
    const Seed &it = m_seeds[n];
    const bool isLater = m_own && reachesStore && n > *m_own;
    return !it.own && !isLater && it.verified && it.era >= m_era && it.hops < m_options.maxHops
           && now - it.verifiedAt < staleAfter();
}

std::optional<size_t> SourceChoice::source(TimePoint now, bool reachesStore)
{
    if (hasRelay() && usable(m_seeds.size() - 1, now, reachesStore)) {
        m_othersRequested = m_othersRequested && m_current == m_seeds.size() - 1;
        m_current = m_seeds.size() - 1;
        return m_current;
    }
    std::optional<size_t> best;
    for (size_t n = 0; n < m_seeds.size(); ++n) {
        if (usable(n, now, reachesStore) && (!best || m_seeds[n].roundTrip < m_seeds[*best].roundTrip)) {
            best = n;
        }
    }
    const bool keepCurrent =
        m_current && usable(*m_current, now, reachesStore)
        && toSeconds(m_seeds[*best].roundTrip) >= toSeconds(m_seeds[*m_current].roundTrip) * m_options.switchRatio;
    if (!keepCurrent) {
        m_current = best;
        m_othersRequested = false;
    }
    return m_current;
}

TimePoint SourceChoice::freshUntil() const
{
    return m_current ? m_seeds[*m_current].verifiedAt + staleAfter() : Never;
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
