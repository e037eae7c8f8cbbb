#include "damask-store/service.h"

#include "base/thread.h"
#include "damask-store/json_codec.h"

#include <atomic>
#include <httplib.h>

namespace damask::standin {

namespace {

constexpr const char *JsonType = "application/json";
constexpr int GrpcNotFound = 5;        // as in the published protocol
constexpr int GrpcInvalidArgument = 3; // as in the published protocol

void refuse(httplib::Response &response, int code, std::string_view message)
{
    response.status = code == GrpcNotFound ? 404 : 400;
    response.set_content(Json{{"error", message}, {"message", message}, {"code", code}}.dump(), JsonType);
}

/// Closes the connection in the middle of the response, as a broken link does.
void loseAnswer(httplib::Response &response)
{
    response.set_content_provider(1, JsonType, [](size_t, size_t, httplib::DataSink &) { return false; });
}

} // namespace

struct Service::State {
    Clock &clock;
    ServiceOptions options;
    KeyValues keys;
    InstanceTable instances;
    httplib::Server server;
    Thread listening;
    Thread expiring;
    int boundPort = -1;

    mutable RankedMutex mutex{LockRank::Leaf};
    Condition wake;
    Faults faults;                                          // guarded by mutex
    std::map<std::string, uint64_t, std::less<>> callCount; // by kind; guarded by mutex
    int watches = 0;                                        // open now; guarded by mutex
    bool stopping = false;                                  // guarded by mutex
    bool listenEnded = true;                                // guarded by mutex

    State(Clock &clockIn, const ServiceOptions &optionsIn)
        : clock(clockIn)
        , options(optionsIn)
        , keys(clockIn)
        , instances(clockIn)
        , wake(clockIn)
    {
    }

    using Handler = std::function<void(const Json &, httplib::Response &)>;

    Faults currentFaults() const
    {
        LockGuard lock(mutex);
        return faults;
    }

    bool ending() const
    {
        LockGuard lock(mutex);
        return stopping || faults.down;
    }

    /// Counts the call and applies the injected delay; false if the service is down and the call must be dropped.
    bool admit(std::string_view kind)
    {
        LockGuard lock(mutex);
        const auto it = callCount.find(kind);
        if (it == callCount.end()) {
            callCount.emplace(kind, 1);
        } else {
            ++it->second;
        }
        const TimePoint until = clock.now() + faults.slow;
        while (!stopping && clock.now() < until) {
            wake.waitUntil(lock, until);
        }
        return !faults.down;
    }

    void route(const char *path, std::string_view kind, bool writes, Handler handler)
    {
        server.Post(path, [this, kind = std::string(kind), writes,
                           handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
            if (!admit(kind)) {
                loseAnswer(response);
                return;
            }
            const Json body = Json::parse(request.body, nullptr, false);
            if (!body.is_object()) {
                refuse(response, GrpcInvalidArgument, "the body is not a JSON object");
                return;
            }
            handler(body, response);
            if (writes && currentFaults().loseConfirmations) {
                response.body.clear();
                loseAnswer(response);
            }
        });
    }

    void answer(httplib::Response &response, Json body) const
    {
        body["header"] = header(keys.revision());
        response.set_content(body.dump(), JsonType);
    }

    void range(const Json &body, httplib::Response &response) const
    {
        const auto found = keys.range(bytesOf(body, "key"), bytesOf(body, "range_end"));
        Json kvs = Json::array();
        for (const KeyValue &it : found) {
            kvs.push_back(toJson(it));
        }
        Json out{{"count", std::to_string(found.size())}};
        if (!found.empty()) {
            out["kvs"] = std::move(kvs);
        }
        answer(response, std::move(out));
    }

    bool readPut(const Json &from, Put &out, httplib::Response &response) const
    {
        out = {bytesOf(from, "key"), bytesOf(from, "value"), numberOf(from, "lease")};
        if (out.key.empty()) {
            refuse(response, GrpcInvalidArgument, "key is not provided");
            return false;
        }
        if (out.value.size() > options.maxValueBytes) {
            refuse(response, GrpcInvalidArgument, "request is too large");
            return false;
        }
        return true;
    }

    void transact(std::span<const Compare> compares, std::span<const Put> puts, httplib::Response &response)
    {
        const auto outcome = keys.txn(compares, puts);
        if (!outcome) {
            refuse(response, GrpcNotFound, outcome.error().detail);
            return;
        }
        Json out{{"header", header(outcome->revision)}};
        if (outcome->succeeded) {
            out["succeeded"] = true;
        }
        response.set_content(out.dump(), JsonType);
    }

    void put(const Json &body, httplib::Response &response)
    {
        Put one;
        if (readPut(body, one, response)) {
            transact({}, std::span(&one, 1), response);
        }
    }

