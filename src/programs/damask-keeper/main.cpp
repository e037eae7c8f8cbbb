/// damask-keeper: the control program that runs next to each entry.
#include "base/log.h"
#include "keeper.h"
#include "operate/server.h"
#include "startup/program.h"
#include "ticket_routes.h"

#include <algorithm>
#include <iostream>

using namespace damask;

namespace {

constexpr std::string_view Usage =
    R"(damask-keeper: follows the configuration in the store and passes it to the entry on the same instance.

Usage:
  damask-keeper [--settings=FILE] [--set=PAIR]... [--check | --print-settings]
  damask-keeper --make-keys
  damask-keeper (--help | --version)

Options:
  --settings=FILE   Settings file in INI format.
  --set=PAIR        One setting as section.key=value; overrides the file.
  --check           Check the settings and exit.
  --print-settings  Print the effective settings and exit.
  --make-keys       Print a new key pair as settings and exit.
  --help            Show this help.
  --version         Show the version.
)";

constexpr SettingSpec Specs[] = {
    {"instance", "name", SettingType::Text, "entry-1", "Name of this instance, unique in the system."},
    {"instance", "data-centre", SettingType::Text, "dc-1", "Data centre of this instance."},
    {"instance", "region", SettingType::Text, "region-1", "Region of this instance."},
    {"entry", "listen", SettingType::Text, "tcp://127.0.0.1:7001",
     "Listen address (IP and port) for the entry on the same instance."},
    {"peers", "listen", SettingType::Text, "tcp://127.0.0.1:7002",
     "Listen address for other keepers; key slot b uses port + 1."},
    {"peers", "seeds", SettingType::List, "",
     "Addresses of other keepers, asked when the store is unreachable at the start."},
    {"keys", "a-public", SettingType::Text, "",
     "Public key of slot a, Z85; empty: no encryption, for test set-ups only."},
    {"keys", "a-secret", SettingType::Secret, "", "Secret key of slot a, Z85."},
    {"keys", "b-public", SettingType::Text, "",
     "Public key of slot b, Z85: the next key, used once a ticket retires slot a."},
    {"keys", "b-secret", SettingType::Secret, "", "Secret key of slot b, Z85."},
    {"store", "address", SettingType::Text, "127.0.0.1", "IP address of the platform's store."},
    {"store", "port", SettingType::Number, "2379", "TCP port of the platform's store.", 1, 65535},
    {"store", "connect-timeout", SettingType::Interval, "1 s", "Timeout for connecting to the store.", 10, 60000},
    {"store", "call-timeout", SettingType::Interval, "2 s", "Timeout for a call to the store.", 10, 60000},
    {"store", "watch-silence", SettingType::Interval, "15 s", "A watch without messages for this long is restarted.",
     1000, 600000},
    {"operate", "address", SettingType::Text, "127.0.0.1", "IP address of the operators' port."},
    {"operate", "port", SettingType::Number, "7000", "TCP port for operators; 0: any free port.", 0, 65535},
    {"operate", "token", SettingType::Secret, "", "Token required from operators; empty: none."},
    {"control", "watchers", SettingType::Number, "2", "Keepers of each data centre that watch the store.", 1, 16},
    {"control", "heartbeat", SettingType::Interval, "2 s", "Interval of heartbeats to other keepers.", 100, 60000},
    {"control", "tick", SettingType::Interval, "250 ms", "Interval of checks, pushes and load updates.", 10, 10000},
    {"control", "lease", SettingType::Interval, "10 s", "Time to live of the duty lease.", 2000, 600000},
    {"control", "list-lag", SettingType::Interval, "10 s",
     "Longest delay until the instance list shows a new instance.", 0, 600000},
    {"control", "least-poll", SettingType::Interval, "10 s", "Shortest interval between polls off duty.", 100, 3600000},
    {"control", "polls-per-second", SettingType::Fraction, "1", "Total poll rate of all keepers off duty.", 0.01, 1000},
    {"budget", "control", SettingType::Size, "13000 B", "Documents and heartbeats sent to other keepers, per second.",
     1000, 1e9},
    {"budget", "control-burst", SettingType::Size, "2000000 B", "Largest burst of documents and heartbeats.", 100000,
     1e9},
    {"budget", "news", SettingType::Size, "14000 B", "Load updates sent to other keepers, per second.", 1000, 1e9},
};

StoreOptions storeOptions(const Settings &settings)
{
    StoreOptions out;
    out.address = settings.text("store", "address");
    out.port = static_cast<uint16_t>(settings.number("store", "port"));
    out.connectTimeout = settings.interval("store", "connect-timeout");
    out.callTimeout = settings.interval("store", "call-timeout");
    out.watchIdleTimeout = settings.interval("store", "watch-silence");
    return out;
}

