/// The configuration that instances run for a given document, and the order of these configurations.
///
/// The accepted configuration of revision r is active under effective revision 2r. While a ticket is staged on top of
/// it, instances use only what both configurations allow, under 2r + 1. Accepting or withdrawing the ticket makes
/// revision r + 1 and so effective revision 2r + 2. Effective revisions are therefore totally ordered, and no step
/// takes an instance back to an earlier one.
#pragma once

#include "base/result.h"
#include "control/document.h"

#include <cstdint>

namespace damask {

/// 2 * accepted revision, plus 1 while a ticket is staged.
uint64_t effectiveRevision(const ControlDocument &document);

/// The configuration that instances run for this document; its revision is the effective one.
Configuration effectiveConfiguration(const ControlDocument &document);

/// OlderRevision when the document would take an instance back to an earlier effective revision than `inForce`, the
/// one that it runs (0: none).
Result<void> checkNotOlder(uint64_t inForce, const ControlDocument &document);

/// BadConfiguration when a document read from the store violates an invariant of the control package.
Result<void> checkDocument(const ControlDocument &document);

} // namespace damask
