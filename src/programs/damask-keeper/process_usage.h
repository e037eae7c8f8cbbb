/// Processor time and memory used by this process, as gauges.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"

namespace damask {

struct ProcessUsage {
    double processorSeconds = 0; // user and system time since the start
    double memoryBytes = 0;      // resident
};

ProcessUsage readProcessUsage();

/// Sets damask_process_cpu_seconds and damask_process_resident_bytes.
void exportProcessUsage(Metrics &metrics);

} // namespace damask
