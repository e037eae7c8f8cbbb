/// An entry: one process that serves callers and combines the front, the dispatcher, the connections to targets, the
/// keeper link and the operators' port.
///
/// Use: `Entry entry(clock, metrics, options); entry.start(); waitForStop(); entry.stop();`
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "config/model.h"
#include "programs/damask-entry/entry_options.h"

#include <cstdint>
#include <memory>

namespace damask {

class Entry
{
public:
    Entry(Clock &clock, Metrics &metrics, const EntryOptions &options);
    ~Entry(); // stops

    Result<void> start(); // SystemError when a port cannot be bound
    void         stop();  // gracefully: readiness fails, the shutdown delay passes, calls in flight end

    void apply(std::shared_ptr<const Configuration> configuration); // as the keeper link does

    uint16_t callerPort() const;   // after start()
    uint16_t operatorPort() const; // after start()

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
