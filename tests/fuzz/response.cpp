// Feeds arbitrary bytes to the parser of a response's head and to the adapter's readers of its fields.

#include "base/check.h"
#include "http/response_head.h"
#include "platform/platform.h"

#include <cstddef>
#include <cstdint>

using namespace damask;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const TargetProtocol platform = platform::targetForm();
    static const TargetProtocol own = defaultTargetProtocol();
    static const TargetAddress target{.name = "s/i-1", .address = "127.0.0.1", .port = 80, .instance = "i-1"};
    const auto head = parseResponseHead({reinterpret_cast<const char *>(data), size}, "GET");
    if (!head) {
        return 0;
    }
    DAMASK_ASSERT(head->status >= 200 && head->status <= 599, "a final response has such a status");
    for (const HeaderField &it : head->headers) {
        DAMASK_ASSERT(it.value.find_first_of("\r\n") == std::string::npos, "a value must not contain a line break");
    }
    for (const TargetProtocol *it : {&platform, &own}) {
        const auto load = it->load(head->headers);
        DAMASK_ASSERT(!load || (load->inFlight >= 0 && load->slots >= 0 && load->slowdown >= 0), "loads are in range");
        const TargetNotice notice = it->notice(target, "r-1", *head);
        DAMASK_ASSERT(notice.pushBack >= Duration::zero() && notice.pushBack <= std::chrono::hours(24),
                      "a push-back is in range");
        (void)it->refusalCode(*head);
        (void)it->readProbe(target, *head, "");
    }
    const auto idle = keepAliveTime(head->headers);
    DAMASK_ASSERT(!idle || *idle >= Duration::zero(), "times must not be negative");
    (void)endToEndFields(head->headers, platform.strips);
    return 0;
}
