/// The last calls and why each went where it did, in a bounded ring of fixed-size records.
///
/// A record is filled on the caller's stack and copied in once; text is made only when someone asks.
#pragma once

#include "base/lock.h"
#include "call/message.h"
#include "route/retry.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// Text of at most N bytes, cut when longer.
template<size_t N>
class FixedText
{
public:
    void assign(std::string_view text)
    {
        m_size = static_cast<uint8_t>(std::min(text.size(), N));
        std::copy_n(text.begin(), m_size, m_bytes.begin());
    }
    std::string_view view() const
    {
        return {m_bytes.data(), m_size};
    }

private:
    static_assert(N < 256);
    std::array<char, N> m_bytes;
    uint8_t             m_size = 0;
};

/// One attempt of a call, as kept.
struct AttemptTrace {
    FixedText<47> target; // "pool/target"
    AttemptEnd    end = AttemptEnd::NotSent;
    RetryDenial   denial = RetryDenial::None; // why no other attempt followed; None: one did
    bool          hedge = false;
    bool          finished = false; // false: the call ended before it
    Code          code = Code::Ok;
    uint16_t      status = 0;     // HTTP status when answered
    float         waited = 0;     // ms for a slot
    float         reportAge = -1; // ms, of what was known of the target when it was chosen; -1: it never reported
    float         estimate = 0;   // all entries' calls in flight there, as known then
    float         slowdown = 1;   // times as long as usual that work needed there, as known then
    uint16_t      others = 0;     // targets it was compared with
    uint16_t      asked = 0;      // targets asked for the choice
    float         connect = 0;    // ms, 0: a kept connection
    float         elapsed = 0;    // ms from send to end
};

/// What was known of one target when a call was refused or failed.
struct TargetSnapshot {
    FixedText<47> name;
    float         estimate = 0;    // all entries' calls in flight
    float         reportAge = -1;  // ms; -1: it never reported
    float         oldestCall = 0;  // ms
    float         typicalTime = 0; // ms
    uint16_t      inFlight = 0;    // ours
    bool          draining = false;
    bool          ejected = false;
};

constexpr size_t MaxTargetSnapshots = 24; // targets kept with a record

/// One call.
struct CallTrace {
    uint64_t                                       idHash = 0;
    FixedText<63>                                  requestId;
    FixedText<31>                                  service;
    FixedText<31>                                  rule;
    TimePoint                                      endedAt;
    bool                                           idempotent = false;
    uint8_t                                        attemptCount = 0;
    uint8_t                                        targetCount = 0; // 0: not recorded
    uint16_t                                       depth = 0;
    uint16_t                                       status = 0;
    Outcome                                        outcome = Outcome::NotRun;
    Code                                           code = Code::Ok;
    uint64_t                                       revision = 0;  // of the configuration in force
    float                                          allowed = 0;   // ms, the deadline at arrival
    float                                          objective = 0; // ms, within which an answer was wanted; 0: none
    float                                          took = 0;      // ms, from arrival
    std::array<AttemptTrace, MaxAttempts>          attempts;
    std::array<TargetSnapshot, MaxTargetSnapshots> targets;

    AttemptTrace &addAttempt(std::string_view target); // the last place when all are taken
};

/// The record as one JSON object, as logs and `damaskctl why` give it.
std::string toJson(const CallTrace &trace, TimePoint now);

/// Safe from all threads.
class CallTraceRing
{
public:
    explicit CallTraceRing(size_t capacity); // held at most; 0: none

    void        add(const CallTrace &trace);
    std::string byRequest(std::string_view requestId, TimePoint now) const;             // JSON; empty when gone
    std::string byService(std::string_view service, size_t limit, TimePoint now) const; // JSON list, newest first

private:
    const CallTrace &newest(size_t back) const;

    mutable RankedMutex    m_mutex{LockRank::Leaf};
    std::vector<CallTrace> m_traces;
    size_t                 m_next = 0;
    size_t                 m_count = 0;
};

} // namespace damask
