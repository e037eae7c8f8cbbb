/// Selects the keepers on duty, that is, those that watch the store and pass changes on: the lowest-ranked ones of
/// each data centre, ranked by name.
///
/// There is no election: each keeper decides from its own view of the members. When two views differ, two keepers do
/// the same work for a while, which is harmless because every write is a compare-and-swap.
#pragma once

#include "member/membership.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct DutyOptions {
    size_t perDataCentre = 2; // watchers in each data centre
};

/// Names of the watchers of a data centre, lowest rank first. A watcher is live and not silent.
std::vector<std::string> watchersOf(std::span<const MemberView> members, std::string_view dataCentre,
                                    const DutyOptions &options = {});

/// Names of all watchers, lowest rank first.
std::vector<std::string> allWatchers(std::span<const MemberView> members, const DutyOptions &options = {});

/// The receivers of a keeper's heartbeats: all members of its data centre and, for a watcher, also the watchers of the
/// other data centres. The lowest-ranked members of each data centre are included even when silent; otherwise the two
/// sides of a network partition would never reconnect after it heals.
std::vector<Instance> heartbeatPeers(std::span<const MemberView> members, std::string_view self,
                                     const DutyOptions &options = {});

/// The poll interval of a keeper that does not watch; limits the total rate of all keepers to `pollsPerSecond`.
Duration pollInterval(size_t keepers, Duration minInterval, double pollsPerSecond);

} // namespace damask
