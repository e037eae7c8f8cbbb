#include "programs/damaskctl/render.h"

#include "base/result.h"
#include "programs/damaskctl/advice.h"

#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

namespace damask {

namespace {

using Json = nlohmann::json;

constexpr int64_t MsPerSecond = 1000;

Json parse(std::string_view json)
{
    Json parsed = Json::parse(json, nullptr, false);
    return parsed.is_object() ? parsed : Json::object();
}

std::string textOf(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

int64_t numberOf(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_number_integer() ? it->get<int64_t>() : 0;
}

Json listOf(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_array() ? *it : Json::array();
}

std::string timeText(int64_t ms)
{
    if (ms == 0) {
        return "-";
    }
    const time_t seconds = ms / MsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char buf[32];
    const size_t n = std::strftime(buf, sizeof buf, "%Y-%m-%d %H:%M:%S UTC", &parts);
    return std::string(buf, n);
}

std::string lines(const Json &list, std::string_view indent)
{
    std::string out;
    for (const Json &it : list) {
        if (it.is_string()) {
            out += std::string(indent) + it.get<std::string>() + "\n";
        }
    }
    return out;
}

std::string codeText(const Json &json)
{
    return textOf(json, "name") + " (" + std::to_string(numberOf(json, "code")) + ")";
}

std::string failureText(const Json &json)
{
    const std::string detail = textOf(json, "detail");
    const std::string_view advice = adviceFor(codeFromNumber(static_cast<int>(numberOf(json, "code"))));
    std::string out = codeText(json) + "\n" + (detail.empty() ? "" : detail + "\n");
    out += advice.empty() ? "" : "What to do: " + std::string(advice) + "\n";
    return out;
}

std::string waitingText(const Json &json, int64_t now)
{
    std::string out;
    for (const Json &it : listOf(json, "waiting")) {
        const int64_t seconds = std::max<int64_t>(0, now - numberOf(it, "since")) / MsPerSecond;
        out += "  waiting for " + textOf(it, "instance") + " for " + std::to_string(seconds)
               + " s: " + textOf(it, "why") + "\n";
    }
    for (const Json &it : listOf(json, "passedOver")) {
        out += "  not waited for, instance gone: " + (it.is_string() ? it.get<std::string>() : "") + "\n";
    }
    return out;
}

std::string msText(const Json &json, const char *key)
{
    const auto it = json.find(key);
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.1f ms", it != json.end() && it->is_number() ? it->get<double>() : 0.0);
    return buf;
}

std::string attemptText(const Json &attempt)
{
    const std::string code = textOf(attempt, "codeName");
    return "  " + textOf(attempt, "target") + ": " + textOf(attempt, "end") + (code.empty() ? "" : " " + code)
           + ", waited " + msText(attempt, "waitedMs") + " for a slot, took " + msText(attempt, "elapsedMs") + "\n";
}

/// A call from an entry's /why: its outcome, then each attempt.
std::string callText(const Json &call)
{
    const std::string code = textOf(call, "codeName");
    std::string out = "call " + textOf(call, "requestId") + ": " + textOf(call, "outcome")
                      + (code.empty() ? "" : " " + code) + " after " + msText(call, "tookMs") + " of "
                      + msText(call, "allowedMs") + ", service " + textOf(call, "service") + " by rule "
                      + textOf(call, "rule") + ", effective revision " + std::to_string(numberOf(call, "revision"))
                      + "\n";
    const std::string noHedge = textOf(call, "noHedge");
    out += noHedge.empty() ? "" : "  no second attempt: " + noHedge + "\n";
    for (const Json &it : listOf(call, "attempts")) {
        out += it.is_object() ? attemptText(it) : "";
    }
    return out;
}

double fractionOf(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_number() ? it->get<double>() : 0;
}

bool flagOf(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_boolean() && it->get<bool>();
}

std::string candidateText(const Json &candidate)
{
    char buf[96];
    std::snprintf(buf, sizeof buf, "%.1f of %lld slots in use, expected %.1f ms", fractionOf(candidate, "estimate"),
                  static_cast<long long>(numberOf(candidate, "slots")), fractionOf(candidate, "costMs"));
    const std::string leftOut = textOf(candidate, "leftOut");
    return "  " + textOf(candidate, "target") + " (" + textOf(candidate, "dataCentre") + "): " + buf
           + (flagOf(candidate, "cold") ? ", cold" : "")
           + (candidate.contains("reportAgeMs") ? ", reported " + msText(candidate, "reportAgeMs") + " ago" : "")
           + (leftOut.empty() ? "" : "; left out: " + leftOut) + "\n";
}

std::string quotaText(const Json &quota)
{
    char buf[128];
    std::snprintf(buf, sizeof buf, "quota %.1f a second: %llu tokens held here, usage %.2f",
                  fractionOf(quota, "requestsPerSecond"), static_cast<unsigned long long>(numberOf(quota, "tokens")),
                  fractionOf(quota, "usage"));
    const bool waits = fractionOf(quota, "retryAfterMs") > 0;
    return std::string(buf) + (waits ? ", none expected for " + msText(quota, "retryAfterMs") : "") + "\n";
}

std::string servicePreviewText(const Json &service)
{
    const std::string chosen = textOf(service, "chosen");
    const std::string code = textOf(service, "codeName");
    std::string out = "service " + textOf(service, "service") + ": "
                      + (chosen.empty() ? "no target" : "would go to " + chosen) + (code.empty() ? "" : ", " + code)
                      + "; " + std::to_string(numberOf(service, "queued")) + " calls queued"
                      + (flagOf(service, "shortage") ? ", slots are short" : "") + "\n";
    for (const Json &it : listOf(service, "candidates")) {
        out += it.is_object() ? candidateText(it) : "";
    }
    return out;
}

std::string unchangedText(const Json &plan)
{
    std::string names;
    for (const Json &it : listOf(plan, "unchanged")) {
        names += it.is_string() ? (names.empty() ? "" : ", ") + it.get<std::string>() : "";
    }
    return names.empty()
               ? ""
               : "Not changed by this ticket; leave them out, so that other tickets stay valid:\n  " + names + "\n";
}

} // namespace

std::string renderTicketStatus(std::string_view json, int64_t now)
{
    const Json ticket = parse(json);
    const std::string state = textOf(ticket, "state");
    std::string out = "ticket " + std::to_string(numberOf(ticket, "number")) + ": " + state + "\n";
    out += "  operator   " + textOf(ticket, "operator") + "\n";
    out += "  comment    " + textOf(ticket, "comment") + "\n";
    out += "  submitted  " + timeText(numberOf(ticket, "submittedAt")) + "\n";
    out += "  ended      " + timeText(numberOf(ticket, "endedAt")) + "\n";
    if (state == "accepted") {
        out += "  revision   " + std::to_string(numberOf(ticket, "revision")) + ", in force on every live instance\n";
    }
    if (state == "refused") {
        out += failureText(ticket);
    }
    return out + waitingText(ticket, now);
}

std::string renderTicketList(std::string_view json)
{
    const Json list = parse(json);
    std::string out;
    for (const Json &it : listOf(list, "tickets")) {
        const std::string reason = numberOf(it, "code") == 0 ? "" : " " + codeText(it);
        out += std::to_string(numberOf(it, "number")) + "  " + textOf(it, "state") + reason + "  "
               + timeText(numberOf(it, "submittedAt")) + "  " + textOf(it, "operator") + "  " + textOf(it, "comment")
               + "\n";
    }
    return out + "accepted revision " + std::to_string(numberOf(list, "revision")) + "; next free number "
           + std::to_string(numberOf(list, "nextFreeNumber")) + "\n";
}

std::string renderDiff(std::string_view json)
{
    const std::string out = lines(listOf(parse(json), "diff"), "");
    return out.empty() ? "no difference\n" : out;
}

std::string renderCheckResult(std::string_view json)
{
    const Json plan = parse(json);
    std::string out = "Changes:\n" + lines(listOf(plan, "diff"), "  ");
    const std::string effect = lines(listOf(plan, "effect"), "  ");
    out += "Effect:\n" + (effect.empty() ? "  no target stops receiving calls, no capacity is lost\n" : effect);
    out += unchangedText(plan);
    if (numberOf(plan, "code") != 0) {
        return out + "The ticket would be refused: " + failureText(plan);
    }
    return out
           + "The ticket would be accepted. Nothing has been changed yet: submit it with `damaskctl ticket submit "
             "FILE`.\n";
}

std::string renderCallTraces(std::string_view json)
{
    const Json calls = Json::parse(json, nullptr, false);
    if (!calls.is_array()) {
        return std::string(json);
    }
    std::string out;
    for (const Json &it : calls) {
        out += it.is_object() ? callText(it) : "";
    }
    return out.empty() ? "no such call found; entries keep only the last few thousand calls\n" : out;
}

std::string renderPreview(std::string_view json)
{
    const Json preview = parse(json);
    const std::string rule = textOf(preview, "rule");
    const std::string account = textOf(preview, "account");
    const std::string check = textOf(preview, "keyCheck");
    const std::string code = textOf(preview, "codeName");
    std::string out = (rule.empty() ? "no rule" : "rule " + rule) + ", account " + (account.empty() ? "none" : account)
                      + (check.empty() || check == "off" ? "" : " (key " + check + ")") + ", "
                      + (flagOf(preview, "idempotent") ? "idempotent" : "runs once") + ", revision "
                      + std::to_string(numberOf(preview, "revision")) + "\n";
    out += code.empty() ? "" : "would be refused: " + codeText({{"name", code}, {"code", preview["code"]}}) + "\n";
    if (const auto quota = preview.find("quota"); quota != preview.end() && quota->is_object()) {
        out += quotaText(*quota);
    }
    for (const Json &it : listOf(preview, "services")) {
        out += it.is_object() ? servicePreviewText(it) : "";
    }
    return out;
}

std::string renderFailure(std::string_view json)
{
    const Json failure = parse(json);
    return failure.contains("code") ? failureText(failure) : "the answer is malformed: " + std::string(json) + "\n";
}

std::string renderCodes()
{
    std::string out;
    for (const CodeInfo &it : codeTable()) {
        const std::string_view advice = adviceFor(it.code);
        out += std::to_string(codeNumber(it.code)) + "  " + std::string(it.name) + "  " + std::string(it.meaning);
        out += advice.empty() ? "\n" : " " + std::string(advice) + "\n";
    }
    return out;
}

} // namespace damask
