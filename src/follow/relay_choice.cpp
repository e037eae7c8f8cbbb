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
    Group &group = m_groups[request.dataCentre];
    std::erase_if(group.followers, [&](const auto &it) { return now - it.second.askedAt > m_options.followerTimeout; });
    group.followers[request.endpoint] = {request.linkBytesPerSecond, now};
    chooseRelay(group);
    return group.relay == request.endpoint ? std::string_view() : group.relay;
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
