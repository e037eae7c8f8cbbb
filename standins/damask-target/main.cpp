/// damask-target: stand-in for many targets, with fault injection over HTTP.
#include "base/log.h"
#include "call/headers.h"
#include "damask-target/server.h"
#include "operate/server.h"
#include "settings/settings.h"
#include "startup/program.h"

#include <array>
#include <httplib.h>
#include <iostream>

using namespace damask;
using namespace damask::standin;

namespace {

constexpr std::string_view Usage = R"(damask-target: stand-in for many targets.

Usage:
  damask-target [--settings=FILE] [--set=PAIR]... [--check | --print-settings]
  damask-target --help | --version

Options:
  --settings=FILE   INI file with the settings.
  --set=PAIR        One setting as section.key=value; overrides the file.
  --check           Check the settings and exit.
  --print-settings  Print every setting with unit, default and effective value, and exit.
)";

constexpr auto Specs = std::to_array<SettingSpec>({
    {"targets", "address", SettingType::Text, "127.0.0.1", "IP address to listen on."},
    {"targets", "first-port", SettingType::Number, "8001", "Port of the first target; each takes the next.", 1, 65535},
    {"targets", "count", SettingType::Number, "1", "Targets in this process.", 1, 500},
    {"targets", "name-prefix", SettingType::Text, "t", "Names are PREFIX1, PREFIX2, ..."},
    {"targets", "slots", SettingType::Number, "6", "Concurrent requests of each target.", 1, 1000},
    {"targets", "queue-limit", SettingType::Number, "64", "Queued requests; further ones are shed.", 0, 100000},
    {"targets", "service-time", SettingType::Interval, "10 ms", "Mean time to run a request.", 0, 60000},
    {"targets", "spread", SettingType::Fraction, "0.5", "Share of the mean that is exponential.", 0, 1},
    {"targets", "cold-start", SettingType::Interval, "0 ms", "Warm-up time with slower service.", 0, 600000},
    {"targets", "seed", SettingType::Number, "1", "Random seed of service times.", 0, 1e15},
    {"targets", "threads", SettingType::Number, "2", "Workers.", 1, 64},
    {"control", "port", SettingType::Number, "8900", "Port for fault injection.", 1, 65535},
    {"chain", "entry", SettingType::Text, "127.0.0.1", "IP address of the entry for nested calls."},
    {"chain", "entry-port", SettingType::Number, "8080", "Port of the entry for nested calls.", 1, 65535},
});

TargetServerOptions readOptions(const Settings &settings)
{
    TargetServerOptions out;
    out.address = settings.text("targets", "address");
    out.firstPort = static_cast<uint16_t>(settings.number("targets", "first-port"));
    out.namePrefix = settings.text("targets", "name-prefix");
    out.count = static_cast<int>(settings.number("targets", "count"));
    out.threads = static_cast<size_t>(settings.number("targets", "threads"));
    out.seed = static_cast<uint64_t>(settings.number("targets", "seed"));
    out.target.slots = static_cast<int>(settings.number("targets", "slots"));
    out.target.queueLimit = static_cast<int>(settings.number("targets", "queue-limit"));
    out.target.serviceTime = settings.interval("targets", "service-time");
    out.target.spread = settings.fraction("targets", "spread");
    out.target.coldStart = settings.interval("targets", "cold-start");
    return out;
}

/// Sends the nested call through the entry with X-Chain-Left lowered by 1; the entry increments the depth.
NestedCall nestedCallThrough(std::string address, int port)
{
    return [address = std::move(address), port](const HttpRequest &request) {
        thread_local httplib::Client client(address, port);
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        const int64_t left = parseNumber(headerValue(request.headers, "X-Chain-Left")).value_or(0);
        httplib::Headers headers{
            {std::string(header::RequestId),
             std::string(headerValue(request.headers, header::RequestId)) + "." + std::to_string(left)},
            {std::string(header::Depth), std::string(headerValue(request.headers, header::Depth))},
            {std::string(header::Deadline), std::string(headerValue(request.headers, header::Deadline))},
            {"Host", std::string(headerValue(request.headers, "Host"))}};
        if (left > 1) {
            headers.emplace("X-Chain-Left", std::to_string(left - 1));
        }
        const auto result = client.Get(request.path, headers);
        return result ? result->status : 502;
    };
}

