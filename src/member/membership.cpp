#include "member/membership.h"

#include <algorithm>

namespace damask {

Membership::Membership(const MembershipOptions &options)
    : m_options(options)
{
}

Membership::Entry &Membership::findOrAddEntry(const Instance &instance, TimePoint now)
{
    const auto held = m_entries.find(instance.name);
    if (held == m_entries.end()) {
        Entry entry;
        entry.instance = instance;
        entry.lastReportAt = now;
        return m_entries.emplace(instance.name, std::move(entry)).first->second;
    }
    Entry &entry = held->second;
    if (instance.incarnation > entry.instance.incarnation) {
        entry.instance = instance;
        entry.confirmed = 0; // reported by an earlier start, so no longer valid
        entry.version = 0;
        entry.reportedLeaving = false;
        entry.everListed = false;
    }
    return entry;
}

void Membership::replaceListed(std::span<const Instance> instances, TimePoint now)
{
    for (auto &[name, entry] : m_entries) {
        entry.listed = false;
    }
    for (const Instance &it : instances) {
        Entry &entry = findOrAddEntry(it, now);
        entry.listed = true;
        entry.everListed = entry.everListed || it.incarnation == 0 || it.incarnation >= entry.instance.incarnation;
        entry.instance.entry = it.entry;
        if (it.state == InstanceState::Leaving && it.incarnation >= entry.instance.incarnation) {
            entry.instance.state = InstanceState::Leaving;
        }
    }
    removeForgotten(now);
}

void Membership::replaceRecorded(std::span<const Instance> instances, TimePoint now)
{
    for (auto &[name, entry] : m_entries) {
        entry.recorded = false;
    }
    for (const Instance &it : instances) {
        findOrAddEntry(it, now).recorded = true;
    }
}

bool Membership::applyReport(const MemberReport &report, TimePoint now)
{
    Entry &entry = findOrAddEntry(report.instance, now);
    const TimePoint reportedAt = now - report.age;
    const bool more = report.confirmed > entry.confirmed;
    if (report.instance.incarnation < entry.instance.incarnation || (reportedAt < entry.lastReportAt && !more)) {
        return false;
    }
    const std::string address = entry.instance.entry;
    entry.instance = report.instance;
    entry.instance.entry = report.instance.entry.empty() ? address : report.instance.entry;
    entry.reportedLeaving = report.instance.state == InstanceState::Leaving;
    entry.lastReportAt = std::max(entry.lastReportAt, reportedAt);
    entry.confirmed = report.confirmed;
    entry.version = std::max(entry.version, report.version);
    return more;
}

std::vector<MemberView> Membership::members(TimePoint now) const
{
    std::vector<MemberView> out;
    for (const auto &[name, entry] : m_entries) {
        MemberView view;
        view.instance = entry.instance;
        view.listed = entry.listed;
        view.recorded = entry.recorded;
        view.silence = now - entry.lastReportAt;
        view.silent = view.silence > m_options.silenceLimit;
        view.delisted = entry.everListed && !entry.listed;
        view.confirmed = entry.confirmed;
        view.version = entry.version;
        if (gone(entry, now)) {
            view.state = MemberState::Gone;
        } else if (entry.reportedLeaving || entry.instance.state == InstanceState::Leaving) {
            view.state = MemberState::Leaving;
        }
        out.push_back(std::move(view));
    }
    return out;
}

bool Membership::gone(const Entry &entry, TimePoint now) const
{
    return !entry.listed && !entry.recorded && now - entry.lastReportAt > m_options.silenceLimit;
}

void Membership::removeForgotten(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &it) {
        return gone(it.second, now) && now - it.second.lastReportAt > m_options.forgetAfter;
    });
}

} // namespace damask
