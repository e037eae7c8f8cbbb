/// Ticket texts shared by tests.
#pragma once

#include <string>
#include <string_view>

namespace damask::fakes {

/// The first ticket of a small system: two data centres, one pool of two targets, a service and a rule.
inline std::string firstTicket(int number = 1)
{
    return "[ticket]\nnumber = " + std::to_string(number)
           + "\noperator = rosa\ncomment = first\n"
             "[data-centre zh1]\nbased-on = 0\nregion = north\n"
             "[data-centre be1]\nbased-on = 0\nregion = south\n"
             "[link north--south]\nbased-on = 0\ndelay = 8 ms\n"
             "[pool listings]\nbased-on = 0\n"
             "target-a1 = 127.0.0.1:8001 data-centre=zh1 slots=6 draining=no\n"
             "target-b1 = 127.0.0.1:8002 data-centre=be1 slots=3 draining=no\n"
             "[service listings]\nbased-on = 0\npool = listings\n"
             "[rule all]\nbased-on = 0\nprefix = /\nservice = listings\n";
}

/// A ticket that sets the pool's targets.
inline std::string poolTicket(int number, int basedOn, std::string_view targets)
{
    return "[ticket]\nnumber = " + std::to_string(number)
           + "\noperator = rosa\n[pool listings]\nbased-on = " + std::to_string(basedOn) + "\n" + std::string(targets);
}

constexpr std::string_view TwoTargets = "target-a1 = 127.0.0.1:8001 data-centre=zh1 slots=6 draining=no\n"
                                        "target-b1 = 127.0.0.1:8002 data-centre=be1 slots=3 draining=no\n";
constexpr std::string_view DrainB = "target-a1 = 127.0.0.1:8001 data-centre=zh1 slots=6 draining=no\n"
                                    "target-b1 = 127.0.0.1:8002 data-centre=be1 slots=3 draining=yes\n";
constexpr std::string_view DrainBoth = "target-a1 = 127.0.0.1:8001 data-centre=zh1 slots=6 draining=yes\n"
                                       "target-b1 = 127.0.0.1:8002 data-centre=be1 slots=3 draining=yes\n";

} // namespace damask::fakes
