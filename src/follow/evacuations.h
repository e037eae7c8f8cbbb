/// The data centres that operators have evacuated, as derived from the keys of the store.
///
/// Load pattern: a data centre is evacuated and taken back within seconds, while the store is slow, nodes are cut off
/// or restart, and some learn of a change from a list, some from a poll and some from other nodes. A key is in force as
/// long as it exists; its value means nothing.
///
/// Pure. Not safe to share between threads. The caller passes changes in the order of their revision.
#pragma once

#include "config/model.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// The effect of one change of a key.
enum class EvacuationOutcome {
    Started,
    Lifted,
    Ignored, // the settings name no such data centre
};

std::string_view evacuationOutcomeName(EvacuationOutcome outcome); // "started", "lifted", "ignored"

class Evacuations
{
public:
    using Report = std::function<void(std::string_view dataCentre, EvacuationOutcome outcome, uint64_t revision)>;

    static constexpr size_t MaxIgnored = 64; // keys of unknown data centres that are kept

    explicit Evacuations(std::span<const DataCentre> known, Report report = {});

    // Each returns whether dataCentres() has changed.
    bool put(std::string_view name, uint64_t revision);
    bool remove(std::string_view name, uint64_t revision);
    bool replace(std::span<const std::string> names, uint64_t revision); // after a full read

    std::vector<std::string> dataCentres() const; // evacuated ones, sorted
    std::vector<std::string> names() const;       // of all keys, including ignored ones

private:
    bool isKnown(std::string_view name) const;
    void report(std::string_view name, EvacuationOutcome outcome, uint64_t revision) const;

    std::vector<std::string>                 m_known; // data centres of the settings
    Report                                   m_report;
    std::map<std::string, bool, std::less<>> m_names; // by name: whether it is a known data centre
    size_t                                   m_ignored = 0;
};

} // namespace damask
