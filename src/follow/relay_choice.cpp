#include "follow/relay_choice.h"

#include <algorithm>

namespace damask {

RelayChoice::RelayChoice(const RelayOptions &options)
    : m_options(options)
{
}

std::string_view RelayChoice::recordRequest(const FollowRequest &request, TimePoint now)
{
    if (request.endpoint.empty() || request.dataCentre.empty() || request.dataCentre == m_options.dataCentre) {
        return {};
    }
    if (!m_groups.contains(request.dataCentre)) {
        removeSilentGroups(now);
    }
    Group &group = m_groups[request.dataCentre];
    removeSilent(group, now);
    group.followers[request.endpoint] = {request.linkBytesPerSecond, now};
    chooseRelay(group);
    return group.relay == request.endpoint ? std::string_view() : group.relay;
}

void RelayChoice::removeSilent(Group &group, TimePoint now) const
{
    std::erase_if(group.followers, [&](const auto &it) { return now - it.second.askedAt > m_options.followerTimeout; });
}

void RelayChoice::removeSilentGroups(TimePoint now)
{
    for (auto &[dataCentre, group] : m_groups) {
        removeSilent(group, now);
    }
    std::erase_if(m_groups, [](const auto &it) { return it.second.followers.empty(); });
}

void RelayChoice::chooseRelay(Group &group) const
{
    const auto fastest =
        std::max_element(group.followers.begin(), group.followers.end(), [](const auto &left, const auto &right) {
            return left.second.linkBytesPerSecond < right.second.linkBytesPerSecond;
        });
    const auto current = group.followers.find(group.relay);
    if (current == group.followers.end()) {
        group.relay = group.followers.size() < m_options.minFollowers ? std::string() : fastest->first;
        return;
    }
    const double upgrade = m_options.upgradeRatio * static_cast<double>(current->second.linkBytesPerSecond);
    if (static_cast<double>(fastest->second.linkBytesPerSecond) > upgrade) {
        group.relay = fastest->first;
    }
}

} // namespace damask
