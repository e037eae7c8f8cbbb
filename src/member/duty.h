/// Which keepers watch the store and pass changes on: the lowest-ranked ones of each data centre, in the order of
/// names.
///
/// There is no election: each keeper works it out from what it knows. Two views that differ make two keepers do the
/// same work for a while, which does no harm, for every write is a compare-and-swap.
#pragma once

#include "member/membership.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct DutyOptions {
    size_t perDataCentre = 2; // keepers that watch the store
};

/// Names of the watchers of a data centre, lowest rank first: live and not silent.
std::vector<std::string> watchersOf(std::span<const MemberView> members, std::string_view dataCentre,
                                    const DutyOptions &options = {});

/// Names of all watchers, lowest rank first.
std::vector<std::string> allWatchers(std::span<const MemberView> members, const DutyOptions &options = {});

/// Whom a keeper sends its heartbeats: all of its data centre; a watcher also those of the others. The lowest-ranked
/// ones of a data centre get them even when they are silent, or two sides of a healed cut would never meet again.
std::vector<Instance> heartbeatPeers(std::span<const MemberView> members, std::string_view self,
                                     const DutyOptions &options = {});

/// How often a keeper that does not watch polls the store, so that all polls together stay at one rate.
Duration pollInterval(size_t keepers, Duration minInterval, double pollsPerSecond);

} // namespace damask
