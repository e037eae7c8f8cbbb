/// Advice for operators on each result code. docs/operate/codes.md has the details.
#pragma once

#include "base/result.h"

#include <string_view>

namespace damask {

/// One sentence; empty when the code's meaning needs no advice.
std::string_view adviceFor(Code code);

/// The code with this number; SystemError when there is none.
Code codeFromNumber(int number);

} // namespace damask
