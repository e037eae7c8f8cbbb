/// A store of one document in memory that fails as it is told. Each document goes through the encoding of the real one.
#pragma once

#include "control/document.h"
#include "wire/document_codec.h"

#include <deque>

namespace damask::fakes {

/// What the next swap does.
enum class SwapFault {
    None,        // as the store should
    Unavailable, // nothing happens, and the caller knows
    AppliedLost, // it takes effect, the answer is lost
    DroppedLost, // nothing happens, and the caller can't know
    Delayed,     // the caller can't know; it takes effect at deliver(), if the version still fits
    Conflict,    // someone else writes the same document first
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

    /// The delayed write arrives now.
    void deliver()
    {
        if (m_delayed && m_delayed->version == document.version) {
            apply(m_delayed->document);
        }
        m_delayed.reset();
    }

    VersionedDocument     document;               // what the store holds
    bool                  down = false;           // loads and swaps fail
    std::deque<SwapFault> faults;                 // of the coming swaps; then None
    int                   encodingMismatches = 0; // documents that a reader would refuse or see differently
    int                   writes = 0;             // that took effect

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
