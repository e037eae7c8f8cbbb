/// The last valid document of this keeper. It is kept in memory only, so that it remains available while the store is
/// unreachable.
#pragma once

#include "base/lock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "control/document.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace damask {

struct HeldDocument {
    VersionedDocument                    versioned;
    std::string                          bytes;         // encoded, as in the store
    uint64_t                             effective = 0; // effective revision
    std::shared_ptr<const Configuration> configuration; // in force: accepted one, or its intersection with staged
};

enum class DocumentChange {
    None,        // not newer
    JournalOnly, // newer, with the same effective configuration
    Effective,   // the effective configuration has changed
};

/// Safe from all threads.
class DocumentHolder
{
public:
    explicit DocumentHolder(Metrics &metrics);

    /// Replaces the document by a newer one. OlderRevision: it would revert the effective configuration;
    /// BadConfiguration.
    Result<DocumentChange>              adopt(VersionedDocument document, std::string bytes, std::string_view source);
    std::shared_ptr<const HeldDocument> current() const; // null: none yet

private:
    Metrics                            &m_metrics;
    mutable RankedMutex                 m_mutex{LockRank::Configuration};
    std::shared_ptr<const HeldDocument> m_current;
};

} // namespace damask
