#include "store/protocol.h"

#include "store/base64.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace damask {

namespace {

using Json = nlohmann::json;

constexpr int HttpOk = 200; // HTTP status

/// Parses the reply as a JSON object. StoreBadValue when it is not one.
Result<Json> parseReply(const StoreReply &reply)
{
    if (reply.status != HttpOk) {
        return fail(Code::StoreUnavailable, "HTTP status " + std::to_string(reply.status));
    }
    Json out = Json::parse(reply.body, nullptr, false);
    return out.is_object() ? Result<Json>(std::move(out)) : fail(Code::StoreBadValue, "the reply is not a JSON object");
}

StoreCall post(std::string_view path, const Json &body)
{
    return {"POST", std::string(path), body.dump()};
}

/// The protocol encodes 64-bit numbers as strings and omits fields with their default value.
uint64_t uint64Field(const Json &object, std::string_view field)
{
    const auto it = object.find(field);
    if (it == object.end()) {
        return 0;
    }
    if (it->is_number_unsigned()) {
        return it->get<uint64_t>();
    }
    uint64_t number = 0;
    if (it->is_string()) {
        const auto &text = it->get_ref<const nlohmann::json::string_t &>();
        std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

Result<std::string> base64Field(const Json &object, std::string_view field)
{
    const auto it = object.find(field);
    if (it == object.end()) {
        return std::string();
    }
    if (!it->is_string()) {
        return fail(Code::StoreBadValue, std::string(field) + ": must be a string");
    }
    return fromBase64(it->get_ref<const nlohmann::json::string_t &>());
}

Result<StoreEntry> parseEntry(const Json &kv)
{
    if (!kv.is_object()) {
        return fail(Code::StoreBadValue, "kv: must be an object");
    }
    auto key = base64Field(kv, "key");
    auto value = base64Field(kv, "value");
    if (!key || !value) {
        return tl::make_unexpected(key ? value.error() : key.error());
    }
    return StoreEntry{std::move(*key), std::move(*value), uint64Field(kv, "mod_revision")};
}

uint64_t headerRevision(const Json &answer)
{
    const auto header = answer.find("header");
    return header != answer.end() && header->is_object() ? uint64Field(*header, "revision") : 0;
}

Json compareVersion(std::string_view key, uint64_t version)
{
    return {{"key", toBase64(key)}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(version)}};
}

/// Exclusive end of the range of all keys with the prefix.
std::string rangeEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty() && end.back() == '\xff') {
        end.pop_back();
    }
    if (!end.empty()) {
        end.back() = static_cast<char>(end.back() + 1);
    }
    return end.empty() ? std::string(1, '\0') : end;
}

Result<StoreEntry> readGetReply(std::string_view key, const StoreReply &reply)
{
    const auto answer = parseReply(reply);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    const auto kvs = answer->find("kvs");
    if (kvs == answer->end() || !kvs->is_array() || kvs->empty()) {
        return fail(Code::NotFound, key);
    }
    return parseEntry(kvs->front());
}

Result<StoreListing> readListReply(const StoreReply &reply)
{
    const auto answer = parseReply(reply);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    StoreListing out{{}, headerRevision(*answer)};
    const auto kvs = answer->find("kvs");
    if (kvs == answer->end() || !kvs->is_array()) {
        return out;
    }
    for (const Json &it : *kvs) {
        auto entry = parseEntry(it);
        if (!entry) {
            return tl::make_unexpected(entry.error());
        }
        out.entries.push_back(std::move(*entry));
    }
    return out;
}

StoreCall swapCall(const StoreSwap &change)
{
    Json put{{"key", toBase64(change.key)}, {"value", toBase64(change.value)}};
    if (change.lease != 0) {
        put["lease"] = std::to_string(change.lease);
    }
    Json body{{"compare", Json::array({compareVersion(change.key, change.version)})},
              {"success", Json::array({Json{{"request_put", std::move(put)}}})}};
    if (change.fence) {
        body["compare"].push_back(compareVersion(change.fence->key, change.fence->version));
    }
    return post("/v3/kv/txn", body);
}

Result<uint64_t> readSwapReply(const StoreSwap &change, const StoreReply &reply)
{
    const auto answer = parseReply(reply);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    const auto succeeded = answer->find("succeeded");
    if (succeeded == answer->end() || *succeeded != true) {
        return fail(Code::StoreConflict, change.key);
    }
    return headerRevision(*answer);
}

