#include "store/client.h"

#include "base/log.h"
#include "store/base64.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace damask {

namespace {

using Json = nlohmann::json;

constexpr size_t MaxAnswerBytes = 8 * 1024 * 1024;

/// What a lost answer means for the caller.
enum class CallKind {
    Read,  // nothing changed
    Write, // it may have taken effect
};

/// The protocol writes 64-bit numbers as strings; fields at their default are left out.
uint64_t numberOf(const Json &object, std::string_view field)
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

Result<std::string> bytesOf(const Json &object, std::string_view field)
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

Result<StoreEntry> entryOf(const Json &kv)
{
    if (!kv.is_object()) {
        return fail(Code::StoreBadValue, "kv: must be an object");
    }
    auto key = bytesOf(kv, "key");
    auto value = bytesOf(kv, "value");
    if (!key || !value) {
        return tl::make_unexpected(key ? value.error() : key.error());
    }
    return StoreEntry{std::move(*key), std::move(*value), numberOf(kv, "mod_revision")};
}

uint64_t revisionOf(const Json &answer)
{
    const auto header = answer.find("header");
    return header != answer.end() && header->is_object() ? numberOf(*header, "revision") : 0;
}

Json compareVersion(std::string_view key, uint64_t version)
{
    return {{"key", toBase64(key)}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(version)}};
}

/// The first key after all that start with the prefix.
std::string endOf(std::string_view prefix)
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

bool nothingSent(httplib::Error ec)
{
    return ec == httplib::Error::Connection || ec == httplib::Error::ConnectionTimeout
           || ec == httplib::Error::BindIPAddress;
}

} // namespace

struct StoreClient::State {
    Clock &clock;
    Metrics &metrics;
    StoreOptions options;
    std::atomic<bool> reachable{false};

    State(Clock &clockIn, Metrics &metricsIn, const StoreOptions &optionsIn)
        : clock(clockIn)
        , metrics(metricsIn)
        , options(optionsIn)
    {
    }

    void prepare(httplib::Client &client, Duration silence) const
    {
        const auto micro = [](Duration it) {
            return std::chrono::duration_cast<std::chrono::microseconds>(it);
        };
        client.set_connection_timeout(micro(options.connectTimeout));
        client.set_read_timeout(micro(silence));
        client.set_write_timeout(micro(options.callTimeout));
        client.set_tcp_nodelay(true);
    }

    Error failure(CallKind kind, httplib::Error ec) const
    {
        const Code code = kind == CallKind::Read || nothingSent(ec) ? Code::StoreUnavailable : Code::StoreUnknown;
        return {code, httplib::to_string(ec)};
    }

