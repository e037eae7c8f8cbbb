/// Quantiles of the recent answer times of each rule of a service.
///
/// AnswerTimes is a histogram with geometric buckets. When it holds MaxAnswers, all counts are halved, so that recent
/// answers weigh more. Quantiles are the upper bounds of buckets: at most BucketRatio times the exact value.
#pragma once

#include "base/lock.h"
#include "base/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace damask {

/// Answer times of one rule. Not thread-safe.
class AnswerTimes
{
public:
    static constexpr uint32_t MaxAnswers = 1024;
    static constexpr double   BucketRatio = 1.1;

    void     add(Duration time);
    uint32_t count() const;                // after halving, so at most MaxAnswers
    Duration quantile(double share) const; // 0 to 1: time that this share of the answers stays under; 0 without answers

private:
    static constexpr size_t BucketCount = 160; // 0.1 ms to 420 s; the first and last bucket hold what is beyond

    std::array<uint32_t, BucketCount> m_buckets{};
    uint32_t                          m_count = 0;
};

/// What is known of the answer times of one rule when a call is sent.
struct AnswerTimeEstimate {
    uint32_t answers = 0; // that the estimate is based on
    Duration typical{0};  // median
    Duration early{0};    // 90 in 100 answers take less
    Duration late{0};     // all but `lateShare` of the answers take less
};

/// Answer times of the rules of one service: at most MaxRules, the least recently used give way. Thread-safe.
class RuleAnswerTimes
{
public:
    static constexpr size_t MaxRules = 64; // 0.7 KB each

    void               add(std::string_view rule, Duration time);
    AnswerTimeEstimate estimate(std::string_view rule, double lateShare) const;
    size_t             rules() const;

private:
    struct Entry {
        AnswerTimes times;
        uint64_t    usedAt = 0; // sequence number of the last answer
    };

    mutable RankedMutex                       m_mutex{LockRank::Route};
    std::map<std::string, Entry, std::less<>> m_rules;
    uint64_t                                  m_sequence = 0;
};

} // namespace damask
