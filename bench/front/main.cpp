/// Compares the front with httplib's own server: round trips on a persistent connection and the cost of idle
/// connections. Prints JSON lines.
#include "base/check.h"
#include "base/thread.h"
#include "fakes/raw_caller.h"
#include "front/server.h"

#include <algorithm>
#include <cstdio>
#include <docopt/docopt.h>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <memory>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Usage = R"(bench-front: compares the front with the stock server of the HTTP library.

Usage:
  bench-front [--rounds=N] [--calls=N] [--idle=N] [--stock-idle=N] [--idle-time=S]

Options:
  --rounds=N      Number of interleaved rounds [default: 7].
  --calls=N       Round trips of each server in a round [default: 4000].
  --idle=N        Idle connections to the front [default: 1000].
  --stock-idle=N  Idle connections to the stock server, one thread each [default: 200].
  --idle-time=S   Seconds for which idle connections are measured [default: 3].
)";

constexpr int StockThreads = 4; // for round trips

/// A server and its name in the "server" member of the output.
struct ServerUnderTest {
    std::string_view name;
    uint16_t port = 0;
};

struct RoundTrips {
    std::vector<double> p50; // us, one for each round
    std::vector<double> p99;
    std::vector<double> cpu; // CPU time of the server's threads, in us per call
};

struct ProcessUsage {
    double cpuSeconds = 0;
    long switches = 0;
};

/// The library's own server in its documented set-up, with Nagle's algorithm off and persistent connections.
class StockServer
{
public:
    explicit StockServer(size_t threads)
    {
        m_server.new_task_queue = [threads] {
            return new httplib::ThreadPool(threads);
        };
        m_server.set_keep_alive_max_count(1000000);
        m_server.set_keep_alive_timeout(60);
        m_server.set_tcp_nodelay(true);
        m_server.Get("/x",
                     [](const httplib::Request &, httplib::Response &out) { out.set_content("ok", "text/plain"); });
        port = static_cast<uint16_t>(m_server.bind_to_any_port("127.0.0.1"));
        m_thread = Thread("stock", [this] { m_server.listen_after_bind(); });
    }
    ~StockServer()
    {
        m_server.stop();
    }

    uint16_t port = 0;

private:
    httplib::Server m_server;
    Thread m_thread;
};

CallResponse answerOk(const CallRequest &, CancelToken &)
{
    CallResponse answer;
    answer.status = 200;
    answer.outcome = Outcome::Answered;
    answer.body = "ok";
    return answer;
}

double quantile(std::vector<double> &values, double share)
{
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * share);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

ProcessUsage usageOf(int who)
{
    rusage now{};
    ::getrusage(who, &now);
    const auto seconds = [](const timeval &n) {
        return static_cast<double>(n.tv_sec) + static_cast<double>(n.tv_usec) / 1e6;
    };
    return {seconds(now.ru_utime) + seconds(now.ru_stime), now.ru_nvcsw + now.ru_nivcsw};
}

ProcessUsage usageNow()
{
    return usageOf(RUSAGE_SELF);
}

/// CPU time of all threads except this one, which makes the calls.
double serverCpuSeconds()
{
    return usageNow().cpuSeconds - usageOf(RUSAGE_THREAD).cpuSeconds;
}

/// Resident memory of this process, in bytes.
double residentBytes()
{
    long total = 0;
    long resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

void measureRound(const Clock &clock, const ServerUnderTest &server, int calls, RoundTrips &out)
{
    RawCaller caller(server.port);
    const std::string request = getRequest("/x");
    std::vector<double> times;
    const double cpuBefore = serverCpuSeconds();
    for (int n = 0; n < calls; ++n) {
        const TimePoint before = clock.now();
        const RawResponse answer = caller.ask(request);
        times.push_back(toMilliseconds(clock.now() - before) * 1000);
        DAMASK_ASSERT(answer.status == 200, "the server under test refused a call");
    }
    out.cpu.push_back((serverCpuSeconds() - cpuBefore) * 1e6 / calls);
    out.p50.push_back(quantile(times, 0.5));
    out.p99.push_back(quantile(times, 0.99));
}

void printFigure(std::string_view server, std::string_view figure, std::string_view unit, double value,
                 std::string_view more)
{
    std::cout << R"({"case":"front","server":")" << server << R"(","figure":")" << figure << R"(","unit":")" << unit
              << R"(","value":)" << value << more << "}\n";
}

