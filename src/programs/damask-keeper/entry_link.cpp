#include "entry_link.h"

#include "base/check.h"
#include "base/log.h"

namespace damask {

EntryLink::EntryLink(Clock &clock, EntryLinkHooks hooks)
    : m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

void EntryLink::offer(std::shared_ptr<const Configuration> configuration)
{
    LockGuard lock(m_mutex);
    DAMASK_ASSERT(!m_configuration || configuration->revision >= m_configuration->revision,
                  "offer configurations in the order of their effective revisions");
    m_configuration = std::move(configuration);
    ++m_offer;
    sendOffer();
}

void EntryLink::handleMessage(const WireSource &source, const Message &message)
{
    LockGuard lock(m_mutex);
    if (message.incarnation < m_incarnation) {
        return; // from an earlier process of the entry
    }
    if (message.incarnation > m_incarnation) {
        logEvent(Severity::Info, "entry-connected", {{"incarnation", message.incarnation}});
        m_incarnation = message.incarnation;
        m_confirmed = 0;
    }
    m_entry = source;
    m_heardAt = m_clock.now();
    if (const auto *hello = std::get_if<EntryHello>(&message.body)) {
        confirm(hello->revision);
        if (m_configuration && hello->revision < m_configuration->revision) {
            sendOffer();
        }
    } else if (const auto *applied = std::get_if<OfferApplied>(&message.body)) {
        confirm(applied->revision);
    }
}

void EntryLink::sendUpdates(std::span<const LoadUpdate> updates)
{
    LockGuard lock(m_mutex);
    if (m_entry && !updates.empty()) {
        m_hooks.send(*m_entry, LoadUpdateBatch{{updates.begin(), updates.end()}});
    }
}

uint64_t EntryLink::offeredRevision() const
{
    LockGuard lock(m_mutex);
    return m_configuration ? m_configuration->revision : 0;
}

uint64_t EntryLink::confirmedRevision() const
{
    LockGuard lock(m_mutex);
    return m_confirmed;
}

EntryStatus EntryLink::status() const
{
    LockGuard lock(m_mutex);
    return {m_entry.has_value(), m_incarnation, m_confirmed, m_clock.now() - m_heardAt};
}

/// An effective revision identifies its content, so an offer from an earlier keeper process counts too.
void EntryLink::confirm(uint64_t revision)
{
    if (m_configuration && revision == m_configuration->revision) {
        m_confirmed = revision;
    }
}

void EntryLink::sendOffer()
{
    if (m_entry && m_configuration) {
        m_hooks.send(*m_entry, ConfigurationOffer{m_offer, m_configuration});
    }
}

} // namespace damask
