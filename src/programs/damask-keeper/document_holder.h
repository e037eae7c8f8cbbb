/// The last good document of this keeper. It lives in memory alone and outlasts any outage of the store.
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
    std::string                          bytes;         // as in the store
    uint64_t                             effective = 0; // revision of what is in force
    std::shared_ptr<const Configuration> configuration; // in force: accepted, or what both states allow
};

enum class DocumentChange {
    None,        // nothing newer
    JournalOnly, // newer, with the same in force
    Effective,   // something else is in force from now on
};

/// Safe from all threads.
class DocumentHolder
{
public:
    explicit DocumentHolder(Metrics &metrics);

    /// Takes a document that is newer. OlderRevision: it would take back what is in force; BadConfiguration.
    Result<DocumentChange>              adopt(VersionedDocument document, std::string bytes, std::string_view source);
    std::shared_ptr<const HeldDocument> current() const; // null: none yet

private:
    Metrics                            &m_metrics;
    mutable RankedMutex                 m_mutex{LockRank::Configuration};
    std::shared_ptr<const HeldDocument> m_current;
};

} // namespace damask
