#include "damask-load/runner.h"

#include "base/hash.h"
#include "base/thread.h"
#include "call/headers.h"
#include "settings/settings.h"

#include <httplib.h>
#include <memory>

namespace damask::standin {

namespace {

constexpr std::chrono::seconds AnswerTimeout{30}; // a call without a response after this counts as unanswered

bool idempotentMethod(std::string_view method)
{
    return method != "POST" && method != "PATCH";
}

std::string bodyOf(const CallKind &kind, std::string_view id)
{
    std::string body(kind.bodyBytes, 'x');
    return kind.method == "GET" || kind.method == "HEAD" ? "" : std::string(id) + body;
}

Outcome outcomeOf(std::string_view text, bool direct)
{
    if (text == outcomeName(Outcome::Answered) || direct) {
        return Outcome::Answered;
    }
    return text == outcomeName(Outcome::NotRun) ? Outcome::NotRun : Outcome::Unknown;
}

/// State shared by the workers of one run.
class Run
{
public:
    Run(Clock &clock, const RunnerOptions &options, const PlanOptions &planOptions)
        : m_clock(clock)
        , m_options(options)
        , m_kinds(planOptions.kinds)
        , m_plan(planOptions)
        , m_wake(clock)
        , m_startedAt(clock.now())
    {
    }

    /// Waits until the next call is due; false at the end of the run.
    bool waitForNext(PlannedCall &call)
    {
        LockGuard lock(m_mutex);
        call = m_plan.next();
        if (call.at >= m_options.length) {
            return false;
        }
        ++m_sent;
        const TimePoint due = m_startedAt + call.at;
        while (m_wake.waitUntil(lock, due)) { }
        return true;
    }

    void work(size_t worker)
    {
        size_t entry = worker;
        std::unique_ptr<httplib::Client> client = connectTo(entry);
        std::vector<CallRecord> records;
        PlannedCall planned;
        while (waitForNext(planned)) {
            records.push_back(call(client, entry, planned));
        }
        LockGuard lock(m_mutex);
        m_records.insert(m_records.end(), std::make_move_iterator(records.begin()),
                         std::make_move_iterator(records.end()));
    }

    uint64_t sent() const
    {
        LockGuard lock(m_mutex);
        return m_sent;
    }

    std::vector<CallRecord> takeRecords()
    {
        LockGuard lock(m_mutex);
        return std::move(m_records);
    }

private:
    std::unique_ptr<httplib::Client> connectTo(size_t entry) const
    {
        const Endpoint &endpoint = m_options.entries[entry % m_options.entries.size()];
        auto client = std::make_unique<httplib::Client>(endpoint.address, endpoint.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_url_encode(false);
        client->set_read_timeout(AnswerTimeout);
        client->set_connection_timeout(AnswerTimeout);
        return client;
    }

    /// Sends the request; tries the next entry if a connection fails, as the platform's balancer does.
    httplib::Result send(std::unique_ptr<httplib::Client> &client, size_t &entry, const httplib::Request &request) const
    {
        for (size_t n = 1; n < m_options.entries.size(); ++n) {
            auto result = client->send(request);
            if (result.error() != httplib::Error::Connection) {
                return result;
            }
            client = connectTo(++entry);
        }
        return client->send(request);
    }

    CallRecord call(std::unique_ptr<httplib::Client> &client, size_t &entry, const PlannedCall &planned) const
    {
        const CallKind &kind = m_kinds[planned.kind];
        CallRecord record;
        record.id = m_options.runName + "-" + std::to_string(planned.number);
        record.kind = planned.kind;
        record.idempotent = idempotentMethod(kind.method);
        record.at = planned.at;
        httplib::Request request;
        request.method = kind.method;
        request.path = kind.path;
        request.body = bodyOf(kind, record.id);
        request.headers = headersOf(kind, record.id);
        const auto result = send(client, entry, request);
        record.latency = m_clock.now() - (m_startedAt + planned.at);
        if (result) {
            readAnswer(*result, request, record);
        }
        return record;
    }

    httplib::Headers headersOf(const CallKind &kind, std::string_view id) const
    {
        httplib::Headers headers{{std::string(header::RequestId), std::string(id)}};
        if (!kind.host.empty()) {
            headers.emplace("Host", kind.host);
        }
        if (m_options.deadline > Duration::zero()) {
            headers.emplace(header::Deadline, std::to_string(static_cast<int64_t>(toMilliseconds(m_options.deadline))));
        }
        if (kind.chain > 0) {
            headers.emplace("X-Chain-Left", std::to_string(kind.chain));
        }
        return headers;
    }

    void readAnswer(const httplib::Response &answer, const httplib::Request &request, CallRecord &record) const
    {
        record.answered = true;
        record.status = answer.status;
        record.outcome = outcomeOf(answer.get_header_value(std::string(header::Outcome)), m_options.direct);
        record.code = answer.get_header_value(std::string(header::ResultCode));
        record.target = answer.get_header_value(m_options.direct ? "X-Target" : std::string(header::Target));
        if (answer.status == 200) {
            const std::string echo = request.method + " " + record.id + " " + std::to_string(hashBytes(request.body))
                                     + (record.idempotent ? "" : " once");
            record.matchesRequest = answer.body == echo;
        }
    }

    Clock &m_clock;
    const RunnerOptions &m_options;
    const std::vector<CallKind> &m_kinds;
    Plan m_plan;
    mutable RankedMutex m_mutex{LockRank::Program};
    Condition m_wake;
    TimePoint m_startedAt;
    std::vector<CallRecord> m_records;
    uint64_t m_sent = 0;
};

} // namespace

std::vector<CallRecord> runLoad(Clock &clock, const RunnerOptions &options, const PlanOptions &planOptions,
                                const ProgressHook &progress)
{
    Run run(clock, options, planOptions);
    std::vector<Thread> workers;
    for (size_t n = 0; n < options.workers; ++n) {
        workers.emplace_back("load", [&run, n] { run.work(n); });
    }
    RankedMutex mutex{LockRank::Program};
    Condition tick(clock);
    for (Duration at = std::chrono::seconds(1); at < options.length; at += std::chrono::seconds(1)) {
        const TimePoint due = clock.now() + std::chrono::seconds(1);
        {
            LockGuard lock(mutex);
            while (tick.waitUntil(lock, due)) { }
        }
        progress(run.sent());
    }
    for (Thread &it : workers) {
        it.join();
    }
    return run.takeRecords();
}

std::string fetchText(const Endpoint &endpoint, std::string_view path)
{
    httplib::Client client(endpoint.address, endpoint.port);
    const auto result = client.Get(std::string(path));
    return result && result->status == 200 ? result->body : "";
}

} // namespace damask::standin
