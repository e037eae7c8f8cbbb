// Feeds arbitrary bytes to the decoders of the store's replies: each is refused with a reason, or its items are bounded
// by the bytes received.

#include "base/check.h"
#include "platform/platform.h"

#include <cstddef>
#include <cstdint>

using namespace damask;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const StoreProtocol store = platform::storeProtocol();
    const StoreReply reply{200, std::string(reinterpret_cast<const char *>(data), size)};
    const auto listed = store.readList(reply);
    DAMASK_ASSERT(!listed || listed->entries.size() + listed->unreadable <= size, "an item has at least a byte");
    DAMASK_ASSERT(!listed || listed->next.empty() || listed->next == listed->entries.back().key,
                  "the next page begins after the last key of this one");
    const auto polled = store.readPoll(reply);
    DAMASK_ASSERT(!polled || polled->changes.size() + polled->unreadable <= size, "a change has at least a byte");
    return 0;
}
