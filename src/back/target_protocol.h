/// Hooks that encode and decode the header fields which damaskflow and targets exchange in addition to plain HTTP.
///
/// Use: the default is damaskflow's own interface (docs/INTERFACE.md); an adapter supplies the fields of its platform.
/// Pitfall: unless namesRequests is set, a target that repeats an earlier refusal without an id is believed.
/// Pitfall: a code from refusalCode() is treated as proof that the request did not run and never will.
#pragma once

#include "http/response_head.h"
#include "route/dispatcher.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace damask {

/// The hooks of one protocol. They are called concurrently from many threads.
struct TargetProtocol {
    // Towards the target
    std::function<void(const Attempt &, Duration timeLeft, std::string &head)> write; // appends whole header lines
    std::function<bool(std::string_view name)> replaces; // caller's fields that write() replaces
    std::function<bool(std::string_view name)> hides; // caller's fields left out with Attempt::hidesKeys; empty: none

    // From the target
    std::function<std::optional<LoadReport>(std::span<const HeaderField>)> load; // carried in a response
    std::function<std::optional<Code>(const ResponseHead &)>
        refusalCode; // why it did not run the request; none: it may have
    std::function<Result<void>(const Attempt &, const ResponseHead &)> check; // BadAnswer: response to another request
    std::function<std::string_view(const ResponseHead &)> requestId; // of the request that it answers; empty: not named
    std::function<bool(std::string_view name)>            strips; // response fields that are not passed on to callers

    /// What an answer says about the target's availability. `requestId` is empty for probes. The notice of another
    /// process, or one that answers another request, must be left out.
    std::function<TargetNotice(const TargetAddress &, std::string_view requestId, const ResponseHead &)> notice;

    // Load probes
    std::function<std::string(const TargetAddress &)> probePath; // path of the GET request; empty: can't be probed
    std::function<Result<LoadReport>(const TargetAddress &, const ResponseHead &, std::string_view body)>
        readProbe; // BadAnswer if the response is malformed

    bool namesRequests = false; // each answer to a request carries its id, so one without may be a copy of another's
    bool closeEndsBody = false; // accept a body without a length that ends with a clean close
};

/// damaskflow's own interface: X-Damask-* fields, GET /load.
TargetProtocol defaultTargetProtocol();

} // namespace damask
