/// The control document as bytes: what the store keeps and peers hand on.
///
/// Use: `std::string bytes = encodeDocument(document); auto document = decodeDocument(bytes);`
/// Decoding checks every field: size, range and count. What it lets through is safe to use.
#pragma once

#include "base/result.h"
#include "control/document.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace damask {

constexpr size_t MaxDocumentBytes = 1000 * 1000; // the store keeps values up to a megabyte

std::string             encodeDocument(const ControlDocument &document);
Result<ControlDocument> decodeDocument(std::string_view bytes); // BadMessage

} // namespace damask
