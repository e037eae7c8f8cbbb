/// What an instance has in force for a document, and in which order these states come.
///
/// The accepted configuration of revision r is in force under the effective revision 2r. While a ticket is staged on
/// it, instances use only what both states allow, under 2r + 1. Accepting or withdrawing the ticket makes revision r +
/// 1 and so 2r + 2. Effective revisions are therefore totally ordered, and no step takes an instance back to an earlier
/// one.
#pragma once

#include "base/result.h"
#include "control/document.h"

#include <cstdint>

namespace damask {

/// 2 * accepted revision, plus 1 while a ticket is staged.
uint64_t effectiveRevision(const ControlDocument &document);

/// What an instance has in force for this document; its revision is the effective one.
Configuration effectiveConfiguration(const ControlDocument &document);

/// OlderRevision when the document would take an instance back; `inForce` is the effective revision it has (0: none).
Result<void> checkNotOlder(uint64_t inForce, const ControlDocument &document);

/// BadConfiguration when a document read from the store breaks an invariant of control.
Result<void> checkDocument(const ControlDocument &document);

} // namespace damask