    void txn(const Json &body, httplib::Response &response)
    {
        std::vector<Compare> compares;
        std::vector<Put> puts;
        for (const Json &it : body.value("compare", Json::array())) {
            if (textOf(it, "target") != "MOD" || textOf(it, "result") != "EQUAL") {
                refuse(response, GrpcInvalidArgument, "the stand-in supports only MOD compares with EQUAL");
                return;
            }
            compares.push_back({bytesOf(it, "key"), numberOf(it, "mod_revision")});
        }
        for (const Json &it : body.value("success", Json::array())) {
            Put one;
            if (!it.contains("request_put")) {
                refuse(response, GrpcInvalidArgument, "the stand-in supports only request_put");
                return;
            }
            if (!readPut(it["request_put"], one, response)) {
                return;
            }
            puts.push_back(std::move(one));
        }
        transact(compares, puts, response);
    }

    void remove(const Json &body, httplib::Response &response)
    {
        answer(response, {{"deleted", std::to_string(keys.remove(bytesOf(body, "key")))}});
    }

    void grant(const Json &body, httplib::Response &response)
    {
        const uint64_t seconds = numberOf(body, "TTL");
        const uint64_t id = keys.grant(std::chrono::seconds(seconds), numberOf(body, "ID"));
        answer(response, {{"ID", std::to_string(id)}, {"TTL", std::to_string(seconds)}});
        wakeExpiry();
    }

    void renew(const Json &body, httplib::Response &response)
    {
        const uint64_t id = numberOf(body, "ID");
        const auto left = keys.keepAlive(id);
        Json result{{"header", header(keys.revision())}, {"ID", std::to_string(id)}};
        if (left) {
            result["TTL"] = std::to_string(std::chrono::duration_cast<std::chrono::seconds>(*left).count());
        }
        response.set_content(Json{{"result", std::move(result)}}.dump(), JsonType);
    }

    void revoke(const Json &body, httplib::Response &response)
    {
        if (const auto revoked = keys.revoke(numberOf(body, "ID")); !revoked) {
            refuse(response, GrpcNotFound, revoked.error().detail);
            return;
        }
        answer(response, Json::object());
    }

    void countWatches(int by)
    {
        LockGuard lock(mutex);
        watches += by;
    }

    /// Sends the changes since `from`; false ends the watch.
    bool streamChanges(const std::string &key, uint64_t &from, httplib::DataSink &sink)
    {
        const auto changes = keys.changes(key, from, clock.now() + options.progress);
        if (ending()) {
            return false;
        }
        Json result{{"header", header(keys.revision())}};
        if (!changes) {
            result["canceled"] = true;
        } else if (!changes->empty()) {
            Json events = Json::array();
            for (const KeyValue &it : *changes) {
                Json event{{"kv", toJson(it)}};
                if (it.deleted) {
                    event["type"] = "DELETE";
                }
                events.push_back(std::move(event));
                from = it.modRevision + 1;
            }
            result["events"] = std::move(events);
        }
        const std::string line = Json{{"result", std::move(result)}}.dump() + "\n";
        return sink.write(line.data(), line.size()) && changes.has_value();
    }

    void watch(const Json &body, httplib::Response &response)
    {
        const Json create = body.value("create_request", Json::object());
        const std::string key = bytesOf(create, "key");
        const uint64_t wanted = numberOf(create, "start_revision");
        const uint64_t from = wanted != 0 ? wanted : keys.revision() + 1;
        countWatches(1);
        response.set_chunked_content_provider(
            JsonType,
            [this, key, next = from, started = false](size_t, httplib::DataSink &sink) mutable {
                if (!std::exchange(started, true)) {
                    const Json created{{"result", {{"header", header(keys.revision())}, {"created", true}}}};
                    const std::string line = created.dump() + "\n";
                    return sink.write(line.data(), line.size());
                }
                return streamChanges(key, next, sink);
            },
            [this](bool) { countWatches(-1); });
    }

    void handleFault(const Json &body, httplib::Response &response)
    {
        {
            LockGuard lock(mutex);
            faults.down = body.value("down", faults.down);
            faults.loseConfirmations = body.value("lose-confirmations", faults.loseConfirmations);
            if (body.contains("slow-ms")) {
                faults.slow = fromMilliseconds(body.value("slow-ms", 0.0));
            }
        }
        if (body.contains("lag-ms")) {
            instances.setLag(fromMilliseconds(body.value("lag-ms", 0.0)));
        }
        if (body.contains("add")) {
            instances.add(instanceOf(body["add"]));
        }
        if (body.contains("leave")) {
            instances.markLeaving(textOf(body, "leave"));
        }
        if (body.contains("remove")) {
            instances.remove(textOf(body, "remove"));
        }
        keys.wakeAll();
        response.set_content("{}\n", JsonType);
    }

    void stats(httplib::Response &response) const
    {
        LockGuard lock(mutex);
        Json calls = Json::object();
        uint64_t total = 0;
        for (const auto &[kind, n] : callCount) {
            calls[kind] = n;
            total += n;
        }
        response.set_content(Json{{"calls", calls}, {"total", total}, {"watches", watches}}.dump() + "\n", JsonType);
    }

