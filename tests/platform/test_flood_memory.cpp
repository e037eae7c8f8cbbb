// Many workers and the store that send bytes without end at the same time: what the process keeps of them.
#include "back/sender.h"
#include "base/allocator.h"
#include "fakes/fake_flood.h"
#include "platform/platform.h"
#include "programs/damask-node/node_options.h"
#include "store/client.h"

#include <atomic>
#include <criterion/criterion.h>
#include <fstream>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr size_t Megabyte = 1024UL * 1024;
constexpr size_t Workers = 48;

/// Peak memory of this process, in bytes.
size_t peakMemory()
{
    std::ifstream file("/proc/self/status");
    std::string name;
    while (file >> name) {
        if (name == "VmHWM:") {
            size_t kilobytes = 0;
            file >> kilobytes;
            return kilobytes * 1024;
        }
    }
    return 0;
}

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool MemoryIsOwn = false; // the sanitizer keeps what has been freed
#else
constexpr bool MemoryIsOwn = true;
#endif

} // namespace

Test(flood_memory, of_all_connections_together_is_bounded)
{
    constexpr size_t Budget = 16 * Megabyte;
    const std::pair<const char *, const char *> floods[] = {
        {"HTTP/1.1 200 OK\r\n\r\n", "x"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 15000000\r\n\r\n", "x"},
        {"HTTP/1.1 200 OK\r\nX: ", "x"},
        {"", "nonsense"},
    };
    limitAllocatorArenas(NodeAllocatorArenas);
    Clock clock;
    Metrics metrics;
    Sender sender(clock, metrics, {.maxBufferedBytes = Budget}, platform::targetForm());
    std::vector<std::unique_ptr<FakeFlood>> workers;
    for (size_t n = 0; n < Workers; ++n) {
        const auto &[start, unit] = floods[n % std::size(floods)];
        workers.push_back(std::make_unique<FakeFlood>(start, unit));
    }
    const FakeFlood storeFlood("HTTP/1.1 200 OK\r\n\r\n", "{");
    StoreOptions storeOptions;
    storeOptions.port = storeFlood.port();
    StoreClient store(clock, metrics, storeOptions, platform::storeProtocol());
    const size_t before = peakMemory();
    std::atomic<size_t> lost{0};
    std::vector<Thread> threads;
    for (const auto &it : workers) {
        threads.emplace_back("caller", [&sender, &lost, port = it->port()] {
            const TargetAddress address{
                .name = "s/i", .address = "127.0.0.1", .port = port, .connectionShare = 4, .instance = "i"};
            CallRequest request;
            request.method = "PUT";
            request.path = "/x";
            request.requestId = "r";
            CancelToken cancel;
            for (int n = 0; n < 3; ++n) {
                const AttemptResult got =
                    sender.send({.address = address, .request = request, .timeLeft = 5s, .cancel = &cancel});
                lost += got.end == AttemptEnd::Lost ? 1 : 0;
            }
        });
    }
    cr_assert(!store.list("", ListFreshness::Latest));
    for (Thread &it : threads) {
        it.join();
    }
    cr_assert(lost == 3 * Workers);
    const size_t grown = peakMemory() - before;
    constexpr size_t StoreReply = 8 * Megabyte;
    constexpr size_t PerConnection = 512UL * 1024; // its head, buffers and thread
    cr_assert(!MemoryIsOwn || grown < 2 * Budget + 2 * StoreReply + Workers * PerConnection, "%zu MB",
              grown / Megabyte);
}
