#include "programs/damask-entry/entry_options.h"

#include "settings/address.h"

#include <array>

namespace damask {

namespace {

constexpr auto Specs = std::to_array<SettingSpec>({
    {"instance", "name", SettingType::Text, "entry", "Name of this instance, unique in the system."},
    {"instance", "data-centre", SettingType::Text, "", "Data centre of this instance, as in the configuration."},
    {"front", "address", SettingType::Text, "127.0.0.1", "IP address for callers."},
    {"front", "port", SettingType::Number, "8080", "TCP port for callers.", 1, 65535},
    {"front", "backlog", SettingType::Number, "1024", "Connections waiting to be accepted.", 16, 65535},
    {"front", "max-connections", SettingType::Number, "10000", "Maximum open connections of callers.", 1, 1000000},
    {"front", "max-header", SettingType::Size, "32 KB", "Maximum size of a request's line and header fields.", 1024,
     1048576},
    {"front", "max-body", SettingType::Size, "8 MB", "Maximum size of a request's body.", 0, 1073741824},
    {"front", "max-held", SettingType::Size, "24 MB", "Maximum total size of incomplete requests.", 65536, 1e12},
    {"front", "send-timeout", SettingType::Interval, "10 s", "Timeout for a caller to send a whole request.", 100,
     600000},
    {"front", "least-rate", SettingType::Size, "16 KB", "Bytes of a request that extend its send-timeout by a second.",
     1, 1e9},
    {"front", "take-timeout", SettingType::Interval, "10 s", "Timeout for a caller to read more of its answer.", 100,
     600000},
    {"front", "workers", SettingType::Number, "256", "Calls served at once.", 2, 4096},
    {"front", "reserved-each", SettingType::Number, "8", "Workers reserved for each deeper level of calls.", 1, 256},
    {"front", "levels", SettingType::Number, "15", "Levels of calls below the first.", 0, 1000},
    {"targets", "connect-timeout", SettingType::Interval, "250 ms", "Timeout for connecting to a target.", 1, 60000},
    {"targets", "idle-limit", SettingType::Interval, "15 s", "Age at which an idle connection is closed.", 1, 600000},
    {"targets", "fresh-limit", SettingType::Interval, "500 ms",
     "Maximum age of the last answer on a connection for it to be reused for a non-idempotent call.", 0, 600000},
    {"targets", "max-answer", SettingType::Size, "16 MB", "Maximum size of an answer's body.", 1024, 1073741824},
    {"route", "report-half-life", SettingType::Interval, "0 ms",
     "Half-life of a load report's weight; 0: the mean answer time.", 0, 60000},
    {"probes", "interval", SettingType::Interval, "100 ms", "Interval of selecting targets to probe.", 10, 60000},
    {"probes", "worth-after", SettingType::Interval, "250 ms", "Minimum age of a report for a probe.", 1, 60000},
    {"probes", "timeout", SettingType::Interval, "250 ms", "Timeout of a probe.", 1, 60000},
    {"route", "safety", SettingType::Interval, "2 ms", "Part of a deadline reserved for returning the answer.", 0,
     60000},
    {"route", "why-events", SettingType::Number, "4096", "Number of calls kept for damaskctl why.", 0, 1000000},
    {"route", "hedge-workers", SettingType::Number, "16", "Maximum hedged attempts in flight.", 1, 1024},
    {"keeper", "endpoint", SettingType::Text, "tcp://127.0.0.1:7001", "Endpoint of this instance's keeper."},
    {"keeper", "news-interval", SettingType::Interval, "250 ms", "Interval of load updates to the keeper.", 10, 60000},
    {"keeper", "server-key", SettingType::Text, "", "The keeper's public key, Z85; empty: no encryption."},
    {"keeper", "public-key", SettingType::Text, "", "Own public key, Z85."},
    {"keeper", "secret-key", SettingType::Secret, "", "Own secret key, Z85."},
    {"operate", "address", SettingType::Text, "127.0.0.1", "IP address for operators."},
    {"operate", "port", SettingType::Number, "7101", "TCP port for operators.", 1, 65535},
    {"operate", "token", SettingType::Secret, "", "Required on protected pages; empty: not required."},
    {"stop", "notice", SettingType::Interval, "5 s", "Time between failing readiness and closing the port.", 0, 600000},
});

uint16_t portOf(const Settings &settings, std::string_view section)
{
    return static_cast<uint16_t>(settings.number(section, "port"));
}

size_t countOf(const Settings &settings, std::string_view section, std::string_view key)
{
    return static_cast<size_t>(settings.number(section, key));
}

FrontOptions readFront(const Settings &settings)
{
    FrontOptions out;
    out.address = settings.text("front", "address");
    out.port = portOf(settings, "front");
    out.backlog = static_cast<int>(settings.number("front", "backlog"));
    out.maxConnections = countOf(settings, "front", "max-connections");
    out.maxBufferedBytes = settings.size("front", "max-held");
    out.limits.headerBytes = settings.size("front", "max-header");
    out.limits.bodyBytes = settings.size("front", "max-body");
    out.requestTimeout = settings.interval("front", "send-timeout");
    out.minBytesPerSecond = settings.size("front", "least-rate");
    out.writeTimeout = settings.interval("front", "take-timeout");
    out.admission.workers = countOf(settings, "front", "workers");
    out.admission.reservedPerLevel = countOf(settings, "front", "reserved-each");
    out.admission.levels = static_cast<int>(settings.number("front", "levels"));
    return out;
}

SenderOptions readSender(const Settings &settings)
{
    SenderOptions out;
    out.connectTimeout = settings.interval("targets", "connect-timeout");
    out.idleLimit = settings.interval("targets", "idle-limit");
    out.freshLimit = settings.interval("targets", "fresh-limit");
    out.maxResponseBytes = settings.size("targets", "max-answer");
    return out;
}

KeeperLinkOptions readKeeper(const Settings &settings)
{
    KeeperLinkOptions out;
    out.keeper = settings.text("keeper", "endpoint");
    out.instance = settings.text("instance", "name");
    out.loadUpdateInterval = settings.interval("keeper", "news-interval");
    out.serverKey = settings.text("keeper", "server-key");
    out.publicKey = settings.text("keeper", "public-key");
    out.secretKey = settings.secret("keeper", "secret-key");
    return out;
}

Result<void> check(const EntryOptions &options)
{
    const AdmissionOptions &admission = options.front.admission;
    if (admission.workers <= admission.reservedPerLevel * static_cast<size_t>(admission.levels)) {
        return fail(Code::BadSettings,
                    "[front] workers must be above reserved-each times levels: otherwise the first level of "
                    "calls would have no worker");
    }
    for (const std::string_view it :
         {std::string_view(options.front.address), std::string_view(options.operate.address)}) {
        if (!isIpAddress(it)) {
            return fail(Code::BadSettings, "address = " + std::string(it) + ": needs an IP address");
        }
    }
    return {};
}

} // namespace

std::span<const SettingSpec> entrySpecs()
{
    return Specs;
}

Result<EntryOptions> readEntryOptions(const Settings &settings)
{
    EntryOptions out;
    out.instance = settings.text("instance", "name");
    out.front = readFront(settings);
    out.sender = readSender(settings);
    out.keeper = readKeeper(settings);
    out.balancer.dataCentre = settings.text("instance", "data-centre");
    out.balancer.reportHalfLife = settings.interval("route", "report-half-life");
    out.probing.dataCentre = out.balancer.dataCentre;
    out.probing.interval = settings.interval("probes", "interval");
    out.probing.worthAfter = settings.interval("probes", "worth-after");
    out.probing.timeout = settings.interval("probes", "timeout");
    out.balancer.traceCapacity = countOf(settings, "route", "why-events");
    out.dispatcher.deadlineMargin = settings.interval("route", "safety");
    out.dispatcher.traceCapacity = countOf(settings, "route", "why-events");
    out.hedgeWorkers = countOf(settings, "route", "hedge-workers");
    out.operate.address = settings.text("operate", "address");
    out.operate.port = portOf(settings, "operate");
    out.operate.token = settings.secret("operate", "token");
    out.shutdownDelay = settings.interval("stop", "notice");
    const auto checked = check(out);
    if (!checked) {
        return tl::make_unexpected(checked.error());
    }
    return out;
}

} // namespace damask