    void listInstances(httplib::Response &response)
    {
        if (!admit("instances")) {
            loseAnswer(response);
            return;
        }
        Json list = Json::array();
        for (const Instance &it : instances.visible()) {
            list.push_back(toJson(it));
        }
        response.set_content(Json{{"instances", std::move(list)}}.dump() + "\n", JsonType);
    }

    void routes()
    {
        using httplib::Request;
        using httplib::Response;
        const auto call = [this](void (State::*handler)(const Json &, Response &)) {
            return [this, handler](const Json &body, Response &response) {
                (this->*handler)(body, response);
            };
        };
        route("/v3/kv/range", "range", false, [this](const Json &b, Response &r) { range(b, r); });
        route("/v3/kv/put", "put", true, call(&State::put));
        route("/v3/kv/txn", "txn", true, call(&State::txn));
        route("/v3/kv/deleterange", "delete", true, call(&State::remove));
        route("/v3/lease/grant", "lease-grant", true, call(&State::grant));
        route("/v3/lease/keepalive", "lease-keepalive", true, call(&State::renew));
        route("/v3/lease/revoke", "lease-revoke", true, call(&State::revoke));
        route("/v3/watch", "watch", false, call(&State::watch));
        server.Get("/instances", [this](const Request &, Response &r) { listInstances(r); });
        server.Get("/stats", [this](const Request &, Response &r) { stats(r); });
        server.Post("/fault", [this](const Request &request, Response &response) {
            const Json body = Json::parse(request.body, nullptr, false);
            if (!body.is_object()) {
                refuse(response, GrpcInvalidArgument, "the body is not a JSON object");
                return;
            }
            handleFault(body, response);
        });
        server.set_exception_handler([](const Request &, Response &response, std::exception_ptr) {
            refuse(response, GrpcInvalidArgument, "a field has the wrong type");
        });
    }

    void listen()
    {
        server.listen_after_bind();
        LockGuard lock(mutex);
        listenEnded = true;
        wake.notifyAll();
    }

    /// httplib ignores a stop() issued before its accept loop has started, so stop() is repeated until the loop has
    /// ended.
    void stopListening()
    {
        constexpr Duration Step = std::chrono::milliseconds(5);
        while (true) {
            server.stop();
            LockGuard lock(mutex);
            if (listenEnded) {
                return;
            }
            wake.waitUntil(lock, clock.now() + Step);
        }
    }

    void wakeExpiry()
    {
        LockGuard lock(mutex);
        wake.notifyAll();
    }

    void expire()
    {
        while (true) {
            keys.expireLeases();
            const TimePoint next = keys.nextExpiry();
            LockGuard lock(mutex);
            if (stopping) {
                return;
            }
            wake.waitUntil(lock, std::min(next, clock.now() + std::chrono::seconds(1)));
        }
    }
};

Service::Service(Clock &clock, const ServiceOptions &options)
    : m_state(std::make_unique<State>(clock, options))
{
}

Service::~Service()
{
    stop();
}

Result<void> Service::start()
{
    State &state = *m_state;
    state.routes();
    const size_t threads = state.options.threads;
    state.server.new_task_queue = [threads] {
        return new httplib::ThreadPool(threads);
    };
    state.server.set_tcp_nodelay(true);
    state.server.set_keep_alive_max_count(1);
    const std::string &address = state.options.address;
    state.boundPort = state.options.port == 0 ? state.server.bind_to_any_port(address)
                      : state.server.bind_to_port(address, int{state.options.port}) ? state.options.port
                                                                                    : -1;
    if (state.boundPort < 0) {
        return fail(Code::SystemError, "can't listen on " + address);
    }
    state.listenEnded = false;
    state.listening = Thread("store-listen", [&state] { state.listen(); });
    state.expiring = Thread("store-expire", [&state] { state.expire(); });
    return {};
}

void Service::stop()
{
    State &state = *m_state;
    {
        LockGuard lock(state.mutex);
        state.stopping = true;
        state.wake.notifyAll();
    }
    state.keys.wakeAll();
    state.stopListening();
    state.listening.join();
    state.expiring.join();
}

uint16_t Service::port() const
{
    return static_cast<uint16_t>(m_state->boundPort);
}

void Service::setFaults(const Faults &faults)
{
    {
        LockGuard lock(m_state->mutex);
        m_state->faults = faults;
    }
    m_state->keys.wakeAll();
}

KeyValues &Service::keys()
{
    return m_state->keys;
}

InstanceTable &Service::instances()
{
    return m_state->instances;
}

uint64_t Service::calls(std::string_view kind) const
{
    LockGuard lock(m_state->mutex);
    const auto it = m_state->callCount.find(kind);
    return it == m_state->callCount.end() ? 0 : it->second;
}

} // namespace damask::standin
