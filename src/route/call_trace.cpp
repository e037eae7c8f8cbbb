#include "route/call_trace.h"

#include "base/hash.h"
#include "base/log.h"

#include <cstdio>

namespace damask {

namespace {

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return "not-sent";
    case AttemptEnd::Refused:
        return "refused";
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::Lost:
        return "lost";
    }
    return "lost";
}

/// Writes one JSON object, member by member.
class JsonObject
{
public:
    explicit JsonObject(std::string &out)
        : m_out(out)
    {
        m_out += '{';
    }
    JsonObject &text(std::string_view name, std::string_view value)
    {
        key(name);
        appendJsonString(m_out, value);
        return *this;
    }
    JsonObject &integer(std::string_view name, uint64_t value)
    {
        key(name);
        m_out += std::to_string(value);
        return *this;
    }
    JsonObject &number(std::string_view name, double value)
    {
        std::array<char, 32> buf{};
        std::snprintf(buf.data(), buf.size(), "%.3f", value);
        key(name);
        m_out += buf.data();
        return *this;
    }
    JsonObject &boolean(std::string_view name, bool value)
    {
        key(name);
        m_out += value ? "true" : "false";
        return *this;
    }
    std::string &list(std::string_view name) // the caller appends "[...]"
    {
        key(name);
        return m_out;
    }
    void end()
    {
        m_out += '}';
    }

private:
    void key(std::string_view name)
    {
        if (!m_first) {
            m_out += ',';
        }
        m_first = false;
        appendJsonString(m_out, name);
        m_out += ':';
    }

    std::string &m_out;
    bool m_first = true;
};

void appendCode(JsonObject &object, Code code)
{
    if (code != Code::Ok) {
        object.integer("code", static_cast<uint64_t>(codeNumber(code))).text("codeName", codeName(code));
    }
}

void appendAttempt(std::string &out, const AttemptTrace &attempt)
{
    JsonObject object(out);
    object.text("target", attempt.target.view());
    object.boolean("hedge", attempt.hedge);
    object.number("waitedMs", attempt.waited);
    object.integer("asked", attempt.asked).integer("others", attempt.others);
    if (attempt.reportAge >= 0) {
        object.number("reportAgeMs", attempt.reportAge);
    }
    object.number("estimate", attempt.estimate).number("slowdown", attempt.slowdown);
    if (attempt.coldLeft > 0) {
        object.number("coldForMs", attempt.coldLeft);
    }
    if (!attempt.finished) {
        object.text("end", "left").end();
        return;
    }
    object.text("end", attemptEndName(attempt.end));
    appendCode(object, attempt.code);
    if (attempt.status != 0) {
        object.integer("status", attempt.status);
    }
    object.number("connectMs", attempt.connect).number("elapsedMs", attempt.elapsed);
    if (attempt.denial != RetryDenial::None && attempt.denial != RetryDenial::NotNeeded) {
        object.text("noRetry", retryDenialName(attempt.denial));
    }
    object.end();
}

void appendTarget(std::string &out, const TargetSnapshot &target)
{
    JsonObject object(out);
    object.text("target", target.name.view());
    object.integer("inFlight", target.inFlight);
    object.number("estimate", target.estimate);
    if (target.reportAge >= 0) {
        object.number("reportAgeMs", target.reportAge);
    }
    object.number("oldestCallMs", target.oldestCall).number("typicalMs", target.typicalTime);
    object.boolean("draining", target.draining).boolean("ejected", target.ejected);
    if (target.evacuated) {
        object.boolean("evacuated", true);
    }
    if (target.coldLeft > 0) {
        object.number("coldForMs", target.coldLeft);
    }
    object.end();
}

template<class T, class Append>
void appendList(std::string &out, std::span<const T> items, const Append &append)
{
    out += '[';
    for (size_t n = 0; n < items.size(); ++n) {
        out += n == 0 ? "" : ",";
        append(out, items[n]);
    }
    out += ']';
}

