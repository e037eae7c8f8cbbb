#include "damask-load/record.h"

#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace damask::standin {

namespace {

constexpr int Bins = 1850;              // about 1% each
constexpr double MinLatencyMs = 0.001;  // 1 us
constexpr double MaxLatencyMs = 100000; // 100 s
constexpr int MinFailureStatus = 300;   // HTTP status from which a call counts as failed

void addViolation(Violations &violations, uint64_t &counter, const CallRecord &record, std::string_view what)
{
    ++counter;
    if (violations.firstViolation.empty()) {
        violations.firstViolation = record.id + ": " + std::string(what);
    }
}

std::string row(std::string_view name, double value, std::string_view unit)
{
    std::array<char, 96> buf{};
    std::snprintf(buf.data(), buf.size(), "  %-16s %12.3f %s\n", std::string(name).c_str(), value,
                  std::string(unit).c_str());
    return buf.data();
}

bool failed(const CallRecord &record)
{
    return !record.answered || record.status >= MinFailureStatus;
}

double percentileOf(std::vector<Duration> &latencies, double share)
{
    if (latencies.empty()) {
        return 0;
    }
    const auto index = static_cast<ptrdiff_t>(share * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + index, latencies.end());
    return toMilliseconds(latencies[static_cast<size_t>(index)]);
}

std::vector<RunWindow> windowsOf(std::span<const CallRecord> records)
{
    std::vector<RunWindow> windows;
    std::vector<std::vector<Duration>> latencies;
    for (const CallRecord &it : records) {
        const auto index = static_cast<size_t>(it.at / WindowLength);
        if (index >= windows.size()) {
            windows.resize(index + 1);
            latencies.resize(index + 1);
        }
        ++windows[index].calls;
        windows[index].failed += failed(it) ? 1 : 0;
        if (it.answered) {
            latencies[index].push_back(it.latency);
        }
    }
    for (size_t n = 0; n < windows.size(); ++n) {
        windows[n].p99 = percentileOf(latencies[n], 0.99);
    }
    return windows;
}

std::string countRows(std::string_view title, const std::map<std::string, uint64_t> &counts)
{
    std::string out = std::string(title) + "\n";
    for (const auto &[name, count] : counts) {
        std::array<char, 128> buf{};
        std::snprintf(buf.data(), buf.size(), "  %-28s %10llu\n", name.c_str(), static_cast<unsigned long long>(count));
        out += buf.data();
    }
    return out;
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_bins(boost::histogram::make_histogram(Axis(Bins, MinLatencyMs, MaxLatencyMs)))
{
}

void LatencyHistogram::add(Duration latency)
{
    m_bins(std::max(toMilliseconds(latency), MinLatencyMs));
    ++m_count;
}

double LatencyHistogram::percentile(double share) const
{
    const double wanted = share * static_cast<double>(m_count);
    double seen = 0;
    for (int n = 0; n < Bins; ++n) {
        seen += m_bins.at(n);
        if (seen >= wanted && seen > 0) {
            return m_bins.axis(0).bin(n).upper();
        }
    }
    return m_count == 0 ? 0 : MaxLatencyMs;
}

uint64_t LatencyHistogram::count() const
{
    return m_count;
}

void readLedger(std::string_view text, Ledger &ledger)
{
    while (!text.empty()) {
        const size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const size_t space = line.rfind(' ');
        if (space != std::string_view::npos) {
            ledger[std::string(line.substr(0, space))] +=
                static_cast<int>(parseNumber(line.substr(space + 1)).value_or(0));
        }
    }
}

Violations findViolations(std::span<const CallRecord> records, const Ledger &ledger)
{
    Violations out;
    for (const CallRecord &it : records) {
        const auto entry = ledger.find(it.id);
        const int ran = entry == ledger.end() ? 0 : entry->second;
        const bool succeeded = !failed(it);
        if (!it.answered) {
            addViolation(out, out.unanswered, it, "no response received");
        }
        if (it.answered && !it.matchesRequest) {
            addViolation(out, out.wrongAnswer, it, "the response does not match this request");
        }
        if (!it.idempotent && succeeded && ran == 0) {
            addViolation(out, out.lost, it, "answered with status 2xx, but never run");
        }
        if (!it.idempotent && ran > 1) {
            addViolation(out, out.duplicated, it, "run more than once");
        }
        if (it.answered && it.outcome == Outcome::NotRun && ran > 0) {
            addViolation(out, out.notRunButRan, it, "reported as not run, but it ran");
        }
    }
    return out;
}

RunSummary summarise(std::span<const CallRecord> records)
{
    RunSummary out;
    for (const CallRecord &it : records) {
        ++out.calls;
        ++out.outcomes[it.answered ? std::string(outcomeName(it.outcome)) : "no answer"];
        ++out.codes[it.code.empty() ? "none told" : it.code];
        if (it.answered) {
            out.all.add(it.latency);
        }
        if (!failed(it)) {
            ++out.succeeded;
            out.successful.add(it.latency);
            ++out.targets[it.target];
        } else {
            out.lastFailure = std::max(out.lastFailure, toSeconds(it.at));
        }
    }
    out.windows = windowsOf(records);
    return out;
}

std::string summaryTable(const RunSummary &summary, Duration took)
{
    const Violations &violations = summary.violations;
    std::string out = "calls\n";
    out += row("sent", static_cast<double>(summary.calls), "calls");
    out += row("succeeded", static_cast<double>(summary.succeeded), "calls");
    out += row("rate", static_cast<double>(summary.calls) / toSeconds(took), "calls/s");
    out += row("p50", summary.successful.percentile(0.5), "ms");
    out += row("p99", summary.successful.percentile(0.99), "ms");
    out += row("p99.9", summary.successful.percentile(0.999), "ms");
    out += countRows("outcomes", summary.outcomes);
    out += countRows("result codes", summary.codes);
    out += countRows("answered by", summary.targets);
    out += countRows("must be zero", {{"lost", violations.lost},
                                      {"doubled", violations.duplicated},
                                      {"told not run, but ran", violations.notRunButRan},
                                      {"wrong answer", violations.wrongAnswer},
                                      {"cut", violations.unanswered}});
    if (!violations.firstViolation.empty()) {
        out += "first fault: " + violations.firstViolation + "\n";
    }
    return out;
}

std::string summaryJson(const RunSummary &summary, Duration took)
{
    const Violations &violations = summary.violations;
    nlohmann::json windows = nlohmann::json::array();
    for (const RunWindow &it : summary.windows) {
        windows.push_back({{"calls", it.calls}, {"failed", it.failed}, {"p99", it.p99}});
    }
    const nlohmann::json out{{"windows", windows},
                             {"window_s", toSeconds(WindowLength)},
                             {"calls", summary.calls},
                             {"succeeded", summary.succeeded},
                             {"seconds", toSeconds(took)},
                             {"p50", summary.successful.percentile(0.5)},
                             {"p99", summary.successful.percentile(0.99)},
                             {"p999", summary.successful.percentile(0.999)},
                             {"outcomes", summary.outcomes},
                             {"codes", summary.codes},
                             {"targets", summary.targets},
                             {"lost", violations.lost},
                             {"doubled", violations.duplicated},
                             {"not_run_but_ran", violations.notRunButRan},
                             {"wrong_answer", violations.wrongAnswer},
                             {"cut", violations.unanswered},
                             {"last_bad_s", summary.lastFailure},
                             {"first_fault", violations.firstViolation}};
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace damask::standin
