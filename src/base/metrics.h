/// Counters, gauges and histograms in the Prometheus format.
///
/// Use: `Metrics metrics; metrics.count("damask_refusals_total", {{"code", "QueueFull"}});`
/// On a hot path, keep the reference: `auto &n = metrics.counter(...); n.Increment();`
/// docs/operate/metrics.md lists each name; tests/docs checks that list against the names that programs export.
#pragma once

#include "base/result.h"

#include <initializer_list>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>
#include <utility>

namespace damask {

/// One label of a metric: its name and its value.
struct MetricLabel {
    std::string_view name;
    std::string_view value;
};

/// The metrics of one process. Thread-safe.
class Metrics
{
public:
    Metrics();

    prometheus::Counter   &counter(std::string_view name, std::initializer_list<MetricLabel> labels = {});
    prometheus::Gauge     &gauge(std::string_view name, std::initializer_list<MetricLabel> labels = {});
    prometheus::Histogram &histogram(std::string_view name, std::initializer_list<MetricLabel> labels = {}); // seconds

    void        count(std::string_view name, std::initializer_list<MetricLabel> labels = {}); // adds one
    void        countCode(std::string_view name, Code code);                                  // adds one, label "code"
    std::string text() const;                                                                 // the exposition format

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace damask