    Result<std::string> exchange(httplib::Request &request, CallKind kind)
    {
        httplib::Client client(options.address, options.port);
        prepare(client, options.callTimeout);
        const TimePoint deadline = clock.now() + options.callTimeout + options.connectTimeout;
        std::string body;
        request.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
            body.append(data, n);
            return body.size() <= MaxAnswerBytes && clock.now() < deadline;
        };
        const httplib::Result result = client.send(request);
        if (!result) {
            return tl::make_unexpected(failure(kind, result.error()));
        }
        if (result->status != 200) {
            const Code code =
                kind == CallKind::Write && result->status >= 500 ? Code::StoreUnknown : Code::StoreUnavailable;
            return fail(code, "HTTP status " + std::to_string(result->status));
        }
        return body;
    }

    /// One call, counted by its kind and outcome.
    Result<Json> call(std::string_view name, std::string_view path, const Json &body, CallKind kind)
    {
        httplib::Request request;
        request.method = "POST";
        request.path = path;
        request.set_header("Content-Type", "application/json");
        request.body = body.dump();
        auto text = exchange(request, kind);
        Result<Json> answer =
            text ? Result<Json>(Json::parse(*text, nullptr, false)) : tl::make_unexpected(text.error());
        if (answer && !answer->is_object()) {
            const Code code = kind == CallKind::Write ? Code::StoreUnknown : Code::StoreBadValue;
            answer = fail(code, "the answer is not JSON");
        }
        note(name, answer ? Code::Ok : answer.error().code);
        return answer;
    }

    void note(std::string_view name, Code code)
    {
        reachable = code == Code::Ok || code == Code::StoreBadValue;
        metrics.count("damask_store_calls_total", {{"call", name}, {"code", codeName(code)}});
    }

    /// Reads one line of a watch's answer; false ends the watch.
    bool readWatchLine(std::string_view line, const StoreWatch &watch, Result<void> &outcome)
    {
        const Json message = Json::parse(line, nullptr, false);
        const auto result = message.is_object() ? message.find("result") : message.end();
        if (!message.is_object() || result == message.end() || !result->is_object()) {
            outcome = fail(Code::StoreBadValue, "the watch sent what is not a result");
            return false;
        }
        reachable = true;
        if (watch.alive) {
            watch.alive();
        }
        if (result->value("canceled", false)) {
            outcome = fail(Code::NotFound, "the watch's revision is compacted");
            return false;
        }
        const auto events = result->find("events");
        if (events == result->end() || !events->is_array()) {
            return true;
        }
        for (const Json &it : *events) {
            if (!readEvent(it, revisionOf(*result), watch)) {
                metrics.count("damask_store_bad_values_total");
            }
        }
        return true;
    }

    static bool readEvent(const Json &event, uint64_t revision, const StoreWatch &watch)
    {
        if (!event.is_object() || !event.contains("kv")) {
            return false;
        }
        auto entry = entryOf(event["kv"]);
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
};

StoreClient::StoreClient(Clock &clock, Metrics &metrics, const StoreOptions &options)
    : m_state(std::make_unique<State>(clock, metrics, options))
{
}

StoreClient::~StoreClient() = default;

Result<StoreEntry> StoreClient::get(std::string_view key)
{
    const auto answer = m_state->call("range", "/v3/kv/range", {{"key", toBase64(key)}}, CallKind::Read);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    const auto kvs = answer->find("kvs");
    if (kvs == answer->end() || !kvs->is_array() || kvs->empty()) {
        return fail(Code::NotFound, key);
    }
    return entryOf(kvs->front());
}

Result<StoreRead> StoreClient::list(std::string_view prefix)
{
    const Json body{{"key", toBase64(prefix)}, {"range_end", toBase64(endOf(prefix))}};
    const auto answer = m_state->call("range", "/v3/kv/range", body, CallKind::Read);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    StoreRead out{{}, revisionOf(*answer)};
    const auto kvs = answer->find("kvs");
    if (kvs == answer->end() || !kvs->is_array()) {
        return out;
    }
    for (const Json &it : *kvs) {
        auto entry = entryOf(it);
        if (!entry) {
            return tl::make_unexpected(entry.error());
        }
        out.entries.push_back(std::move(*entry));
    }
    return out;
}

Result<uint64_t> StoreClient::swap(const StoreSwap &change)
{
    if (change.value.size() > m_state->options.maxValueBytes) {
        m_state->note("txn", Code::StoreTooLarge);
        return fail(Code::StoreTooLarge, std::to_string(change.value.size()) + " bytes");
    }
    Json put{{"key", toBase64(change.key)}, {"value", toBase64(change.value)}};
    if (change.lease != 0) {
        put["lease"] = std::to_string(change.lease);
    }
    Json body{{"compare", Json::array({compareVersion(change.key, change.version)})},
              {"success", Json::array({Json{{"request_put", std::move(put)}}})}};
    if (change.fence) {
        body["compare"].push_back(compareVersion(change.fence->key, change.fence->version));
    }
    const auto answer = m_state->call("txn", "/v3/kv/txn", body, CallKind::Write);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    const auto succeeded = answer->find("succeeded");
    if (succeeded == answer->end() || *succeeded != true) {
        m_state->metrics.countCode("damask_store_refusals_total", Code::StoreConflict);
        return fail(Code::StoreConflict, change.key);
    }
    return revisionOf(*answer);
}

