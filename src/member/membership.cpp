#include "member/membership.h"

#include <algorithm>

namespace damask {

Membership::Membership(const MembershipOptions &options)
    : m_options(options)
{
}

Membership::Entry &Membership::entryOf(const Instance &instance, TimePoint now)
{
    const auto held = m_entries.find(instance.name);
    if (held == m_entries.end()) {
        Entry entry;
        entry.instance = instance;
        entry.heardAt = now;
        return m_entries.emplace(instance.name, std::move(entry)).first->second;
    }
    Entry &entry = held->second;
    if (instance.incarnation > entry.instance.incarnation) {
        entry.instance = instance;
        entry.confirmed = 0; // what an earlier start confirmed says nothing of this one
        entry.version = 0;
        entry.saidLeaving = false;
        entry.everListed = false;
    }
    return entry;
}

void Membership::list(std::span<const Instance> instances, TimePoint now)
{
    for (auto &[name, entry] : m_entries) {
        entry.listed = false;
    }
    for (const Instance &it : instances) {
        Entry &entry = entryOf(it, now);
        entry.listed = true;
        entry.everListed = entry.everListed || it.incarnation == 0 || it.incarnation >= entry.instance.incarnation;
        entry.instance.entry = it.entry;
        if (it.state == InstanceState::Leaving && it.incarnation >= entry.instance.incarnation) {
            entry.instance.state = InstanceState::Leaving;
        }
    }
    forgetGone(now);
}

void Membership::record(std::span<const Instance> instances, TimePoint now)
{
    for (auto &[name, entry] : m_entries) {
        entry.recorded = false;
    }
    for (const Instance &it : instances) {
        entryOf(it, now).recorded = true;
    }
}

void Membership::hear(const MemberReport &report, TimePoint now)
{
    Entry &entry = entryOf(report.instance, now);
    if (report.instance.incarnation < entry.instance.incarnation) {
        return;
    }
    const TimePoint heardAt = now - report.age;
    if (heardAt < entry.heardAt && report.confirmed <= entry.confirmed) {
        return;
    }
    const std::string address = entry.instance.entry;
    entry.instance = report.instance;
    entry.instance.entry = report.instance.entry.empty() ? address : report.instance.entry;
    entry.saidLeaving = report.instance.state == InstanceState::Leaving;
    entry.heardAt = std::max(entry.heardAt, heardAt);
    entry.confirmed = report.confirmed;
    entry.version = std::max(entry.version, report.version);
}

std::vector<MemberView> Membership::members(TimePoint now) const
{
    std::vector<MemberView> out;
    for (const auto &[name, entry] : m_entries) {
        MemberView view;
        view.instance = entry.instance;
        view.listed = entry.listed;
        view.recorded = entry.recorded;
        view.silence = now - entry.heardAt;
        view.silent = view.silence > m_options.silence;
        view.delisted = entry.everListed && !entry.listed;
        view.confirmed = entry.confirmed;
        view.version = entry.version;
        if (gone(entry, now)) {
            view.state = MemberState::Gone;
        } else if (entry.saidLeaving || entry.instance.state == InstanceState::Leaving) {
            view.state = MemberState::Leaving;
        }
        out.push_back(std::move(view));
    }
    return out;
}

bool Membership::gone(const Entry &entry, TimePoint now) const
{
    return !entry.listed && !entry.recorded && now - entry.heardAt > m_options.silence;
}

void Membership::forgetGone(TimePoint now)
{
    std::erase_if(m_entries,
                  [&](const auto &it) { return gone(it.second, now) && now - it.second.heardAt > m_options.forget; });
}

} // namespace damask
