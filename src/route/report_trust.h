/// Estimates how far load reports can be trusted, from their correlation with the answer times of the calls they came
/// with.
///
/// Not thread-safe. Accurate reports correlate with answer times. Lagging reports do not, and their trust falls to 0.
/// Reports that never vary give no evidence either way and leave trust at 1.
#pragma once

namespace damask {

class ReportTrust
{
public:
    void   addSample(double reportDeviation, double timeDeviation); // deviations from the mean, of one answer
    double trust() const;                                           // 0 to 1: weight of a report; initially 1

private:
    double m_covariance = 0; // smoothed product of the deviations
    double m_reportVariance = 0;
    double m_timeVariance = 0;
    int    m_samples = 0;
};

} // namespace damask
