#include "route/report_trust.h"

#include <algorithm>
#include <cmath>

namespace damask {

namespace {

constexpr double SampleWeight = 0.005;   // of one answer
constexpr int MinSamples = 100;          // answers before trust can fall below 1
constexpr double NoCorrelation = 0.15;   // of reports and answer times; at or below it trust is 0
constexpr double FullCorrelation = 0.35; // of reports and answer times; at or above it trust is 1

} // namespace

void ReportTrust::addSample(double reportDeviation, double timeDeviation)
{
    m_covariance += SampleWeight * (reportDeviation * timeDeviation - m_covariance);
    m_reportVariance += SampleWeight * (reportDeviation * reportDeviation - m_reportVariance);
    m_timeVariance += SampleWeight * (timeDeviation * timeDeviation - m_timeVariance);
    m_samples = std::min(m_samples + 1, MinSamples);
}

double ReportTrust::trust() const
{
    if (m_samples < MinSamples || m_reportVariance <= 0 || m_timeVariance <= 0) {
        return 1;
    }
    const double correlation = m_covariance / std::sqrt(m_reportVariance * m_timeVariance);
    return std::clamp((correlation - NoCorrelation) / (FullCorrelation - NoCorrelation), 0.0, 1.0);
}

} // namespace damask