/// Increases with each start. Taken from the wall clock, because instances store no state.
uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

KeeperOptions keeperOptions(const Settings &settings)
{
    KeeperOptions out;
    out.self.name = settings.text("instance", "name");
    out.self.dataCentre = settings.text("instance", "data-centre");
    out.self.region = settings.text("instance", "region");
    out.self.keeper = settings.text("peers", "listen");
    out.self.incarnation = newIncarnation();
    out.entryListen = settings.text("entry", "listen");
    out.peerListen = settings.text("peers", "listen");
    out.seeds = settings.list("peers", "seeds");
    out.slotA = {std::string(settings.text("keys", "a-public")), std::string(settings.secret("keys", "a-secret"))};
    out.slotB = {std::string(settings.text("keys", "b-public")), std::string(settings.secret("keys", "b-secret"))};
    out.store = storeOptions(settings);
    out.duty.perDataCentre = static_cast<size_t>(settings.number("control", "watchers"));
    out.heartbeat = settings.interval("control", "heartbeat");
    out.tick = settings.interval("control", "tick");
    out.leaseTime = settings.interval("control", "lease");
    out.accept.listLag = settings.interval("control", "list-lag");
    out.minPollInterval = settings.interval("control", "least-poll");
    out.pollsPerSecond = settings.fraction("control", "polls-per-second");
    out.budget.controlBytesPerSecond = static_cast<double>(settings.size("budget", "control"));
    out.budget.controlBurst = static_cast<double>(settings.size("budget", "control-burst"));
    out.budget.updateBytesPerSecond = static_cast<double>(settings.size("budget", "news"));
    out.budget.updateBurst = out.budget.updateBytesPerSecond;
    return out;
}

Result<void> checkKeys(const KeeperOptions &options)
{
    if (auto checked = checkKeyPair(options.slotA); !checked) {
        return checked;
    }
    if (options.slotA.empty()) {
        logEvent(Severity::Warning, "keys-missing",
                 {{"reason", "the inner protocol is neither encrypted nor authenticated"}});
    }
    return checkKeyPair(options.slotB);
}

int printKeys()
{
    const auto pair = makeKeyPair();
    if (!pair) {
        std::cerr << pair.error().detail << "\n";
        return ExitFailed;
    }
    std::cout << "[keys]\na-public = " << pair->publicKey << "\na-secret = " << pair->secretKey << "\n";
    return ExitOk;
}

void addRoutes(OperateServer &server, Keeper &keeper, Metrics &metrics)
{
    const auto open = true;
    server.route(
        "GET", "/healthz", [](const OperateRequest &) { return OperateResponse{.body = "{\"ok\":true}\n"}; }, open);
    server.route(
        "GET", "/ready",
        [&keeper](const OperateRequest &) {
            const bool ready = keeper.ready();
            return OperateResponse{.status = ready ? 200 : 503,
                                   .body = ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n"};
        },
        open);
    server.route(
        "GET", "/metrics",
        [&metrics](const OperateRequest &) {
            return OperateResponse{.type = "text/plain; version=0.0.4", .body = metrics.text()};
        },
        open);
    server.route("GET", "/status",
                 [&keeper](const OperateRequest &) { return OperateResponse{.body = keeper.statusJson()}; });
    addTicketRoutes(server, keeper.ticketController());
}

int runKeeper(const Settings &settings)
{
    const KeeperOptions options = keeperOptions(settings);
    if (const auto checked = checkKeys(options); !checked) {
        std::cerr << "damask-keeper: [keys] " << checked.error().detail << "\n";
        return ExitSettings;
    }
    Clock clock;
    Metrics metrics;
    Keeper keeper(clock, metrics, options);
    OperateOptions operate;
    operate.address = settings.text("operate", "address");
    operate.port = static_cast<uint16_t>(settings.number("operate", "port"));
    operate.token = settings.secret("operate", "token");
    OperateServer server(operate);
    addRoutes(server, keeper, metrics);
    for (const auto &started : {keeper.start(), server.start()}) {
        if (!started) {
            logEvent(Severity::Error, "start-failed", {{"reason", started.error().detail}});
            return ExitFailed;
        }
    }
    logEvent(Severity::Info, "listening", {{"operatePort", int{server.port()}}, {"peers", keeper.peerAddress()}});
    waitForStop();
    keeper.stop();
    server.stop();
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc == 2 && std::string_view(argv[1]) == "--make-keys") {
        return printKeys();
    }
    const ProgramStart program = startProgram(argc, argv, {.name = "damask-keeper", .usage = Usage, .specs = Specs});
    return program.settings ? runKeeper(*program.settings) : program.exitCode;
}
