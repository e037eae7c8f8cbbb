#include "base/metrics.h"

#include <prometheus/text_serializer.h>

namespace damask {

namespace {

const prometheus::Histogram::BucketBoundaries HistogramBuckets{0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01,
                                                               0.025,  0.05,    0.1,    0.25,  0.5,    1.0,   2.5};

prometheus::Labels toLabels(std::initializer_list<MetricLabel> labels)
{
    prometheus::Labels out;
    for (const MetricLabel &it : labels) {
        out.emplace(it.name, it.value);
    }
    return out;
}

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>(prometheus::Registry::InsertBehavior::Merge))
{
}

prometheus::Counter &Metrics::counter(std::string_view name, std::initializer_list<MetricLabel> labels)
{
    return prometheus::BuildCounter().Name(std::string(name)).Register(*m_registry).Add(toLabels(labels));
}

prometheus::Gauge &Metrics::gauge(std::string_view name, std::initializer_list<MetricLabel> labels)
{
    return prometheus::BuildGauge().Name(std::string(name)).Register(*m_registry).Add(toLabels(labels));
}

prometheus::Histogram &Metrics::histogram(std::string_view name, std::initializer_list<MetricLabel> labels)
{
    auto &family = prometheus::BuildHistogram().Name(std::string(name)).Register(*m_registry);
    return family.Add(toLabels(labels), HistogramBuckets);
}

void Metrics::count(std::string_view name, std::initializer_list<MetricLabel> labels)
{
    counter(name, labels).Increment();
}

void Metrics::countCode(std::string_view name, Code code)
{
    count(name, {{"code", codeName(code)}});
}

std::string Metrics::text() const
{
    const auto families = m_registry->Collect();
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace damask
