// Feeds arbitrary bytes to the decoder of the inner protocol: each is refused with a reason, or survives a round trip.

#include "wire/message.h"
#include "base/check.h"

#include <cstddef>
#include <cstdint>

using namespace damask;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const auto message = decodeMessage({reinterpret_cast<const char *>(data), size});
    if (!message) {
        DAMASK_ASSERT(!message.error().detail.empty(), "a refusal must have a reason");
        return 0;
    }
    const std::string encoded = encodeMessage(*message);
    const auto again = decodeMessage(encoded);
    DAMASK_ASSERT(again.has_value(), "an encoded message must be readable");
    DAMASK_ASSERT(encodeMessage(*again) == encoded, "an encoded message must read back unchanged");
    return 0;
}
