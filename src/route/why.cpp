#include "route/why.h"

#include "base/hash.h"
#include "base/log.h"

#include <cstdio>

namespace damask {

namespace {

std::string_view endName(AttemptEnd end)
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
    JsonObject &whole(std::string_view name, uint64_t value)
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
    JsonObject &flag(std::string_view name, bool value)
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
        object.whole("code", static_cast<uint64_t>(codeNumber(code))).text("codeName", codeName(code));
    }
}

void appendAttempt(std::string &out, const WhyAttempt &attempt)
{
    JsonObject object(out);
    object.text("target", attempt.target.view());
    object.flag("hedge", attempt.hedge);
    object.number("waitedMs", attempt.waited);
    object.whole("asked", attempt.asked).whole("others", attempt.others);
    if (attempt.reportAge >= 0) {
        object.number("reportAgeMs", attempt.reportAge);
    }
    object.number("estimate", attempt.estimate).number("slowdown", attempt.slowdown);
    if (!attempt.finished) {
        object.text("end", "left").end();
        return;
    }
    object.text("end", endName(attempt.end));
    appendCode(object, attempt.code);
    if (attempt.status != 0) {
        object.whole("status", attempt.status);
    }
    object.number("connectMs", attempt.connect).number("elapsedMs", attempt.elapsed);
    if (attempt.denial != RetryDenial::None && attempt.denial != RetryDenial::NotNeeded) {
        object.text("noRetry", retryDenialName(attempt.denial));
    }
    object.end();
}

void appendTarget(std::string &out, const WhyTarget &target)
{
    JsonObject object(out);
    object.text("target", target.name.view());
    object.whole("inFlight", target.inFlight);
    object.number("estimate", target.estimate);
    if (target.reportAge >= 0) {
        object.number("reportAgeMs", target.reportAge);
    }
    object.number("oldestCallMs", target.oldestCall).number("typicalMs", target.typicalTime);
    object.flag("draining", target.draining).flag("ejected", target.ejected);
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

void appendRecord(std::string &out, const WhyRecord &record, TimePoint now)
{
    JsonObject object(out);
    object.text("requestId", record.requestId.view());
    object.text("service", record.service.view());
    object.text("rule", record.rule.view());
    object.whole("revision", record.revision);
    object.number("agoMs", toMilliseconds(now - record.endedAt));
    object.flag("idempotent", record.idempotent);
    object.whole("depth", record.depth);
    object.text("outcome", outcomeName(record.outcome));
    appendCode(object, record.code);
    object.whole("status", record.status);
    object.number("allowedMs", record.allowed).number("objectiveMs", record.objective).number("tookMs", record.took);
    appendList(object.list("attempts"), std::span(record.attempts).first(record.attemptCount), appendAttempt);
    appendList(object.list("known"), std::span(record.targets).first(record.targetCount), appendTarget);
    object.end();
}

} // namespace

std::string toJson(const WhyRecord &record, TimePoint now)
{
    std::string out;
    appendRecord(out, record, now);
    return out;
}

WhyAttempt &WhyRecord::addAttempt(std::string_view target)
{
    if (attemptCount < attempts.size()) {
        ++attemptCount;
    }
    WhyAttempt &out = attempts[attemptCount - 1];
    out = WhyAttempt();
    out.target.assign(target);
    return out;
}

WhyRing::WhyRing(size_t records)
    : m_records(records)
{
}

void WhyRing::add(const WhyRecord &record)
{
    if (m_records.empty()) {
        return;
    }
    LockGuard lock(m_mutex);
    m_records[m_next] = record;
    m_next = (m_next + 1) % m_records.size();
    m_held = std::min(m_held + 1, m_records.size());
}

std::string WhyRing::byRequest(std::string_view requestId, TimePoint now) const
{
    WhyRecord found;
    const uint64_t hash = hashBytes(requestId);
    bool any = false;
    {
        LockGuard lock(m_mutex);
        for (size_t n = 0; n < m_held && !any; ++n) {
            any = newest(n).idHash == hash;
            if (any) {
                found = newest(n);
            }
        }
    }
    return any ? toJson(found, now) : std::string();
}

std::string WhyRing::byService(std::string_view service, size_t most, TimePoint now) const
{
    std::vector<WhyRecord> found;
    {
        LockGuard lock(m_mutex);
        for (size_t n = 0; n < m_held && found.size() < most; ++n) {
            if (newest(n).service.view() == service) {
                found.push_back(newest(n));
            }
        }
    }
    std::string out;
    appendList<WhyRecord>(out, found, [now](std::string &to, const WhyRecord &it) { appendRecord(to, it, now); });
    return out;
}

const WhyRecord &WhyRing::newest(size_t back) const
{
    return m_records[(m_next + m_records.size() - 1 - back) % m_records.size()];
}

} // namespace damask
