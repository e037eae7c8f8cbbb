/// RapidCheck's parameters for one test: more runs than by default, from a seed that stays the same.
#pragma once

#include <cstdlib>
#include <string>
#include <string_view>

namespace damask::fakes {

/// Before the first rc::check() of the test's process. A seed given by RC_PARAMS is kept.
inline void setRapidRuns(int cases, int size = 100)
{
    const char       *given = std::getenv("RC_PARAMS");
    const std::string seed = given == nullptr ? "seed=1" : given;
    const std::string params = seed + " max_success=" + std::to_string(cases) + " max_size=" + std::to_string(size);
    setenv("RC_PARAMS", params.c_str(), 1);
}

} // namespace damask::fakes
