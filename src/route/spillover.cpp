#include "route/spillover.h"

#include <algorithm>

namespace damask {

namespace {

// A choice probes up to four targets (twice two). With 0.3 of the targets full, 1 call in 100 finds all four full:
// more than callers should be refused. With half of that, 1 in 2,000 does. Between the two, the effect grows evenly:
// with a switch, instances whose reports differ a little decided differently, and kept to it.
constexpr double ShortFullShare = 0.3;
constexpr double RoomFullShare = 0.15;

// With 3 to 6 calls a second, an instance gets 10 to 25 reports a second from its data centre. Over 4 s they tell the
// share of full targets to 0.03 to 0.05; uneven demand lasts for minutes.
constexpr Duration FullShareWindow = std::chrono::seconds(4);
constexpr Duration InFlightWindow = std::chrono::seconds(1); // as of the mean of one target's reports

constexpr double MaxReportWeight = 0.1; // of one report after a pause, so that a single one does not decide
constexpr Duration MaxReportAge = std::chrono::seconds(5);  // of the latest report from a data centre
constexpr Duration ProbeInterval = std::chrono::seconds(1); // between probes of a data centre that has not reported

double weightOf(Duration since, Duration window)
{
    return std::clamp(toSeconds(since) / toSeconds(window), 0.0, MaxReportWeight);
}

/// 0: it has room, 1: it is short of slots.
double shortnessOf(const CentreLoad &load)
{
    return std::clamp((load.fullShare - RoomFullShare) / (ShortFullShare - RoomFullShare), 0.0, 1.0);
}

} // namespace

Spillover::Spillover(std::string_view ownCentre)
    : m_own(ownCentre)
{
}

bool Spillover::record(std::string_view centre, int inFlight, bool full, TimePoint takenAt)
{
    CentreLoad *load = entryOf(centre);
    if (load == nullptr) {
        return false;
    }
    if (load->lastReportAt == TimePoint()) {
        load->inFlight = inFlight;
    }
    const Duration since = takenAt - load->lastReportAt;
    load->fullShare += weightOf(since, FullShareWindow) * ((full ? 1 : 0) - load->fullShare);
    load->inFlight += weightOf(since, InFlightWindow) * (inFlight - load->inFlight);
    load->lastReportAt = std::max(load->lastReportAt, takenAt);
    if (centre != m_own) {
        return false;
    }
    const double shortness = shortnessOf(*load);
    const bool before = m_short;
    m_short = shortness >= 1 || (m_short && shortness > 0);
    return m_short != before;
}

bool Spillover::isShort() const
{
    return m_short;
}

double Spillover::shortness(TimePoint now) const
{
    const CentreLoad *own = find(m_own, now);
    return own != nullptr ? shortnessOf(*own) : 0;
}

double Spillover::share(std::string_view centre, TimePoint now) const
{
    const CentreLoad *load = centre == m_own ? nullptr : find(centre, now);
    return load != nullptr ? shortness(now) * (1 - shortnessOf(*load)) : 0;
}

bool Spillover::wantsProbe(std::string_view centre, TimePoint now)
{
    CentreLoad *load = centre == m_own || shortness(now) <= 0 ? nullptr : entryOf(centre);
    if (load == nullptr || now - std::max(load->lastReportAt, load->probeWantedAt) < ProbeInterval) {
        return false;
    }
    load->probeWantedAt = now;
    return true;
}

const CentreLoad *Spillover::find(std::string_view centre, TimePoint now) const
{
    const auto it = m_centres.find(centre);
    const bool known = it != m_centres.end() && it->second.lastReportAt != TimePoint()
                       && now - it->second.lastReportAt <= MaxReportAge;
    return known ? &it->second : nullptr;
}

size_t Spillover::countWithRoom(TimePoint now) const
{
    return static_cast<size_t>(
        std::count_if(m_centres.begin(), m_centres.end(), [&](const auto &it) { return share(it.first, now) > 0; }));
}

/// Null: it has no name, or there are too many.
CentreLoad *Spillover::entryOf(std::string_view centre)
{
    const auto it = m_centres.find(centre);
    if (it != m_centres.end()) {
        return &it->second;
    }
    const bool accepted = !centre.empty() && (m_centres.size() < MaxCentres || centre == m_own);
    return accepted ? &m_centres.emplace(centre, CentreLoad()).first->second : nullptr;
}

} // namespace damask