void printRounds(std::string_view server, std::string_view figure, std::vector<double> &rounds)
{
    const auto [least, most] = std::minmax_element(rounds.begin(), rounds.end());
    const std::string spread = ",\"least\":" + std::to_string(*least) + ",\"most\":" + std::to_string(*most)
                               + ",\"rounds\":" + std::to_string(rounds.size());
    printFigure(server, figure, "us", quantile(rounds, 0.5), spread);
}

void measureIdle(Clock &clock, const ServerUnderTest &server, int connections, Duration time)
{
    std::vector<std::unique_ptr<RawCaller>> callers;
    const double residentBefore = residentBytes();
    for (int n = 0; n < connections; ++n) {
        callers.push_back(std::make_unique<RawCaller>(server.port));
        callers.back()->ask(getRequest("/x"));
    }
    const double residentAfter = residentBytes();
    RankedMutex mutex{LockRank::Program};
    Condition neverNotified(clock);
    LockGuard lock(mutex);
    const ProcessUsage before = usageNow();
    const TimePoint start = clock.now();
    while (neverNotified.waitUntil(lock, start + time)) { }
    const double seconds = toSeconds(clock.now() - start);
    const ProcessUsage after = usageNow();
    const std::string label = ",\"connections\":" + std::to_string(connections);
    printFigure(server.name, "idle_connection_bytes", "B", (residentAfter - residentBefore) / connections, label);
    printFigure(server.name, "idle_core_percent", "%", (after.cpuSeconds - before.cpuSeconds) / seconds * 100, label);
    printFigure(server.name, "idle_switches_per_s", "1/s",
                static_cast<double>(after.switches - before.switches) / seconds, label);
}

int intOption(const std::map<std::string, docopt::value> &options, const char *name)
{
    return static_cast<int>(options.at(name).asLong());
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = docopt::docopt(std::string(Usage), {argv + 1, argv + argc}, true);
    Clock clock;
    Metrics metrics;
    FrontServer front(clock, metrics, {}, answerOk);
    const auto started = front.start();
    DAMASK_ASSERT(started.has_value(), "can't bind a port on the loopback interface");
    const ServerUnderTest ours{"front", front.port()};
    const Duration idleTime = std::chrono::seconds(intOption(options, "--idle-time"));
    {
        const StockServer stock(StockThreads);
        RoundTrips oursTrips;
        RoundTrips stockTrips;
        for (int n = 0; n < intOption(options, "--rounds"); ++n) {
            measureRound(clock, ours, intOption(options, "--calls"), oursTrips);
            measureRound(clock, {"stock", stock.port}, intOption(options, "--calls"), stockTrips);
        }
        printRounds("front", "round_trip_p50", oursTrips.p50);
        printRounds("front", "round_trip_p99", oursTrips.p99);
        printRounds("front", "cpu_per_call", oursTrips.cpu);
        printRounds("stock", "cpu_per_call", stockTrips.cpu);
        printRounds("stock", "round_trip_p50", stockTrips.p50);
        printRounds("stock", "round_trip_p99", stockTrips.p99);
    }
    measureIdle(clock, ours, intOption(options, "--idle"), idleTime);
    const int stockIdle = intOption(options, "--stock-idle");
    const StockServer stock(static_cast<size_t>(stockIdle));
    measureIdle(clock, {"stock", stock.port}, stockIdle, idleTime);
    return 0;
}
