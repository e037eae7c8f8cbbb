#include "programs/damask-node/node_events.h"

#include "base/log.h"
#include "route/placement.h"

#include <span>
#include <string>
#include <vector>

namespace damask {

namespace {

constexpr size_t MaxUnknownRegions = 16; // named in one log line

} // namespace

void recordHealthChange(Metrics &metrics, const HealthChange &change)
{
    metrics.count("damask_target_health_changes_total",
                  {{"change", change.out ? "out" : "in"}, {"reason", change.reason}});
    logEvent(Severity::Info, change.out ? "target-ejected" : "target-returned",
             {{"target", change.target}, {"failing", change.failureShare}, {"reason", change.reason}});
}

void recordNotice(Metrics &metrics, const NoticeReceived &received)
{
    metrics.count("damask_target_notices_total", {{"notice", received.notice.leaving ? "leaving" : "push-back"}});
    logEvent(Severity::Info, "target-notice",
             {{"target", received.target},
              {"leaving", received.notice.leaving},
              {"pushBackMs", toMilliseconds(received.pushBack)},
              {"saidMs", toMilliseconds(received.notice.pushBack)}});
}

void recordColdChange(Metrics &metrics, const ColdChange &change)
{
    const bool cold = change.coldLeft > Duration::zero();
    metrics.count("damask_target_cold_changes_total",
                  {{"change", cold ? "cold" : "warm"}, {"reason", coldReasonName(change.reason)}});
    logEvent(Severity::Info, cold ? "target-cold" : "target-warm",
             {{"target", change.target},
              {"coldForMs", toMilliseconds(change.coldLeft)},
              {"reason", coldReasonName(change.reason)}});
}

void recordSpilloverChange(Metrics &metrics, std::string_view dataCentre, const SpilloverChange &change)
{
    metrics.count("damask_spillover_changes_total",
                  {{"service", change.service}, {"change", change.begins ? "begins" : "ends"}});
    logEvent(Severity::Info, change.begins ? "spillover-begins" : "spillover-ends",
             {{"service", change.service},
              {"dataCentre", dataCentre},
              {"fullShare", change.own.fullShare},
              {"inFlight", change.own.inFlight},
              {"dataCentresWithRoom", static_cast<int64_t>(change.withRoom)}});
}

void recordUnknownRegions(Metrics &metrics, const Configuration &applied, uint64_t version)
{
    const auto joined = [](std::span<const std::string> names) {
        std::string out;
        for (const std::string &it : names) {
            out += (out.empty() ? "" : ", ") + it;
        }
        return out;
    };
    const std::vector<std::string> unknown = unknownHomeRegions(applied, MaxUnknownRegions);
    if (!unknown.empty()) {
        metrics.counter("damask_home_regions_unknown_total").Increment(static_cast<double>(unknown.size()));
        logEvent(
            Severity::Warning, "home-regions-unknown",
            {{"version", version}, {"unknown", joined(unknown)}, {"known", joined(knownRegions(applied.dataCentres))}});
    }
}

} // namespace damask
