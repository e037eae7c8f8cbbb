/// Header fields that damaskflow and its callers exchange in addition to plain HTTP.
///
/// Use: the default is damaskflow's own interface (docs/INTERFACE.md); an adapter substitutes the fields of its
/// platform.
#pragma once

#include "call/message.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// Hooks of one protocol. They are called concurrently from many threads.
struct CallerProtocol {
    /// Fills requestId, caller, depth and timeLeft of the call from the fields, and removes the fields that must not be
    /// forwarded. Fails with BadRequest, BadDeadline or BadDepth.
    std::function<Result<void>(std::vector<HeaderField> &fields, CallRequest &call)> read;

    /// Appends the header fields of a response.
    std::function<void(const CallResponse &, std::string_view requestId, std::vector<HeaderField> &out)> write;

    /// Whether write() replaces this field of a target's response.
    std::function<bool(std::string_view name)> writes;
};

/// damaskflow's own interface: X-Damask-* fields.
CallerProtocol defaultCallerProtocol();

/// Parses a field that holds an integer from 0 to `maximum` and may occur once; nullopt if it is missing. Fails with
/// `code`.
Result<std::optional<int64_t>> readNumberField(std::span<const HeaderField> fields, std::string_view name, Code code,
                                               int64_t maximum);

/// Reads a field that holds a name in printable ASCII and may occur once; empty if it is missing. Fails with
/// BadRequest.
Result<std::string> readNameField(std::span<const HeaderField> fields, std::string_view name);

} // namespace damask
