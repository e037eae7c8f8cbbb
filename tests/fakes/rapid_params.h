/// RapidCheck's parameters for one test: more cases than by default, from a fixed seed.
#pragma once

#include <cstdlib>
#include <string>
#include <string_view>

namespace damask::fakes {

/// Call it before the first rc::check() of the test's process. A seed given in RC_PARAMS takes precedence.
inline void setRapidRuns(int cases, int size = 100)
{
    const char       *given = std::getenv("RC_PARAMS");
    const std::string seed = given == nullptr ? "seed=1" : given;
    const std::string params = seed + " max_success=" + std::to_string(cases) + " max_size=" + std::to_string(size);
    setenv("RC_PARAMS", params.c_str(), 1);
}

} // namespace damask::fakes
