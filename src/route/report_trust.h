/// Whether load reports can be believed: true ones rise and fall with the time of the answers that carry them.
///
/// Pure. A report that lags or never changes does not move with answer times, and its trust falls to 0.
#pragma once

namespace damask {

class ReportTrust
{
public:
    void   addSample(double reportDeviation, double timeDeviation); // from what is usual; of one answer
    double trust() const;                                           // 0 to 1: weight of a report; 1 at first

private:
    double m_covariance = 0; // smoothed products and squares of the deviations
    double m_reportVariance = 0;
    double m_timeVariance = 0;
    int    m_samples = 0;
};

} // namespace damask