Result<uint64_t> StoreClient::put(std::string_view key, std::string_view value, uint64_t lease)
{
    if (value.size() > m_state->options.maxValueBytes) {
        return fail(Code::StoreTooLarge, std::to_string(value.size()) + " bytes");
    }
    Json body{{"key", toBase64(key)}, {"value", toBase64(value)}};
    if (lease != 0) {
        body["lease"] = std::to_string(lease);
    }
    const auto answer = m_state->call("put", "/v3/kv/put", body, CallKind::Write);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    return revisionOf(*answer);
}

Result<void> StoreClient::remove(std::string_view key)
{
    const auto answer = m_state->call("delete", "/v3/kv/deleterange", {{"key", toBase64(key)}}, CallKind::Write);
    return answer ? Result<void>() : tl::make_unexpected(answer.error());
}

Result<uint64_t> StoreClient::grantLease(Duration timeToLive)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeToLive).count();
    const auto answer =
        m_state->call("lease-grant", "/v3/lease/grant", {{"TTL", std::to_string(seconds)}}, CallKind::Write);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    const uint64_t lease = numberOf(*answer, "ID");
    return lease == 0 ? Result<uint64_t>(fail(Code::StoreBadValue, "the lease has no id")) : Result<uint64_t>(lease);
}

Result<Duration> StoreClient::keepLease(uint64_t lease)
{
    const auto answer =
        m_state->call("lease-keepalive", "/v3/lease/keepalive", {{"ID", std::to_string(lease)}}, CallKind::Write);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    const auto result = answer->find("result");
    const uint64_t seconds = result != answer->end() && result->is_object() ? numberOf(*result, "TTL") : 0;
    if (seconds == 0) {
        return fail(Code::LeaseLapsed, "the store no longer knows the lease");
    }
    return std::chrono::seconds(seconds);
}

Result<void> StoreClient::revokeLease(uint64_t lease)
{
    const auto answer =
        m_state->call("lease-revoke", "/v3/lease/revoke", {{"ID", std::to_string(lease)}}, CallKind::Write);
    return answer ? Result<void>() : tl::make_unexpected(answer.error());
}

Result<void> StoreClient::watch(const StoreWatch &watch, CancelToken &cancel)
{
    httplib::Client client(m_state->options.address, m_state->options.port);
    m_state->prepare(client, m_state->options.watchSilence);
    Json create{{"key", toBase64(watch.key)}, {"progress_notify", true}};
    if (watch.fromRevision != 0) {
        create["start_revision"] = std::to_string(watch.fromRevision);
    }
    Result<void> outcome = fail(Code::StoreUnavailable, "the watch ended");
    std::string pending;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v3/watch";
    request.set_header("Content-Type", "application/json");
    request.body = Json{{"create_request", std::move(create)}}.dump();
    request.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
        pending.append(data, n);
        for (size_t end = pending.find('\n'); end != std::string::npos; end = pending.find('\n')) {
            const std::string line = pending.substr(0, end);
            pending.erase(0, end + 1);
            if (!line.empty() && !m_state->readWatchLine(line, watch, outcome)) {
                return false;
            }
        }
        return pending.size() <= MaxAnswerBytes && !cancel.cancelled();
    };
    m_state->metrics.count("damask_store_calls_total", {{"call", "watch"}, {"code", codeName(Code::Ok)}});
    const uint64_t id = cancel.onCancel([&client] { client.stop(); });
    const auto result = client.send(request);
    cancel.forget(id);
    if (cancel.cancelled()) {
        return fail(Code::Cancelled, watch.key);
    }
    m_state->reachable = false;
    m_state->metrics.countCode("damask_store_watch_ends_total", outcome.error().code);
    return outcome;
}

Result<std::string> StoreClient::fetch(std::string_view path)
{
    httplib::Request request;
    request.method = "GET";
    request.path = path;
    auto text = m_state->exchange(request, CallKind::Read);
    m_state->metrics.count("damask_store_calls_total",
                           {{"call", "instances"}, {"code", codeName(text ? Code::Ok : text.error().code)}});
    return text;
}

bool StoreClient::reachable() const
{
    return m_state->reachable;
}

} // namespace damask
