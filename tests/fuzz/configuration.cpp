// Feeds arbitrary bytes to the decoders of the operators' configuration and of a worker's entry: each is refused with a
// reason, or gives values within their limits.

#include "base/check.h"
#include "platform/platform.h"

#include <cstddef>
#include <cstdint>

using namespace damask;

static void checkRule(const Rule &rule)
{
    DAMASK_ASSERT(rule.prefix.starts_with('/') && rule.prefix.ends_with('/'), "a rule that is kept has its place");
    DAMASK_ASSERT(rule.timeout >= Duration::zero() && rule.objective >= Duration::zero(), "times must not be negative");
    DAMASK_ASSERT(rule.maxAttempts >= 1 && rule.rank >= 0, "counts must be in their range");
    double weights = 0;
    for (const ServiceShare &it : rule.split) {
        DAMASK_ASSERT(it.weight >= 0, "a weight must not be negative");
        weights += it.weight;
    }
    DAMASK_ASSERT(!rule.unusable.empty() || rule.split.empty() || weights > 0, "a usable split has a part");
    DAMASK_ASSERT(!rule.unusable.empty() || rule.split.empty() != rule.service.empty(), "it has one destination");
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto configuration = platform::readConfiguration(text);
    DAMASK_ASSERT(configuration || !configuration.error().detail.empty(), "a refusal must have a reason");
    if (configuration) {
        for (const Rule &it : configuration->rules) {
            checkRule(it);
        }
        for (const Service &it : configuration->services) {
            DAMASK_ASSERT(it.connectionShare > 0, "a service has connections");
        }
    }
    const auto target = platform::readTarget("i-1", text);
    DAMASK_ASSERT(target || !target.error().detail.empty(), "a refusal must have a reason");
    DAMASK_ASSERT(!target || (target->port > 0 && target->slots > 0 && target->sequence >= 0), "values in their range");
    return 0;
}
