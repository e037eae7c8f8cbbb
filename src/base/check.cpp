#include "base/check.h"

#include "base/log.h"

#include <cstdlib>

namespace damask {

void assertionFailed(std::string_view condition, std::string_view advice, const char *file, int line)
{
    logEvent(Severity::Error, "invariant-broken",
             {{"condition", condition}, {"advice", advice}, {"file", file}, {"line", line}});
    std::abort();
}

} // namespace damask
