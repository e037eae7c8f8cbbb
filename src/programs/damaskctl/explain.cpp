#include "programs/damaskctl/explain.h"

#include "base/result.h"
#include "programs/damaskctl/advice.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <vector>

namespace damask {

namespace {

using Json = nlohmann::json;

constexpr int FirstServerError = 500; // HTTP status

/// A log line of the request.
struct Line {
    std::string time;   // as written
    std::string prefix; // text before the object, such as an instance's name
    Json call;
};

std::string textOf(const Json &object, const char *name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

double numberOf(const Json &object, const char *name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_number() ? it->get<double>() : 0;
}

std::string shortNumber(double number)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.3g", number);
    return buf.data();
}

void collectLine(std::string_view line, std::string_view requestId, std::vector<Line> &out)
{
    if (line.find(requestId) == std::string_view::npos) {
        return;
    }
    const size_t at = line.find('{');
    if (at == std::string_view::npos) {
        return;
    }
    const Json object = Json::parse(line.substr(at), nullptr, false);
    if (!object.is_object()) {
        return;
    }
    const auto call = object.find("call");
    if (call == object.end() || !call->is_object() || textOf(*call, "requestId") != requestId) {
        return;
    }
    std::string prefix(line.substr(0, at));
    prefix.erase(prefix.find_last_not_of(" \t") + 1);
    out.push_back({textOf(object, "time"), prefix, *call});
}

void appendAttempt(std::string &out, const Json &attempt)
{
    out += "  sent to " + textOf(attempt, "target") + ": " + textOf(attempt, "end");
    const std::string code = textOf(attempt, "codeName");
    out += code.empty() ? "" : " (" + code + ")";
    out += " after " + shortNumber(numberOf(attempt, "elapsedMs")) + " ms; chosen among "
           + shortNumber(numberOf(attempt, "others")) + ", with " + shortNumber(numberOf(attempt, "estimate"))
           + " calls estimated there and calls taking " + shortNumber(numberOf(attempt, "slowdown"))
           + " times as long as usual";
    out += attempt.contains("reportAgeMs")
               ? ", reported " + shortNumber(numberOf(attempt, "reportAgeMs")) + " ms before"
               : ", without a report of its own";
    out += attempt.contains("coldForMs") ? ", cold for another " + shortNumber(numberOf(attempt, "coldForMs")) + " ms"
                                         : "";
    const std::string noRetry = textOf(attempt, "noRetry");
    out += noRetry.empty() ? "\n" : "; no other attempt: " + noRetry + "\n";
}

std::string meaningOf(Code code)
{
    const auto codes = codeTable();
    const auto it = std::find_if(codes.begin(), codes.end(), [code](const CodeInfo &n) { return n.code == code; });
    return it == codes.end() ? std::string() : std::string(it->meaning);
}

std::string causeOf(const Json &call)
{
    const auto code = static_cast<int>(numberOf(call, "code"));
    const auto status = static_cast<int>(numberOf(call, "status"));
    const double objective = numberOf(call, "objectiveMs");
    if (code != 0) {
        return meaningOf(codeFromNumber(code));
    }
    if (status >= FirstServerError) {
        return "The target itself answered " + std::to_string(status) + ".";
    }
    if (objective > 0 && numberOf(call, "tookMs") > objective) {
        return "It was answered later than the " + shortNumber(objective) + " ms objective of its rule.";
    }
    return "It was answered in time.";
}

void appendCall(std::string &out, const Line &line)
{
    const Json &call = line.call;
    out += line.time + (line.prefix.empty() ? "" : " " + line.prefix) + "\n";
    const std::string account = textOf(call, "account");
    out += "  rule " + textOf(call, "rule") + (account.empty() ? "" : ", account " + account) + ", service "
           + textOf(call, "service") + ", revision " + shortNumber(numberOf(call, "revision")) + "; allowed "
           + shortNumber(numberOf(call, "allowedMs")) + " ms, took " + shortNumber(numberOf(call, "tookMs")) + " ms\n";
    const std::string homes = textOf(call, "homes");
    out += homes.empty() ? "" : "  served only in the home regions " + homes + "\n";
    if (call.contains("ahead")) {
        out += "  started while " + shortNumber(numberOf(call, "ahead")) + " earlier requests of its connection ran\n";
    }
    if (call.contains("heldBy")) {
        out += "  waited " + shortNumber(numberOf(call, "heldMs"))
               + " ms for earlier requests of its connection: " + textOf(call, "heldBy") + "\n";
    }
    if (call.contains("hedgeAfterMs")) {
        out += "  second attempt due after " + shortNumber(numberOf(call, "hedgeAfterMs")) + " ms\n";
    }
    if (const std::string noHedge = textOf(call, "noHedge"); !noHedge.empty()) {
        out += "  no second attempt: " + noHedge + "\n";
    }
    const auto attempts = call.find("attempts");
    if (attempts != call.end() && attempts->is_array()) {
        for (const Json &it : *attempts) {
            appendAttempt(out, it);
        }
    }
    out += "  answer to the caller: " + textOf(call, "outcome") + ", status " + shortNumber(numberOf(call, "status"))
           + "\n";
    out += "  cause: " + causeOf(call) + "\n";
}

} // namespace

std::string explain(std::string_view requestId, std::string_view log)
{
    std::vector<Line> lines;
    while (!log.empty() && !requestId.empty()) {
        const size_t end = std::min(log.find('\n'), log.size());
        collectLine(log.substr(0, end), requestId, lines);
        log.remove_prefix(std::min(end + 1, log.size()));
    }
    std::stable_sort(lines.begin(), lines.end(), [](const Line &a, const Line &b) { return a.time < b.time; });
    std::string out;
    for (const Line &it : lines) {
        appendCall(out, it);
    }
    return out;
}

} // namespace damask
