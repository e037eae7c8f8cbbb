#include "document_holder.h"

#include "base/check.h"
#include "base/log.h"
#include "control/effective_configuration.h"

namespace damask {

namespace {

tl::unexpected<Error> refuse(const Error &error, Metrics &metrics, uint64_t version, std::string_view source)
{
    metrics.countCode("damask_keeper_document_refusals_total", error.code);
    logEvent(Severity::Error, "document-refused",
             {{"code", codeNumber(error.code)}, {"version", version}, {"source", source}, {"reason", error.detail}});
    return tl::make_unexpected(error);
}

} // namespace

DocumentHolder::DocumentHolder(Metrics &metrics)
    : m_metrics(metrics)
{
}

Result<DocumentChange> DocumentHolder::adopt(VersionedDocument document, std::string bytes, std::string_view source)
{
    if (const auto checked = checkDocument(document.document); !checked) {
        return refuse(checked.error(), m_metrics, document.version, source);
    }
    LockGuard lock(m_mutex);
    const uint64_t inForce = m_current ? m_current->effective : 0;
    if (const auto allowed = checkNotOlder(inForce, document.document); !allowed) {
        return refuse(allowed.error(), m_metrics, document.version, source);
    }
    const uint64_t effective = effectiveRevision(document.document);
    if (m_current && effective == inForce && document.version <= m_current->versioned.version) {
        return DocumentChange::None;
    }
    auto next = std::make_shared<HeldDocument>();
    next->effective = effective;
    next->bytes = std::move(bytes);
    next->configuration = std::make_shared<const Configuration>(effectiveConfiguration(document.document));
    next->versioned = std::move(document);
    DAMASK_ASSERT(next->effective >= inForce, "checkNotOlder() must refuse documents with an older effective revision");
    const bool changed = !m_current || effective != inForce;
    m_current = std::move(next);
    m_metrics.gauge("damask_keeper_document_version").Set(static_cast<double>(m_current->versioned.version));
    m_metrics.gauge("damask_keeper_effective_revision").Set(static_cast<double>(effective));
    return changed ? DocumentChange::Effective : DocumentChange::JournalOnly;
}

std::shared_ptr<const HeldDocument> DocumentHolder::current() const
{
    LockGuard lock(m_mutex);
    return m_current;
}

} // namespace damask
