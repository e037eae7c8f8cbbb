#include "route/report_trust.h"

#include <algorithm>
#include <cmath>

namespace damask {

namespace {

constexpr double SampleWeight = 0.005;   // of one answer
constexpr int LeastSamples = 100;        // answers before reports can lose trust
constexpr double NoCorrelation = 0.15;   // of reports and answer times: no trust
constexpr double FullCorrelation = 0.35; // of reports and answer times: full trust

} // namespace

void ReportTrust::learn(double reportDeviation, double timeDeviation)
{
    m_together += SampleWeight * (reportDeviation * timeDeviation - m_together);
    m_reports += SampleWeight * (reportDeviation * reportDeviation - m_reports);
    m_times += SampleWeight * (timeDeviation * timeDeviation - m_times);
    m_samples = std::min(m_samples + 1, LeastSamples);
}

double ReportTrust::trust() const
{
    if (m_samples < LeastSamples || m_reports <= 0 || m_times <= 0) {
        return 1;
    }
    const double correlation = m_together / std::sqrt(m_reports * m_times);
    return std::clamp((correlation - NoCorrelation) / (FullCorrelation - NoCorrelation), 0.0, 1.0);
}

} // namespace damask
