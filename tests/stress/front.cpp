/// Many callers against one FrontServer, then a stop under load. Exits 1 if a caller received the response of another
/// call, or if a call ran and its caller, still waiting, did not receive the complete response.
#include "base/random.h"
#include "base/thread.h"
#include "fakes/raw_caller.h"
#include "front/server.h"

#include <atomic>
#include <cstdio>
#include <set>
#include <vector>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr int Callers = 16;
constexpr int CallsBeforeStop = 4000;

/// Counts over all callers.
struct Tally {
    std::atomic<int> answered{0};
    std::atomic<int> cancelled{0};
    std::atomic<int> busy{0}; // refused while calls of disconnected callers were still running
    std::atomic<int> wrong{0};
    RankedMutex mutex{LockRank::Leaf};
    std::set<std::string> ran;    // paths handled
    std::set<std::string> closed; // paths whose connection closed before the response
};

CallResponse echo(Tally &tally, const CallRequest &call)
{
    {
        LockGuard lock(tally.mutex);
        tally.ran.insert(call.path);
    }
    CallResponse response;
    response.status = 200;
    response.outcome = Outcome::Answered;
    response.body = call.path + "|" + call.body;
    return response;
}

/// Pipelines a few requests on one connection and receives their responses; false if the connection closed.
bool exchangeRequests(RawCaller &caller, Tally &tally, const RandomSource &random, std::string_view name)
{
    const uint64_t count = 1 + randomBelow(random, 3);
    std::vector<std::string> expected;
    std::string bytes;
    for (uint64_t n = 0; n < count; ++n) {
        const std::string path = std::string(name) + "/" + std::to_string(random());
        const std::string body(randomBelow(random, 2000), static_cast<char>('a' + n));
        bytes += "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                 + body;
        expected.push_back(path + "|" + body);
    }
    caller.send(bytes);
    if (randomBelow(random, 50) == 0) {
        ++tally.cancelled;
        return false;
    }
    for (const std::string &it : expected) {
        const RawResponse answer = caller.receive();
        if (answer.status == 0) {
            LockGuard lock(tally.mutex);
            tally.closed.insert(it.substr(0, it.find('|')));
            return false;
        }
        if (answer.status == 503 && answer.field("X-Damask-Code") == "114 EntryBusy") {
            ++tally.busy;
        } else {
            ++(answer.status == 200 && answer.body == it ? tally.answered : tally.wrong);
        }
        if (answer.field("Connection") == "close") {
            return false;
        }
    }
    return true;
}

void callUntil(const std::atomic<bool> &stopping, uint16_t port, Tally &tally, int number)
{
    const RandomSource random = seededRandom(static_cast<uint64_t>(number));
    const std::string name = "/" + std::to_string(number);
    while (!stopping) {
        RawCaller caller(port);
        while (exchangeRequests(caller, tally, random, name)) { }
    }
}

/// Number of calls that ran although their waiting caller received no response; must be 0.
int lostCalls(const Tally &tally)
{
    int lost = 0;
    for (const std::string &it : tally.closed) {
        lost += tally.ran.contains(it) ? 1 : 0;
    }
    return lost;
}

} // namespace

int main()
{
    Clock clock;
    Metrics metrics;
    Tally tally;
    FrontOptions options;
    options.admission = {.workers = 32, .reservedPerLevel = 1, .levels = 15};
    FrontServer front(clock, metrics, options,
                      [&tally](const CallRequest &call, CancelToken &) { return echo(tally, call); });
    if (!front.start()) {
        return 1;
    }
    std::atomic<bool> stopping{false};
    std::vector<Thread> threads;
    for (int n = 0; n < Callers; ++n) {
        threads.emplace_back("caller", [&, n] { callUntil(stopping, front.port(), tally, n); });
    }
    RankedMutex mutex{LockRank::Program};
    Condition neverNotified(clock);
    {
        LockGuard lock(mutex);
        while (tally.answered < CallsBeforeStop) {
            neverNotified.waitUntil(lock, clock.now() + 1ms);
        }
    }
    stopping = true;
    front.stop();
    threads.clear();
    const int lost = lostCalls(tally);
    std::printf("answered %d, cancelled %d, busy %d, wrong %d, closed before they ran %zu, lost %d\n",
                tally.answered.load(), tally.cancelled.load(), tally.busy.load(), tally.wrong.load(),
                tally.closed.size() - static_cast<size_t>(lost), lost);
    return tally.wrong == 0 && lost == 0 ? 0 : 1;
}
