#include "entry_port.h"

#include "base/check.h"
#include "base/log.h"

namespace damask {

EntryPort::EntryPort(Clock &clock, EntryPortHooks hooks)
    : m_clock(clock)
    , m_hooks(std::move(hooks))
{
}

void EntryPort::offer(std::shared_ptr<const Configuration> configuration)
{
    LockGuard lock(m_mutex);
    DAMASK_ASSERT(!m_configuration || configuration->revision >= m_configuration->revision,
                  "offer configurations in the order of their effective revisions");
    m_configuration = std::move(configuration);
    ++m_offer;
    sendOffer();
}

void EntryPort::hear(const WireSource &source, const Message &message)
{
    LockGuard lock(m_mutex);
    if (message.incarnation < m_incarnation) {
        return; // what an earlier start of the entry said
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

void EntryPort::pass(std::span<const LoadUpdate> news)
{
    LockGuard lock(m_mutex);
    if (m_entry && !news.empty()) {
        m_hooks.send(*m_entry, LoadUpdateBatch{{news.begin(), news.end()}});
    }
}

uint64_t EntryPort::offered() const
{
    LockGuard lock(m_mutex);
    return m_configuration ? m_configuration->revision : 0;
}

uint64_t EntryPort::confirmed() const
{
    LockGuard lock(m_mutex);
    return m_confirmed;
}

EntryStatus EntryPort::status() const
{
    LockGuard lock(m_mutex);
    return {m_entry.has_value(), m_incarnation, m_confirmed, m_clock.now() - m_heardAt};
}

/// An effective revision stands for one content, so that what an earlier keeper offered counts too.
void EntryPort::confirm(uint64_t revision)
{
    if (m_configuration && revision == m_configuration->revision) {
        m_confirmed = revision;
    }
}

void EntryPort::sendOffer()
{
    if (m_entry && m_configuration) {
        m_hooks.send(*m_entry, ConfigurationOffer{m_offer, m_configuration});
    }
}

} // namespace damask
