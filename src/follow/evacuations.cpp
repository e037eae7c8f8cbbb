#include "follow/evacuations.h"

#include <algorithm>
#include <utility>

namespace damask {

std::string_view evacuationOutcomeName(EvacuationOutcome outcome)
{
    switch (outcome) {
    case EvacuationOutcome::Started:
        return "started";
    case EvacuationOutcome::Lifted:
        return "lifted";
    case EvacuationOutcome::Ignored:
        return "ignored";
    }
    return {};
}

Evacuations::Evacuations(std::span<const DataCentre> known, Report report)
    : m_report(std::move(report))
{
    for (const DataCentre &it : known) {
        m_known.push_back(it.name);
    }
}

bool Evacuations::put(std::string_view name, uint64_t revision)
{
    if (m_names.contains(name)) {
        return false;
    }
    const bool known = isKnown(name);
    if (known || m_ignored < MaxIgnored) {
        m_names.emplace(name, known);
        m_ignored += known ? 0 : 1;
    }
    report(name, known ? EvacuationOutcome::Started : EvacuationOutcome::Ignored, revision);
    return known;
}

bool Evacuations::remove(std::string_view name, uint64_t revision)
{
    const auto it = m_names.find(name);
    if (it == m_names.end()) {
        return false;
    }
    const bool known = it->second;
    m_names.erase(it);
    if (known) {
        report(name, EvacuationOutcome::Lifted, revision);
    } else {
        --m_ignored;
    }
    return known;
}

bool Evacuations::replace(std::span<const std::string> names, uint64_t revision)
{
    bool changed = false;
    for (const std::string &it : this->names()) {
        if (std::find(names.begin(), names.end(), it) == names.end()) {
            changed = remove(it, revision) || changed;
        }
    }
    for (const std::string &it : names) {
        changed = put(it, revision) || changed;
    }
    return changed;
}

std::vector<std::string> Evacuations::dataCentres() const
{
    std::vector<std::string> out;
    for (const auto &[name, known] : m_names) {
        if (known) {
            out.push_back(name);
        }
    }
    return out;
}

std::vector<std::string> Evacuations::names() const
{
    std::vector<std::string> out;
    for (const auto &it : m_names) {
        out.push_back(it.first);
    }
    return out;
}

bool Evacuations::isKnown(std::string_view name) const
{
    return std::find(m_known.begin(), m_known.end(), name) != m_known.end();
}

void Evacuations::report(std::string_view name, EvacuationOutcome outcome, uint64_t revision) const
{
    if (m_report) {
        m_report(name, outcome, revision);
    }
}

} // namespace damask
