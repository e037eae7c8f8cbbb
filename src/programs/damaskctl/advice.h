/// What a result code asks a person to do. docs/operate/codes.md says it at length.
#pragma once

#include "base/result.h"

#include <string_view>

namespace damask {

/// One sentence; empty when the code's meaning says it all.
std::string_view adviceFor(Code code);

/// The code with this number; SystemError when there is none.
Code codeFromNumber(int number);

} // namespace damask
