#include "control.pb.h"
#include "wire/convert.h"

#include <algorithm>
#include <cmath>
#include <google/protobuf/stubs/logging.h>
#include <limits>

namespace damask {

namespace {

constexpr uint32_t MaxPort = 65535;
constexpr double MaxRate = 1e12; // bytes or probes per second

/// Disables protobuf's own logging: its lines on stderr are not JSON, and callers log malformed messages themselves.
const auto previousLogHandler = google::protobuf::SetLogHandler(nullptr);

/// Checks fields and keeps the first failure, so that reading a message takes one line per field.
struct FieldReader {
    Error error;

    bool ok() const
    {
        return error.code == Code::Ok;
    }
    void refuse(std::string_view field, std::string_view reason)
    {
        if (ok()) {
            error = {Code::BadMessage, std::string(field) + ": " + std::string(reason)};
        }
    }
    std::string text(std::string_view value, std::string_view field, size_t maxBytes = MaxNameBytes)
    {
        if (const auto checked = checkText(value, maxBytes, field); !checked && ok()) {
            error = checked.error();
        }
        return std::string(value);
    }
    std::string name(std::string_view value, std::string_view field)
    {
        if (value.empty()) {
            refuse(field, "must not be empty");
        }
        return text(value, field);
    }
    int count(uint32_t value, std::string_view field)
    {
        if (value > static_cast<uint32_t>(MaxCount)) {
            refuse(field, "is out of range");
            return 0;
        }
        return static_cast<int>(value);
    }
    Duration interval(int64_t nanoseconds, std::string_view field)
    {
        const Duration value(nanoseconds);
        if (value < Duration::zero() || value > std::chrono::hours(MaxIntervalHours)) {
            refuse(field, "is out of range");
            return Duration::zero();
        }
        return value;
    }
    double rate(double value, std::string_view field)
    {
        if (!std::isfinite(value) || value < 0 || value > MaxRate) {
            refuse(field, "is out of range");
            return 0;
        }
        return value;
    }
    void checkSize(int n, std::string_view field)
    {
        if (n > MaxItems) {
            refuse(field, "has too many items");
        }
    }
    template<class List>
    void checkSorted(const List &list, std::string_view field)
    {
        const auto notAscending = [](const auto &a, const auto &b) {
            return a.name >= b.name;
        };
        if (std::adjacent_find(list.begin(), list.end(), notAscending) != list.end()) {
            refuse(field, "must be in the order of names, each once");
        }
    }
};

Target readTarget(const pb::Target &from, FieldReader &reader)
{
    Target out;
    out.name = reader.name(from.name(), "target.name");
    out.address = reader.name(from.address(), "target.address");
    if (from.port() == 0 || from.port() > MaxPort) {
        reader.refuse("target.port", "must be from 1 to 65535");
    }
    out.port = static_cast<uint16_t>(from.port());
    out.dataCentre = reader.text(from.data_centre(), "target.dataCentre");
    out.slots = reader.count(from.slots(), "target.slots");
    if (out.slots == 0) {
        reader.refuse("target.slots", "must be 1 or more");
    }
    out.draining = from.draining();
    return out;
}

Pool readPool(const pb::Pool &from, FieldReader &reader)
{
    Pool out;
    out.name = reader.name(from.name(), "pool.name");
    out.version = from.version();
    reader.checkSize(from.targets_size(), "pool.targets");
    for (const pb::Target &it : from.targets()) {
        out.targets.push_back(readTarget(it, reader));
    }
    reader.checkSorted(out.targets, "pool.targets");
    return out;
}

Service readService(const pb::Service &from, FieldReader &reader)
{
    Service out;
    out.name = reader.name(from.name(), "service.name");
    out.version = from.version();
    out.pool = reader.name(from.pool(), "service.pool");
    out.deadline = reader.interval(from.deadline_ns(), "service.deadline");
    out.maxDepth = reader.count(from.max_depth(), "service.maxDepth");
    out.queueLimit = reader.count(from.queue_limit(), "service.queueLimit");
    out.queueWait = reader.interval(from.queue_wait_ns(), "service.queueWait");
    out.retryRatio = reader.rate(from.retry_ratio(), "service.retryRatio");
    out.hedge = from.hedge();
    out.hedgeAfter = reader.interval(from.hedge_after_ns(), "service.hedgeAfter");
    out.connectionShare = reader.count(from.connection_share(), "service.connectionShare");
    out.measureBytesPerSecond = reader.rate(from.measure_bytes_per_second(), "service.measureBytesPerSecond");
    out.measureProbesPerSecond = reader.rate(from.measure_probes_per_second(), "service.measureProbesPerSecond");
    out.regionBytesPerSecond = reader.rate(from.region_bytes_per_second(), "service.regionBytesPerSecond");
    return out;
}

Rule readRule(const pb::Rule &from, FieldReader &reader)
{
    Rule out;
    out.name = reader.name(from.name(), "rule.name");
    out.version = from.version();
    out.host = reader.text(from.host(), "rule.host");
    out.prefix = reader.name(from.prefix(), "rule.prefix");
    out.service = reader.text(from.service(), "rule.service");
    if (from.idempotency() > static_cast<uint32_t>(Idempotency::Never)) {
        reader.refuse("rule.idempotency", "must be 0, 1 or 2");
    }
    out.idempotency = static_cast<Idempotency>(from.idempotency());
    reader.checkSize(from.data_centres_size(), "rule.dataCentres");
    for (const auto &it : from.data_centres()) {
        out.dataCentres.push_back(reader.name(it, "rule.dataCentres"));
    }
    return out;
}

void readTopologyAndKeys(const pb::Configuration &from, FieldReader &reader, Configuration &out)
{
    for (const pb::DataCentre &it : from.data_centres()) {
        out.dataCentres.push_back({.name = reader.name(it.name(), "dataCentre.name"),
                                   .version = it.version(),
                                   .region = reader.text(it.region(), "dataCentre.region")});
    }
    for (const pb::Link &it : from.links()) {
        out.links.push_back({.name = reader.name(it.name(), "link.name"),
                             .version = it.version(),
                             .delay = reader.interval(it.delay_ns(), "link.delay")});
    }
    for (const pb::PeerKey &it : from.keys()) {
        out.keys.push_back({.name = reader.name(it.name(), "key.name"),
                            .version = it.version(),
                            .publicKey = reader.name(it.public_key(), "key.publicKey"),
                            .retired = it.retired()});
    }
}

void writeService(const Service &from, pb::Service &to)
{
    to.set_name(from.name);
    to.set_version(from.version);
    to.set_pool(from.pool);
    to.set_deadline_ns(from.deadline.count());
    to.set_max_depth(static_cast<uint32_t>(from.maxDepth));
    to.set_queue_limit(static_cast<uint32_t>(from.queueLimit));
    to.set_queue_wait_ns(from.queueWait.count());
    to.set_retry_ratio(from.retryRatio);
    to.set_hedge(from.hedge);
    to.set_hedge_after_ns(from.hedgeAfter.count());
    to.set_connection_share(static_cast<uint32_t>(from.connectionShare));
    to.set_measure_bytes_per_second(from.measureBytesPerSecond);
    to.set_measure_probes_per_second(from.measureProbesPerSecond);
    to.set_region_bytes_per_second(from.regionBytesPerSecond);
}

void writePool(const Pool &from, pb::Pool &to)
{
    to.set_name(from.name);
    to.set_version(from.version);
    for (const Target &it : from.targets) {
        pb::Target &target = *to.add_targets();
        target.set_name(it.name);
        target.set_address(it.address);
        target.set_port(it.port);
        target.set_data_centre(it.dataCentre);
        target.set_slots(static_cast<uint32_t>(it.slots));
        target.set_draining(it.draining);
    }
}

void writeRule(const Rule &from, pb::Rule &to)
{
    to.set_name(from.name);
    to.set_version(from.version);
    to.set_host(from.host);
    to.set_prefix(from.prefix);
    to.set_service(from.service);
    to.set_idempotency(static_cast<uint32_t>(from.idempotency));
    for (const auto &it : from.dataCentres) {
        to.add_data_centres(it);
    }
}

void writeTopologyAndKeys(const Configuration &from, pb::Configuration &to)
{
    for (const DataCentre &it : from.dataCentres) {
        pb::DataCentre &dataCentre = *to.add_data_centres();
        dataCentre.set_name(it.name);
        dataCentre.set_version(it.version);
        dataCentre.set_region(it.region);
    }
    for (const Link &it : from.links) {
        pb::Link &link = *to.add_links();
        link.set_name(it.name);
        link.set_version(it.version);
        link.set_delay_ns(it.delay.count());
    }
    for (const PeerKey &it : from.keys) {
        pb::PeerKey &key = *to.add_keys();
        key.set_name(it.name);
        key.set_version(it.version);
        key.set_public_key(it.publicKey);
        key.set_retired(it.retired);
    }
}

} // namespace

Result<void> checkText(std::string_view text, size_t maxBytes, std::string_view field)
{
    if (text.size() > maxBytes) {
        return fail(Code::BadMessage, std::string(field) + ": is too long");
    }
    const auto control = [](char c) {
        return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
    };
    if (maxBytes <= MaxNameBytes && std::any_of(text.begin(), text.end(), control)) {
        return fail(Code::BadMessage, std::string(field) + ": contains control characters");
    }
    return {};
}

void toMessage(const Configuration &from, pb::Configuration &to)
{
    to.set_revision(from.revision);
    for (const Service &it : from.services) {
        writeService(it, *to.add_services());
    }
    for (const Pool &it : from.pools) {
        writePool(it, *to.add_pools());
    }
    for (const Rule &it : from.rules) {
        writeRule(it, *to.add_rules());
    }
    writeTopologyAndKeys(from, to);
}

Result<Configuration> fromMessage(const pb::Configuration &from)
{
    FieldReader reader;
    Configuration out;
    out.revision = from.revision();
    for (const int n : {from.services_size(), from.pools_size(), from.rules_size(), from.data_centres_size(),
                        from.links_size(), from.keys_size()}) {
        reader.checkSize(n, "configuration");
    }
    for (const pb::Service &it : from.services()) {
        out.services.push_back(readService(it, reader));
    }
    for (const pb::Pool &it : from.pools()) {
        out.pools.push_back(readPool(it, reader));
    }
    for (const pb::Rule &it : from.rules()) {
        out.rules.push_back(readRule(it, reader));
    }
    readTopologyAndKeys(from, reader, out);
    reader.checkSorted(out.services, "services");
    reader.checkSorted(out.pools, "pools");
    reader.checkSorted(out.rules, "rules");
    reader.checkSorted(out.dataCentres, "dataCentres");
    reader.checkSorted(out.links, "links");
    reader.checkSorted(out.keys, "keys");
    if (!reader.ok()) {
        return tl::make_unexpected(reader.error);
    }
    return out;
}

} // namespace damask
