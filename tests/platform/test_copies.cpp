// Workers that repeat earlier answers on kept connections, at any moment and in any order.
#include "back/sender.h"
#include "fakes/fake_target.h"
#include "platform/platform.h"

#include <atomic>
#include <criterion/criterion.h>
#include <map>
#include <random>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Unavailable = "503 Service Unavailable";

std::string idOf(const std::string &request)
{
    constexpr std::string_view Name = "X-Request-Id: ";
    const size_t at = request.find(Name);
    return at == std::string::npos ? "" : request.substr(at + Name.size(), request.find("\r\n", at) - at - Name.size());
}

/// A worker that draws its answers, and that repeats earlier answers of a connection before and after the due one.
struct RepeatingWorker {
    explicit RepeatingWorker(uint32_t seed, bool repeats)
        : random(seed)
        , repeating(repeats)
        , target([this](int connection, const std::string &request) { return answer(connection, idOf(request)); })
    {
    }
    FakeReply answer(int connection, const std::string &id)
    {
        std::vector<std::string> &earlier = answers[connection];
        std::string due;
        const bool refuses = draw(40);
        if (id.empty()) {
            due = refuses ? completeResponse("", "X-Not-Executed: 1\r\nRetry-After: 0.2\r\n", Unavailable)
                          : completeResponse("", "X-Instance-Id: i-1\r\nX-Server-Load: 1,0,6\r\n");
        } else if (refuses) {
            due = completeResponse("", "X-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\n", Unavailable);
        } else {
            const std::string fields = "X-Request-Id: " + id + "\r\nX-Response-Seal: s\r\n";
            due = completeResponse(id + " run " + std::to_string(++runs), fields,
                                   draw(20) ? "500 Internal Server Error" : "200 OK");
        }
        std::string bytes;
        const auto repeat = [&] {
            if (repeating && !earlier.empty() && draw(25)) {
                bytes += earlier[random() % earlier.size()];
                ++copies;
            }
        };
        repeat();
        repeat();
        bytes += due;
        repeat();
        earlier.push_back(due);
        return {bytes};
    }
    bool draw(uint32_t percent)
    {
        return random() % 100 < percent;
    }

    std::mt19937 random;
    bool repeating;
    std::map<int, std::vector<std::string>> answers; // by connection
    std::atomic<int> runs{0};
    std::atomic<int> copies{0};
    FakeTarget target; // last: its thread uses the others
};

/// Sends requests of up to three attempts each, with health checks between them.
struct CopiesRun {
    CopiesRun(uint32_t seed, bool repeats)
        : worker(seed, repeats)
        , sender(clock, metrics, {.connectTimeout = 2s}, platform::targetForm())
        , address(std::make_shared<TargetAddress>(TargetAddress{.name = "s/i-1",
                                                                .address = "127.0.0.1",
                                                                .port = worker.target.port(),
                                                                .connectionShare = 8,
                                                                .instance = "i-1",
                                                                .healthPath = "/health"}))
        , random(seed + 1)
    {
    }
    void sendAll(int requests)
    {
        for (int n = 0; n < requests; ++n) {
            if (random() % 3 == 0) {
                const std::array<std::shared_ptr<const TargetAddress>, 1> targets{address};
                sender.ask(targets, 2s);
            }
            sendOne("r-" + std::to_string(n));
        }
    }
    void sendOne(const std::string &id)
    {
        CallRequest request;
        request.method = "PUT";
        request.path = "/p/x";
        request.host = "a.example";
        request.requestId = id;
        for (int attempt = 0; attempt < 3; ++attempt) {
            const int before = worker.runs;
            const AttemptResult got =
                sender.send({.address = *address, .request = request, .timeLeft = 2s, .cancel = &cancel});
            if (got.end == AttemptEnd::Refused) {
                cr_assert(worker.runs == before, "%s: refused, but it has run", id.c_str());
                continue;
            }
            if (got.end == AttemptEnd::Answered) {
                cr_assert(worker.runs == before + 1);
                cr_assert(got.response.body == id + " run " + std::to_string(before + 1), "%s got: %s", id.c_str(),
                          got.response.body.c_str());
                ++answered;
            }
            break;
        }
    }

    Clock clock;
    Metrics metrics;
    RepeatingWorker worker;
    Sender sender;
    std::shared_ptr<TargetAddress> address;
    std::mt19937 random;
    CancelToken cancel;
    int answered = 0;
};

} // namespace

// TWICE, REFUSED, MIXED: copies of earlier answers passed for refusals of other requests and of later attempts.
Test(copies, no_history_of_a_connection_gives_a_false_proof_or_another_requests_answer)
{
    for (uint32_t seed = 1; seed <= 20; ++seed) {
        CopiesRun it(seed, true);
        it.sendAll(60);
        cr_assert(it.worker.copies > 0 && it.answered > 30, "seed %u: %d answered", seed, it.answered);
        cr_assert(it.worker.target.accepted() <= it.worker.copies + 3, "seed %u: %d connections for %d copies", seed,
                  it.worker.target.accepted(), it.worker.copies.load());
    }
}

Test(copies, a_sound_worker_costs_no_more_connections_than_attempts_of_one_request)
{
    CopiesRun it(1, false);
    it.sendAll(100);
    cr_assert(it.worker.target.accepted() <= 3, "%d connections", it.worker.target.accepted());
}
