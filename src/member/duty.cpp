#include "member/duty.h"

#include <algorithm>
#include <set>

namespace damask {

namespace {

bool canWatch(const MemberView &member)
{
    return member.state == MemberState::Live && !member.silent;
}

std::set<std::string, std::less<>> dataCentresOf(std::span<const MemberView> members)
{
    std::set<std::string, std::less<>> out;
    for (const MemberView &it : members) {
        if (it.state != MemberState::Gone) {
            out.insert(it.instance.dataCentre);
        }
    }
    return out;
}

/// The lowest-ranked members of a data centre, including silent ones.
std::vector<std::string> lowestRanked(std::span<const MemberView> members, std::string_view dataCentre, size_t count)
{
    std::vector<std::string> out;
    for (const MemberView &it : members) {
        if (it.state != MemberState::Gone && it.instance.dataCentre == dataCentre && out.size() < count) {
            out.push_back(it.instance.name);
        }
    }
    return out;
}

} // namespace

std::vector<std::string> watchersOf(std::span<const MemberView> members, std::string_view dataCentre,
                                    const DutyOptions &options)
{
    std::vector<std::string> out;
    for (const MemberView &it : members) {
        if (canWatch(it) && it.instance.dataCentre == dataCentre && out.size() < options.perDataCentre) {
            out.push_back(it.instance.name);
        }
    }
    return out;
}

std::vector<std::string> allWatchers(std::span<const MemberView> members, const DutyOptions &options)
{
    std::vector<std::string> out;
    for (const auto &it : dataCentresOf(members)) {
        const auto watchers = watchersOf(members, it, options);
        out.insert(out.end(), watchers.begin(), watchers.end());
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::vector<Instance> heartbeatPeers(std::span<const MemberView> members, std::string_view self,
                                     const DutyOptions &options)
{
    const auto own =
        std::find_if(members.begin(), members.end(), [self](const MemberView &it) { return it.instance.name == self; });
    if (own == members.end()) {
        return {};
    }
    const std::string_view ownDataCentre = own->instance.dataCentre;
    const auto ownWatchers = watchersOf(members, ownDataCentre, options);
    std::set<std::string, std::less<>> peerNames;
    if (std::find(ownWatchers.begin(), ownWatchers.end(), self) != ownWatchers.end()) {
        for (const auto &it : dataCentresOf(members)) {
            const auto lowest = lowestRanked(members, it, options.perDataCentre);
            const auto watchers = watchersOf(members, it, options);
            peerNames.insert(lowest.begin(), lowest.end());
            peerNames.insert(watchers.begin(), watchers.end());
        }
    }
    std::vector<Instance> out;
    for (const MemberView &it : members) {
        const bool sameDataCentre = it.instance.dataCentre == ownDataCentre && it.state != MemberState::Gone;
        if (it.instance.name != self && (sameDataCentre || peerNames.contains(it.instance.name))) {
            out.push_back(it.instance);
        }
    }
    return out;
}

Duration pollInterval(size_t keepers, Duration minInterval, double pollsPerSecond)
{
    const auto interval = std::chrono::duration<double>(static_cast<double>(keepers) / pollsPerSecond);
    return std::max(minInterval, std::chrono::duration_cast<Duration>(interval));
}

} // namespace damask
