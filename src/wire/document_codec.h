/// Encoding of the control document, as kept in the store and replicated between peers.
///
/// Use: `std::string bytes = encodeDocument(document); auto document = decodeDocument(bytes);`
/// Decoding checks every field's size, range and count, so a decoded document is safe to use.
#pragma once

#include "base/result.h"
#include "control/document.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace damask {

constexpr size_t MaxDocumentBytes = 1000 * 1000; // the store accepts values of up to 1 MB

std::string             encodeDocument(const ControlDocument &document);
Result<ControlDocument> decodeDocument(std::string_view bytes); // BadMessage

} // namespace damask