/// What was decided by the caller's key. Never contains the key.
void appendAccount(JsonObject &object, const CallTrace &trace)
{
    if (trace.keyCheck == KeyCheck::Off) {
        return;
    }
    object.text("account", trace.account.view()).text("keyCheck", keyCheckName(trace.keyCheck));
    if (trace.configurationAge >= 0) {
        object.number("configurationAgeMs", trace.configurationAge);
    }
    if (trace.accountUsage >= 0) {
        object.number("accountUsage", trace.accountUsage).number("quotaWaitedMs", trace.quotaWaited);
    }
}

void appendTrace(std::string &out, const CallTrace &trace, TimePoint now)
{
    JsonObject object(out);
    object.text("requestId", trace.requestId.view());
    object.text("service", trace.service.view());
    object.text("rule", trace.rule.view());
    appendAccount(object, trace);
    if (!trace.homes.view().empty()) {
        object.text("homes", trace.homes.view());
    }
    object.integer("revision", trace.revision);
    object.number("agoMs", toMilliseconds(now - trace.endedAt));
    object.boolean("idempotent", trace.idempotent);
    object.integer("depth", trace.depth);
    if (trace.ahead > 0) {
        object.integer("ahead", trace.ahead);
    }
    if (!trace.heldBy.view().empty()) {
        object.text("heldBy", trace.heldBy.view()).number("heldMs", trace.held);
    }
    object.text("outcome", outcomeName(trace.outcome));
    appendCode(object, trace.code);
    object.integer("status", trace.status);
    object.number("allowedMs", trace.allowed).number("objectiveMs", trace.objective).number("tookMs", trace.totalTime);
    if (trace.hedgeDelay > 0) {
        object.number("hedgeAfterMs", trace.hedgeDelay);
    }
    if (trace.hedgeDenial != HedgeDenial::None) {
        object.text("noHedge", hedgeDenialName(trace.hedgeDenial));
    }
    appendList(object.list("attempts"), std::span(trace.attempts).first(trace.attemptCount), appendAttempt);
    appendList(object.list("known"), std::span(trace.targets).first(trace.targetCount), appendTarget);
    object.end();
}

} // namespace

std::string toJson(const CallTrace &trace, TimePoint now)
{
    std::string out;
    appendTrace(out, trace, now);
    return out;
}

AttemptTrace &CallTrace::addAttempt(std::string_view target)
{
    if (attemptCount < attempts.size()) {
        ++attemptCount;
    }
    AttemptTrace &out = attempts[attemptCount - 1];
    out = AttemptTrace();
    out.target.assign(target);
    return out;
}

CallTraceRing::CallTraceRing(size_t capacity)
    : m_traces(capacity)
{
}

void CallTraceRing::add(const CallTrace &trace)
{
    if (m_traces.empty()) {
        return;
    }
    LockGuard lock(m_mutex);
    m_traces[m_next] = trace;
    m_next = (m_next + 1) % m_traces.size();
    m_count = std::min(m_count + 1, m_traces.size());
}

std::string CallTraceRing::byRequest(std::string_view requestId, TimePoint now) const
{
    CallTrace found;
    const uint64_t hash = hashBytes(requestId);
    bool any = false;
    {
        LockGuard lock(m_mutex);
        for (size_t n = 0; n < m_count && !any; ++n) {
            any = newest(n).idHash == hash;
            if (any) {
                found = newest(n);
            }
        }
    }
    return any ? toJson(found, now) : std::string();
}

std::string CallTraceRing::byService(std::string_view service, size_t limit, TimePoint now) const
{
    std::vector<CallTrace> found;
    {
        LockGuard lock(m_mutex);
        for (size_t n = 0; n < m_count && found.size() < limit; ++n) {
            if (newest(n).service.view() == service) {
                found.push_back(newest(n));
            }
        }
    }
    std::string out;
    appendList<CallTrace>(out, found, [now](std::string &to, const CallTrace &it) { appendTrace(to, it, now); });
    return out;
}

const CallTrace &CallTraceRing::newest(size_t back) const
{
    return m_traces[(m_next + m_traces.size() - 1 - back) % m_traces.size()];
}

} // namespace damask