StoreCall putCall(std::string_view key, std::string_view value, uint64_t lease)
{
    Json body{{"key", toBase64(key)}, {"value", toBase64(value)}};
    if (lease != 0) {
        body["lease"] = std::to_string(lease);
    }
    return post("/v3/kv/put", body);
}

Result<uint64_t> readGrantReply(const StoreReply &reply)
{
    const auto answer = parseReply(reply);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    const uint64_t lease = uint64Field(*answer, "ID");
    return lease == 0 ? Result<uint64_t>(fail(Code::StoreBadValue, "the reply to a lease grant has no lease id"))
                      : Result<uint64_t>(lease);
}

Result<Duration> readRenewalReply(const StoreReply &reply)
{
    const auto answer = parseReply(reply);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    const auto result = answer->find("result");
    const uint64_t seconds = result != answer->end() && result->is_object() ? uint64Field(*result, "TTL") : 0;
    if (seconds == 0) {
        return fail(Code::LeaseLapsed, "the lease has expired or was revoked");
    }
    return std::chrono::seconds(seconds);
}

StoreCall watchCall(const StoreWatch &watch)
{
    Json create{{"key", toBase64(watch.key)}, {"progress_notify", true}};
    if (watch.fromRevision != 0) {
        create["start_revision"] = std::to_string(watch.fromRevision);
    }
    return post("/v3/watch", Json{{"create_request", std::move(create)}});
}

bool readEvent(const Json &event, uint64_t revision, const StoreWatch &watch)
{
    if (!event.is_object() || !event.contains("kv")) {
        return false;
    }
    auto entry = parseEntry(event["kv"]);
    if (!entry) {
        return false;
    }
    const auto type = event.find("type");
    if (type != event.end() && *type == "DELETE") {
        watch.changed({std::nullopt, revision});
    } else {
        watch.changed({std::move(*entry), revision});
    }
    return true;
}

Result<size_t> readWatchMessage(std::string_view line, const StoreWatch &watch)
{
    const Json message = Json::parse(line, nullptr, false);
    const auto result = message.is_object() ? message.find("result") : message.end();
    if (!message.is_object() || result == message.end() || !result->is_object()) {
        return fail(Code::StoreBadValue, "the watch sent a message without a result object");
    }
    if (watch.alive) {
        watch.alive();
    }
    if (result->value("canceled", false)) {
        return fail(Code::NotFound, "the revision of the watch was compacted");
    }
    const auto events = result->find("events");
    size_t bad = 0;
    if (events != result->end() && events->is_array()) {
        for (const Json &it : *events) {
            bad += readEvent(it, headerRevision(*result), watch) ? 0 : 1;
        }
    }
    return bad;
}

} // namespace

StoreProtocol etcdProtocol()
{
    StoreProtocol out;
    out.get = [](std::string_view key) {
        return post("/v3/kv/range", {{"key", toBase64(key)}});
    };
    out.readGet = readGetReply;
    out.list = [](std::string_view prefix, std::string_view, ListFreshness freshness) {
        return post("/v3/kv/range", {{"key", toBase64(prefix)},
                                     {"range_end", toBase64(rangeEnd(prefix))},
                                     {"serializable", freshness == ListFreshness::MayBeStale}});
    };
    out.readList = readListReply;
    out.swap = swapCall;
    out.readSwap = readSwapReply;
    out.put = putCall;
    out.remove = [](std::string_view key) {
        return post("/v3/kv/deleterange", {{"key", toBase64(key)}});
    };
    out.readWrite = [](const StoreReply &reply) {
        return parseReply(reply).map(headerRevision);
    };
    out.grantLease = [](Duration timeToLive) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeToLive).count();
        return post("/v3/lease/grant", {{"TTL", std::to_string(seconds)}});
    };
    out.readGrant = readGrantReply;
    out.renewLease = [](uint64_t lease) {
        return post("/v3/lease/keepalive", {{"ID", std::to_string(lease)}});
    };
    out.readRenewal = readRenewalReply;
    out.revokeLease = [](uint64_t lease) {
        return post("/v3/lease/revoke", {{"ID", std::to_string(lease)}});
    };
    out.watch = watchCall;
    out.readWatchLine = readWatchMessage;
    return out;
}

} // namespace damask
