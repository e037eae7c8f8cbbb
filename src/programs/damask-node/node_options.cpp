#include "programs/damask-node/node_options.h"

#include "settings/address.h"

#include <algorithm>
#include <array>

namespace damask {

namespace {

constexpr size_t DescriptorsForFiles = 200; // part of the process's limit that sockets may not use
constexpr size_t MemoryToBufferRatio = 8;   // memory limit divided by that of buffered requests and answers

// Shares of the bound, the time within which a change must be in force.
constexpr double PollDelayShareOfBound = 0.4;    // between two polls of the store
constexpr double PollTimeoutShareOfBound = 1.75; // of a long poll; a lost watch is not detected before it times out

// Of a long poll while client accounts are in force. With the delay between polls, data that is up to date is then at
// most 0.8 of the bound old: an older configuration makes a node refuse unknown keys with 503 instead of 401.
constexpr double AccountPollTimeoutShareOfBound = 0.4;

// Time before a mass removal of targets takes effect, as a share of the time for which a leaving target may get calls.
constexpr double MassRemovalHoldShareOfDrain = 0.35;

// Maximum age at which a removed target is still used, as a share of the same time; the rest is for calls on their way.
constexpr double RemovalShareOfDrain = 0.9;

// For updates from other nodes, as shares of the bound. A node's data is at most staleAfter old when the node polls the
// store. The hold of a mass removal (MassRemovalHoldShareOfDrain) comes on top of this age. Up to three nodes pass an
// update on, each of which adds a request interval to the age of its proof.
constexpr double SeedPollDelayShareOfBound = 0.08;   // between two polls of a seed; all other nodes depend on it
constexpr double SeedPollTimeoutShareOfBound = 0.12; // of a long poll when seeds are configured
constexpr double StartDelayShareOfBound = 0.02;      // for seeds to answer at the start; callers wait meanwhile
constexpr double RequestIntervalShareOfBound = 0.1;  // between two requests to the followed seed
constexpr double AnswerTimeoutShareOfBound = 0.4;    // until an answer is overdue
constexpr double RetryIntervalShareOfBound = 0.75;   // between two requests to a seed that does not answer
constexpr double ScanIntervalShareOfBound = 5;       // between two requests to seeds other than the followed one
constexpr double StaleAfterShareOfBound = 0.55;      // age of the data at which a node polls the store
constexpr double SeedStaleAfterShareOfBound = 0.45;  // the same for a seed, to be up to date before followers poll
constexpr double MinBackoffShareOfBound = 0.2;       // of a node that is no seed; seeds poll the store more often
constexpr double MaxBackoffShareOfBound = 0.25; // targets that left during an outage are in use until its end is seen
constexpr double RetentionShareOfBound = 2.5;   // of changes for followers; well above the age of any news
constexpr double BytesPerMegabit = 125000;
constexpr double StoreShareOfLink = 0.125; // least rate of a reply of the store, as a share of the link's capacity
constexpr Duration TrustedReportAge = std::chrono::milliseconds(100);

constexpr auto Specs = std::to_array<SettingSpec>({
    {"instance", "name", SettingType::Text, "node", "Name of this instance, unique in the system."},
    {"instance", "data-centre", SettingType::Text, "", "Data centre of this instance, one of data-centres."},
    {"instance", "data-centres", SettingType::List, "", "All data centres, each as NAME:REGION."},
    {"instance", "first-start", SettingType::Flag, "no",
     "The whole system starts for the first time: callers come later, so the first list need not be the latest."},
    {"instance", "memory", SettingType::Number, "256", "MB that the process may use.", 16, 1048576},
    {"instance", "link", SettingType::Fraction, "1000", "Capacity of its link in Mbit/s.", 0.1, 1000000},
    {"instance", "descriptors", SettingType::Number, "4096", "Maximum number of open files and sockets.", 256,
     10000000},
    {"front", "endpoint", SettingType::Text, "127.0.0.1:8080", "IP address and port for callers."},
    {"front", "workers", SettingType::Number, "192", "Calls served at once.", 2, 4096},
    {"front", "pipeline", SettingType::Number, "1",
     "Idempotent requests of one connection that run at once; 1: each waits for the one before it.", 1, 64},
    {"front", "take-timeout", SettingType::Interval, "10 s", "Timeout for a caller to read more of its answer.", 100,
     600000},
    {"targets", "connect-timeout", SettingType::Interval, "250 ms", "Timeout for connecting to a target.", 1, 60000},
    {"targets", "idle-limit", SettingType::Interval, "8 s", "Age at which an idle connection is closed.", 1, 600000},
    {"targets", "fresh-limit", SettingType::Interval, "500 ms",
     "Maximum age of the last answer on a connection for it to be reused for a non-idempotent call.", 0, 600000},
    {"targets", "max-answer", SettingType::Size, "16 MB", "Maximum size of an answer's body.", 1024, 1073741824},
    {"route", "safety", SettingType::Interval, "2 ms", "Part of a deadline reserved for returning the answer.", 0,
     60000},
    {"route", "queue", SettingType::Number, "64", "Calls per service that may wait for a slot.", 0, 100000},
    {"route", "queue-wait", SettingType::Interval, "100 ms", "Maximum wait for a slot.", 0, 60000},
    {"route", "queue-share", SettingType::Fraction, "0.25",
     "Maximum wait for a slot as a share of the call's latency objective.", 0, 1},
    {"route", "why-events", SettingType::Number, "64", "Number of calls kept for damaskctl why.", 0, 1000000},
    {"route", "retry-ratio", SettingType::Fraction, "0.1", "Retries per call of a service.", 0, 1},
    {"route", "retry-window", SettingType::Interval, "10 s", "Length of the sliding window in which the ratio holds.",
     100, 3600000},
    {"route", "hedge-limit", SettingType::Fraction, "0",
     "Second attempts of late idempotent calls per call of a service, in any retry-window; 0: none.", 0, 1},
    {"route", "share-credit", SettingType::Flag, "no",
     "Nodes give second attempts that they may send and do not need to others, through the seeds."},
    {"route", "elsewhere-cost", SettingType::Interval, "10 ms",
     "Time that a target in another data centre must save, on top of the link delay.", 0, 60000},
    {"route", "other-region-cost", SettingType::Interval, "400 ms",
     "Time that a target in another region must save, on top of the link delay.", 0, 60000},
    {"route", "cost-per-megabyte", SettingType::Interval, "2 s",
     "Added to both for each MB of a request's body, which is sent to a target nearby if that is soon enough.", 0,
     600000},
    {"route", "spillover", SettingType::Flag, "no",
     "While this data centre is short of slots, targets in other regions that have room cost as those nearby."},
    {"route", "come-back-share", SettingType::Fraction, "0.1",
     "Share of its remaining time after which a refused caller may retry.", 0, 1},
    {"route", "come-back-share-full", SettingType::Fraction, "0.33",
     "The same for a caller that was refused for lack of slots; the time is spread from half of it to all of it.", 0,
     1},
    {"route", "come-back-room", SettingType::Interval, "0 ms",
     "The same for a caller whose request a target with a free slot refused; 0: as come-back-share.", 0, 600000},
    {"log", "each", SettingType::Number, "64",
     "One in this many ordinary calls is logged; 0: none. Failed and late calls are always logged.", 0, 1000000},
    {"look", "at-once", SettingType::Number, "2", "Targets probed in parallel before a call; 0: none.", 0, 16},
    {"look", "rounds", SettingType::Number, "2", "Maximum rounds of probes, each of other targets.", 1, 16},
    {"look", "patience", SettingType::Interval, "40 ms", "Timeout of the probes of one round.", 1, 10000},
    {"look", "fresh", SettingType::Interval, "30 ms", "Age up to which a report makes a probe unnecessary.", 0, 10000},
    {"store", "endpoint", SettingType::Text, "127.0.0.1:2379", "IP address and port of the platform's store."},
    {"store", "connect-timeout", SettingType::Interval, "300 ms", "Timeout for connecting to the store.", 10, 600000},
    {"store", "call-timeout", SettingType::Interval, "1 s",
     "Timeout for a reply to begin, on top of the time that a long poll waits, and between two parts of it.", 10,
     600000},
    {"store", "lapse-hold", SettingType::Interval, "1900 ms",
     "Time after an outage of the store for targets with expired entries to register again.", 0, 600000},
    {"nodes", "endpoint", SettingType::Text, "",
     "IP address and port for other nodes; empty: this node follows only the store."},
    {"nodes", "seeds", SettingType::List, "",
     "Endpoints of the nodes that others follow, in the same order on all nodes; empty: all follow the store."},
    {"bounds", "configuration", SettingType::Interval, "2 s", "Time within which a change must be in force everywhere.",
     100, 600000},
    {"bounds", "drain", SettingType::Interval, "2 s", "Time for which a leaving target may still get calls.", 100,
     600000},
    {"quota", "window", SettingType::Interval, "5 s",
     "Length of the sliding window in which the bound on the requests of an account holds.", 100, 3600000},
    {"quota", "overrun", SettingType::Fraction, "0.1", "Part of a quota that may be exceeded in any window.", 0.01, 10},
    {"quota", "slack", SettingType::Fraction, "20", "Requests in addition to the quota in any window.", 0, 1000000},
    {"quota", "patience", SettingType::Interval, "60 ms", "Timeout for a node that grants quotas to answer.", 1, 10000},
    {"cold", "overrun", SettingType::Fraction, "1.5",
     "Requests that a cold target may get in any second, as a multiple of its limit.", 1.01, 10},
    {"cold", "slack", SettingType::Fraction, "8", "Requests in addition to that.", 0, 1000000},
    {"accounts", "strict-revocation", SettingType::Flag, "no",
     "Refuse all requests with keys while this node can't tell whether their keys were removed."},
    {"accounts", "revocation", SettingType::Interval, "5 s",
     "With strict-revocation: age of the configuration from which a key may have been removed.", 100, 600000},
    {"ready", "endpoint", SettingType::Text, "127.0.0.1:7101", "IP address and port for readiness checks."},
    {"operate", "endpoint", SettingType::Text, "127.0.0.1:9464", "IP address and port for operators."},
    {"operate", "token", SettingType::Secret, "", "Required on protected pages; empty: not required."},
    {"stop", "notice", SettingType::Interval, "2500 ms",
     "Time between failing readiness and closing the port: two checks one second apart, plus half a second.", 0,
     600000},
    {"stop", "grace", SettingType::Interval, "6 s", "Time from the stop signal until the process is killed.", 100,
     600000},
});

size_t countOf(const Settings &settings, std::string_view section, std::string_view key)
{
    return static_cast<size_t>(settings.number(section, key));
}

Duration shareOf(Duration total, double share)
{
    return std::chrono::duration_cast<Duration>(total * share);
}

Result<std::vector<DataCentre>> readDataCentres(const Settings &settings)
{
    std::vector<DataCentre> out;
    for (const auto &it : settings.list("instance", "data-centres")) {
        const size_t colon = it.find(':');
        if (colon == 0 || colon == std::string::npos || colon + 1 == it.size()) {
            return fail(Code::BadSettings, "[instance] data-centres: \"" + it + "\" is not NAME:REGION");
        }
        out.push_back({.name = it.substr(0, colon), .region = it.substr(colon + 1)});
    }
    std::sort(out.begin(), out.end(), [](const auto &left, const auto &right) { return left.name < right.name; });
    return out;
}

FrontOptions readFront(const Settings &settings)
{
    FrontOptions out;
    const size_t memory = countOf(settings, "instance", "memory") * 1024 * 1024;
    out.maxBufferedBytes = memory / MemoryToBufferRatio;
    out.maxConnections = (countOf(settings, "instance", "descriptors") - DescriptorsForFiles) / 2;
    out.admission = {.workers = countOf(settings, "front", "workers"), .reservedPerLevel = 0, .levels = 0};
    out.writeTimeout = settings.interval("front", "take-timeout");
    out.pipelineLimit = countOf(settings, "front", "pipeline");
    out.retryAfter = std::chrono::milliseconds(100);
    return out;
}

SenderOptions readSender(const Settings &settings)
{
    SenderOptions out;
    out.connectTimeout = settings.interval("targets", "connect-timeout");
    out.idleLimit = settings.interval("targets", "idle-limit");
    out.freshLimit = settings.interval("targets", "fresh-limit");
    out.maxResponseBytes = settings.size("targets", "max-answer");
    out.maxBufferedBytes = countOf(settings, "instance", "memory") * 1024 * 1024 / MemoryToBufferRatio;
    return out;
}

/// Reads one endpoint into an address and a port.
Result<void> readEndpoint(const Settings &settings, std::string_view section, std::string &address, uint16_t &port)
{
    const auto read = parseEndpoint(settings.text(section, "endpoint"));
    if (!read) {
        return fail(Code::BadSettings, "[" + std::string(section) + "] " + read.error().detail);
    }
    address = read->address;
    port = read->port;
    return {};
}

/// The shortest of the times within which a change must be in force; a node polls the store accordingly often.
Duration shortestBound(const Settings &settings)
{
    const Duration out = std::min(settings.interval("bounds", "configuration"), settings.interval("bounds", "drain"));
    const bool isStrict = settings.flag("accounts", "strict-revocation");
    return isStrict ? std::min(out, settings.interval("accounts", "revocation")) : out;
}

FollowerOptions readFollower(const Settings &settings)
{
    FollowerOptions out;
    const Duration bound = shortestBound(settings);
    out.pollDelay = shareOf(bound, PollDelayShareOfBound);
    out.pollTimeout = shareOf(bound, PollTimeoutShareOfBound);
    out.accountPollTimeout = shareOf(bound, AccountPollTimeoutShareOfBound);
    out.registry.lapseHold = settings.interval("store", "lapse-hold");
    out.registry.massRemovalHold = shareOf(settings.interval("bounds", "drain"), MassRemovalHoldShareOfDrain);
    out.seedPollDelay = shareOf(bound, SeedPollDelayShareOfBound);
    out.startDelay = shareOf(bound, StartDelayShareOfBound);
    out.systemStarts = settings.flag("instance", "first-start");
    out.seedPollTimeout = shareOf(bound, SeedPollTimeoutShareOfBound);
    out.followerBackoff = {shareOf(bound, MinBackoffShareOfBound), shareOf(bound, MaxBackoffShareOfBound)};
    out.registry.removalBound = shareOf(settings.interval("bounds", "drain"), RemovalShareOfDrain);
    out.registry.outageBound = out.registry.lapseHold + shareOf(bound, MaxBackoffShareOfBound);
    out.changeLog.retention = shareOf(bound, RetentionShareOfBound);
    out.sources.own = settings.text("nodes", "endpoint");
    if (!out.sources.own.empty()) {
        out.sources.seeds = settings.list("nodes", "seeds");
    }
    out.sources.requestInterval = shareOf(bound, RequestIntervalShareOfBound);
    out.sources.answerTimeout = shareOf(bound, AnswerTimeoutShareOfBound);
    out.sources.retryInterval = shareOf(bound, RetryIntervalShareOfBound);
    out.sources.scanInterval = shareOf(bound, ScanIntervalShareOfBound);
    out.sources.staleAfter = shareOf(bound, StaleAfterShareOfBound);
    out.sources.seedStaleAfter = shareOf(bound, SeedStaleAfterShareOfBound);
    return out;
}

/// Call after readFollower().
Result<void> readNeighbours(const Settings &settings, NodeOptions &out)
{
    const SourceOptions &sources = out.follower.sources;
    out.neighbours.instance = out.instance;
    out.neighbours.dataCentre = out.balancer.dataCentre;
    out.neighbours.linkBytesPerSecond = static_cast<size_t>(settings.fraction("instance", "link") * BytesPerMegabit);
    out.neighbours.followerTimeout = sources.answerTimeout + sources.requestInterval;
    for (const std::string &it : sources.seeds) {
        if (const auto read = parseEndpoint(it); !read) {
            return fail(Code::BadSettings, "[nodes] seeds: " + read.error().detail);
        }
    }
    return sources.own.empty() ? Result<void>()
                               : readEndpoint(settings, "nodes", out.neighbours.address, out.neighbours.port);
}

/// Call after readFollower().
QuotaOptions readQuota(const Settings &settings, const SourceOptions &sources)
{
    QuotaOptions out;
    out.window = settings.interval("quota", "window");
    out.overrun = settings.fraction("quota", "overrun");
    out.slack = settings.fraction("quota", "slack");
    out.patience = settings.interval("quota", "patience");
    out.coldOverrun = settings.fraction("cold", "overrun");
    out.coldSlack = settings.fraction("cold", "slack");
    out.sendDelay = settings.interval("route", "queue-wait");
    out.grantors = sources.seeds;
    out.own = sources.own;
    return out;
}

Result<void> readEndpoints(const Settings &settings, NodeOptions &out)
{
    return readEndpoint(settings, "front", out.front.address, out.front.port)
        .and_then([&] { return readEndpoint(settings, "ready", out.readiness.address, out.readiness.port); })
        .and_then([&] { return readEndpoint(settings, "operate", out.operate.address, out.operate.port); })
        .and_then([&] { return readEndpoint(settings, "store", out.store.address, out.store.port); })
        .and_then([&] { return readNeighbours(settings, out); });
}

} // namespace

std::span<const SettingSpec> nodeSpecs()
{
    return Specs;
}

Result<NodeOptions> readNodeOptions(const Settings &settings)
{
    NodeOptions out;
    out.instance = settings.text("instance", "name");
    out.front = readFront(settings);
    out.sender = readSender(settings);
    out.follower = readFollower(settings);
    out.quota = readQuota(settings, out.follower.sources);
    out.balancer.dataCentre = settings.text("instance", "data-centre");
    out.balancer.otherDataCentreCost = settings.interval("route", "elsewhere-cost");
    out.balancer.otherRegionCost = settings.interval("route", "other-region-cost");
    out.balancer.spillover = settings.flag("route", "spillover");
    out.balancer.costPerMegabyte = settings.interval("route", "cost-per-megabyte");
    out.selectionProbe = {.probesPerRound = countOf(settings, "look", "at-once"),
                          .rounds = countOf(settings, "look", "rounds"),
                          .timeout = settings.interval("look", "patience"),
                          .maxReportAge = settings.interval("look", "fresh")};
    out.dispatcher.deadlineMargin = settings.interval("route", "safety");
    out.dispatcher.traceCapacity = countOf(settings, "route", "why-events");
    out.dispatcher.retryAfterShare = settings.fraction("route", "come-back-share");
    out.dispatcher.noRoomRetryAfterShare = settings.fraction("route", "come-back-share-full");
    out.dispatcher.refusedRetryAfter = settings.interval("route", "come-back-room");
    out.dispatcher.maxConfigurationAge = settings.interval("bounds", "configuration");
    if (settings.flag("accounts", "strict-revocation")) {
        out.dispatcher.maxKeyAge = settings.interval("accounts", "revocation");
    }
    out.dispatcher.logSampleInterval = countOf(settings, "log", "each");
    out.retryRatio = settings.fraction("route", "retry-ratio");
    out.retryWindow = settings.interval("route", "retry-window");
    out.hedgeLimit = settings.fraction("route", "hedge-limit");
    out.shareCredit = settings.flag("route", "share-credit");
    out.queueWait = settings.interval("route", "queue-wait");
    out.balancer.trustedReportAge = TrustedReportAge;
    out.balancer.queueShare = settings.fraction("route", "queue-share");
    out.queueLimit = countOf(settings, "route", "queue");
    out.store.connectTimeout = settings.interval("store", "connect-timeout");
    out.store.callTimeout = settings.interval("store", "call-timeout");
    out.store.minBytesPerSecond = settings.fraction("instance", "link") * BytesPerMegabit * StoreShareOfLink;
    out.operate.token = settings.secret("operate", "token");
    out.readiness.threads = 1;
    out.operate.threads = 1;
    out.shutdownDelay = settings.interval("stop", "notice");
    out.gracePeriod = settings.interval("stop", "grace");
    if (out.shutdownDelay >= out.gracePeriod) {
        return fail(Code::BadSettings, "[stop] notice must be shorter than grace, or calls have no time to finish");
    }
    auto dataCentres = readDataCentres(settings);
    if (!dataCentres) {
        return tl::make_unexpected(dataCentres.error());
    }
    out.follower.dataCentres = std::move(*dataCentres);
    const auto endpoints = readEndpoints(settings, out);
    if (!endpoints) {
        return tl::make_unexpected(endpoints.error());
    }
    return out;
}

} // namespace damask
