/// How damaskflow and a target speak about a request besides plain HTTP: the header fields of each side.
///
/// Use: the default is damaskflow's own interface (docs/INTERFACE.md); an adapter puts in the fields of its platform.
/// Pitfall: refusalCode() is taken as proof that the request did not run and never will.
#pragma once

#include "back/response_head.h"
#include "route/dispatcher.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace damask {

/// The hooks of one form. Each is called from many threads at once.
struct TargetProtocol {
    // Towards the target
    std::function<void(const Attempt &, Duration timeLeft, std::string &head)> write; // appends whole header lines
    std::function<bool(std::string_view name)> replaces; // fields of the caller that write() replaces

    // From the target
    std::function<std::optional<LoadReport>(std::span<const HeaderField>)> load;    // that an answer carries
    std::function<std::optional<Code>(const ResponseHead &)>           refusalCode; // why it did not run the request
    std::function<Result<void>(const Attempt &, const ResponseHead &)> check;       // BadAnswer: not the answer to this
    std::function<bool(std::string_view name)> strips; // fields of an answer that callers do not get

    // Asking a target how it is
    std::function<std::string(const TargetAddress &)> probePath; // path of a GET; empty: can't
    std::function<Result<LoadReport>(const TargetAddress &, const ResponseHead &, std::string_view body)>
        readProbe; // or BadAnswer

    bool closeEndsBody = false; // a body without a length ends with an orderly close
};

/// damaskflow's own interface: X-Damask-* fields, GET /load.
TargetProtocol defaultTargetProtocol();

} // namespace damask
