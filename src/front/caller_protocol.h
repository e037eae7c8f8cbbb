/// How damaskflow and a caller speak about a call besides plain HTTP: the header fields of each side.
///
/// Use: the default is damaskflow's own interface (docs/INTERFACE.md); an adapter puts in the fields of its platform.
#pragma once

#include "call/message.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// The hooks of one form. Each is called from many threads at once.
struct CallerProtocol {
    /// Fills requestId, caller, depth and timeLeft of the call from the fields, and takes out the fields that are not
    /// to be passed on. BadRequest, BadDeadline, BadDepth.
    std::function<Result<void>(std::vector<HeaderField> &fields, CallRequest &call)> read;

    /// Appends the fields that go with an answer.
    std::function<void(const CallResponse &, std::string_view requestId, std::vector<HeaderField> &out)> write;

    /// Fields of a target's answer that write() replaces.
    std::function<bool(std::string_view name)> writes;
};

/// damaskflow's own interface: X-Damask-* fields.
CallerProtocol defaultCallerProtocol();

/// The whole number in a field that may stand once, from 0 to `most`; none when it is missing. `code` otherwise.
Result<std::optional<int64_t>> readNumberField(std::span<const HeaderField> fields, std::string_view name, Code code,
                                               int64_t most);

/// A name of printable ASCII in a field that may stand once; empty when it is missing. BadRequest otherwise.
Result<std::string> readNameField(std::span<const HeaderField> fields, std::string_view name);

} // namespace damask
