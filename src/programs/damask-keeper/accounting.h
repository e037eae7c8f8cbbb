/// What this process costs: processor time and memory, as gauges.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"

namespace damask {

struct ProcessCost {
    double processorSeconds = 0; // user and system, since the start
    double memoryBytes = 0;      // resident
};

ProcessCost readProcessCost();

/// Sets damask_process_cpu_seconds and damask_process_resident_bytes.
void exportProcessCost(Metrics &metrics);

} // namespace damask
