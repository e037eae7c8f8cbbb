/// Traces of recent calls: the decisions made for each call and the data they were based on.
///
/// The traces have a fixed size and are kept in a ring buffer. A trace is filled on the stack of the thread that
/// dispatches the call and copied into the buffer once; JSON is generated only on request.
#pragma once

#include "base/lock.h"
#include "call/message.h"
#include "route/account_gate.h"
#include "route/hedge_policy.h"
#include "route/retry.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// A string of at most N bytes. Longer text is truncated.
template<size_t N>
class FixedString
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

/// Trace of one attempt.
struct AttemptTrace {
    FixedString<47> target; // "pool/target"
    AttemptEnd      end = AttemptEnd::NotSent;
    RetryDenial     denial = RetryDenial::None; // why it was not retried; None: it was retried
    bool            hedge = false;
    bool            finished = false; // false: the call ended while it was running
    Code            code = Code::Ok;
    uint16_t        status = 0;     // HTTP status, if answered
    float           waited = 0;     // ms, waiting for a slot
    float           reportAge = -1; // ms, age of the target's last load report when it was chosen; -1: no report
    float           estimate = 0;   // calls in flight at the target from all instances, estimated when it was chosen
    float           slowdown = 1;   // service time relative to normal when it was chosen
    float           coldLeft = 0;   // ms that the target stayed cold when it was chosen
    uint16_t        others = 0;     // candidates compared in the choice
    uint16_t        asked = 0;      // targets probed for the choice
    float           connect = 0;    // ms; 0: a connection was reused
    float           elapsed = 0;    // ms, from send to end
};

/// State of one target when a call was rejected or failed.
struct TargetSnapshot {
    FixedString<47> name;
    float           estimate = 0;    // calls in flight from all instances, estimated
    float           reportAge = -1;  // ms; -1: no report
    float           oldestCall = 0;  // ms
    float           typicalTime = 0; // ms
    uint16_t        inFlight = 0;    // from this instance
    bool            draining = false;
    bool            ejected = false;
    bool            evacuated = false;
    float           coldLeft = 0; // ms
};

constexpr size_t MaxTargetSnapshots = 24; // per trace

/// Trace of one call.
struct CallTrace {
    uint64_t        idHash = 0;
    FixedString<63> requestId;
    FixedString<31> service;
    FixedString<31> rule;
    FixedString<63> homes;   // home regions of the rule, comma-separated; empty: none
    FixedString<31> account; // client account; empty: none
    KeyCheck        keyCheck = KeyCheck::Off;
    float           configurationAge = -1; // ms, if the check of the key needed it
    float           accountUsage = -1;     // share of the quota; -1: not measured
    float           quotaWaited = 0;       // ms, for quota
    TimePoint       endedAt;
    bool            idempotent = false;
    uint8_t         attemptCount = 0;
    uint8_t         targetCount = 0; // 0: not recorded
    uint16_t        depth = 0;
    uint16_t        ahead = 0; // requests of its connection in flight at its start
    FixedString<15> heldBy;    // why it waited for them (front/pipeline.h); empty: no
    float           held = 0;  // ms, for how long
    uint16_t        status = 0;
    Outcome         outcome = Outcome::NotRun;
    Code            code = Code::Ok;
    uint64_t        revision = 0;                    // of the active configuration
    float           allowed = 0;                     // ms, time until the deadline at arrival
    float           objective = 0;                   // ms, response time objective of the rule; 0: none
    float           totalTime = 0;                   // ms, from arrival
    float           hedgeDelay = 0;                  // ms, after which a hedge was due; 0: none planned
    HedgeDenial     hedgeDenial = HedgeDenial::None; // why none was sent, where a limit of hedges is set
    std::array<AttemptTrace, MaxAttempts>          attempts;
    std::array<TargetSnapshot, MaxTargetSnapshots> targets;

    AttemptTrace &addAttempt(std::string_view target); // reuses the last element when all are in use
};

/// The trace as one JSON object, as printed in logs and by `damaskctl why`.
std::string toJson(const CallTrace &trace, TimePoint now);

/// Ring buffer of the most recent call traces. Thread-safe.
class CallTraceRing
{
public:
    explicit CallTraceRing(size_t capacity); // maximum number of traces; 0: keeps none

    void        add(const CallTrace &trace);
    std::string byRequest(std::string_view requestId, TimePoint now) const;             // JSON; empty if not kept
    std::string byService(std::string_view service, size_t limit, TimePoint now) const; // JSON list, newest first

private:
    const CallTrace &newest(size_t back) const;

    mutable RankedMutex    m_mutex{LockRank::Leaf};
    std::vector<CallTrace> m_traces;
    size_t                 m_next = 0;
    size_t                 m_count = 0;
};

} // namespace damask
