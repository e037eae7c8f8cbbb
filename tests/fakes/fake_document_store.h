/// An in-memory store of one document with injected faults. Documents pass through the encoding of the real store.
#pragma once

#include "control/document.h"
#include "wire/document_codec.h"

#include <deque>

namespace damask::fakes {

/// Fault of the next swap.
enum class SwapFault {
    None,        // succeeds
    Unavailable, // not applied, and the caller knows
    AppliedLost, // applied, but the response is lost
    DroppedLost, // not applied, and the response is lost
    Delayed,     // the response is lost; applied at deliver() if the version still matches
    Conflict,    // another writer writes the same document first
};

class FakeDocumentStore
{
public:
    DocumentStore hooks()
    {
        return {[this] { return load(); },
                [this](const ControlDocument &next, uint64_t version) {
                    return swap(next, version);
                }};
    }

    /// Applies the delayed write if its version still matches.
    void deliver()
    {
        if (m_delayed && m_delayed->version == document.version) {
            apply(m_delayed->document);
        }
        m_delayed.reset();
    }

    VersionedDocument     document;               // current content
    bool                  down = false;           // loads and swaps fail
    std::deque<SwapFault> faults;                 // of the next swaps, in order; then None
    int                   encodingMismatches = 0; // documents that a reader would reject or decode differently
    int                   writes = 0;             // applied

private:
    Result<VersionedDocument> load()
    {
        if (down) {
            return fail(Code::StoreUnavailable, "down");
        }
        return document;
    }

    Result<uint64_t> swap(const ControlDocument &next, uint64_t version)
    {
        const SwapFault fault = faults.empty() ? SwapFault::None : faults.front();
        if (!faults.empty()) {
            faults.pop_front();
        }
        if (down || fault == SwapFault::Unavailable) {
            return fail(Code::StoreUnavailable, "down");
        }
        if (fault == SwapFault::Conflict) {
            ++document.version;
        }
        if (fault == SwapFault::Delayed) {
            m_delayed = VersionedDocument{next, version};
        }
        if (fault == SwapFault::Delayed || fault == SwapFault::DroppedLost) {
            return fail(Code::StoreUnknown, "no answer");
        }
        if (version != document.version) {
            return fail(Code::StoreConflict, "changed");
        }
        apply(next);
        return fault == SwapFault::AppliedLost ? Result<uint64_t>(fail(Code::StoreUnknown, "no answer"))
                                               : document.version;
    }

    void apply(const ControlDocument &next)
    {
        const auto decoded = decodeDocument(encodeDocument(next));
        if (!decoded || *decoded != next) {
            encodingMismatches += 1;
        }
        document.document = next;
        ++document.version;
        ++writes;
    }

    std::optional<VersionedDocument> m_delayed;
};

} // namespace damask::fakes