/// Sets one fault from a "name=value" pair of the query; false if the name is unknown.
bool readFault(std::string_view key, std::string_view value, TargetFaults &faults)
{
    const double number = parseFraction(value).value_or(0);
    const bool flag = value == "yes";
    const Duration milliseconds = fromMilliseconds(number);
    const std::map<std::string_view, std::function<void()>> setters{
        {"slow-factor",
         [&] {
             faults.slowFactor = number;
         }},
        {"fail-fast",
         [&] {
             faults.failFast = flag;
         }},
        {"draining",
         [&] {
             faults.draining = flag;
         }},
        {"hide-drain",
         [&] {
             faults.hideDrain = flag;
         }},
        {"shed-share",
         [&] {
             faults.shedShare = number;
         }},
        {"silent",
         [&] {
             faults.silent = flag;
         }},
        {"frozen",
         [&] {
             faults.frozen = flag;
         }},
        {"truncate",
         [&] {
             faults.truncate = flag;
         }},
        {"close-after-read",
         [&] {
             faults.closeAfterRead = flag;
         }},
        {"lie-idle",
         [&] {
             faults.reportIdle = flag;
         }},
        {"load-lag-ms",
         [&] {
             faults.loadLag = milliseconds;
         }},
        {"noise-factor",
         [&] {
             faults.noiseFactor = number;
         }},
        {"noise-period-ms",
         [&] {
             faults.noisePeriod = milliseconds;
         }},
    };
    const auto it = setters.find(key);
    if (it == setters.end()) {
        return false;
    }
    it->second();
    return true;
}

OperateResponse handleFault(TargetServer &server, const OperateRequest &request)
{
    const auto name = request.query.find("target");
    if (name == request.query.end()) {
        return {400, "text/plain", "missing target; use target=NAME, or target=* for all\n"};
    }
    bool known = true;
    const bool found = server.setFaults(name->second, [&](TargetFaults &faults) {
        for (const auto &[key, value] : request.query) {
            known = known && (key == "target" || readFault(key, value, faults));
        }
    });
    if (!found || !known) {
        return {400, "text/plain", found ? "no such fault\n" : "no such target\n"};
    }
    return {200, "text/plain", "done\n"};
}

void addRoutes(OperateServer &operate, TargetServer &server)
{
    operate.route("POST", "/fault", [&server](const OperateRequest &request) { return handleFault(server, request); });
    operate.route("POST", "/crash", [&server](const OperateRequest &request) {
        const auto name = request.query.find("target");
        server.crash(name == request.query.end() ? "*" : std::string_view(name->second));
        return OperateResponse{200, "text/plain", "done\n"};
    });
    operate.route("GET", "/ledger", [&server](const OperateRequest &) {
        return OperateResponse{200, "text/plain", server.ledgerText()};
    });
    operate.route("GET", "/status", [&server](const OperateRequest &) {
        return OperateResponse{200, "application/json", server.statusText()};
    });
}

} // namespace

int main(int argc, char **argv)
{
    const auto program = startProgram(argc, argv, {.name = "damask-target", .usage = Usage, .specs = Specs});
    if (!program.settings) {
        return program.exitCode;
    }
    const Settings &settings = *program.settings;
    Clock clock;
    TargetServer server(clock, readOptions(settings),
                        nestedCallThrough(std::string(settings.text("chain", "entry")),
                                          static_cast<int>(settings.number("chain", "entry-port"))));
    OperateServer operate({.port = static_cast<uint16_t>(settings.number("control", "port"))});
    addRoutes(operate, server);
    for (const auto &started : {server.start(), operate.start()}) {
        if (!started) {
            std::cerr << "damask-target: " << started.error().detail << "\n";
            return ExitFailed;
        }
    }
    logEvent(Severity::Info, "started", {{"targets", settings.number("targets", "count")}});
    waitForStop();
    server.stop();
    operate.stop();
    return ExitOk;
}
