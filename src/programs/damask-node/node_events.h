/// Counters and log lines for what the balancer notices about targets, and for odd home regions.
///
/// Use: the first four as hooks of the balancer, which calls them under its locks. Thread-safe; they never wait.
#pragma once

#include "base/metrics.h"
#include "route/balancer.h"

#include <string_view>

namespace damask {

void recordHealthChange(Metrics &metrics, const HealthChange &change);
void recordNotice(Metrics &metrics, const NoticeReceived &received);
void recordColdChange(Metrics &metrics, const ColdChange &change);
void recordSpilloverChange(Metrics &metrics, std::string_view dataCentre, const SpilloverChange &change);

/// Home regions of rules and accounts that no data centre is in; call it once for each version.
void recordUnknownRegions(Metrics &metrics, const Configuration &applied, uint64_t version);

} // namespace damask
