// Histograms of event loop stalls by cause. A control process that is stalled for an election timeout loses its leadership
// or its nodes.
#pragma once

#include "appletally/base/histogram.h"
#include "appletally/base/metrics_text.h"

#include <array>
#include <chrono>

namespace appletally::base {

enum class StallCause : uint8_t {
    LateTimer, // delay of a periodic timer past its due time, whatever the cause
    Apply, // applying committed entries or, on a node, a new version
    Snapshot, // taking a snapshot of the state
    Disk, // writing and syncing the log
    Count,
};

struct LoopStalls {
    std::array<LatencyHistogram, static_cast<size_t>(StallCause::Count)> byCause;
};

inline void addStall(LoopStalls& it, StallCause cause, int64_t micros) { it.byCause[static_cast<size_t>(cause)].add(micros); }

inline void writeMetrics(const LoopStalls& it, MetricsText& out)
{
    static constexpr std::array<const char*, static_cast<size_t>(StallCause::Count)> labels { "cause=\"late-timer\"", "cause=\"apply\"", "cause=\"snapshot\"", "cause=\"disk\"" };
    for (size_t n = 0; n < labels.size(); ++n) {
        if (it.byCause[n].count() != 0)
            out.add("appletally_loop_stall_ms", labels[n], it.byCause[n]);
    }
}

// Records the time from its construction to its destruction as a stall.
class StallTimer {
public:
    StallTimer(LoopStalls& stalls, StallCause cause)
        : m_stalls(stalls)
        , m_cause(cause)
    {
    }
    ~StallTimer() { addStall(m_stalls, m_cause, std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - m_start).count()); }
    StallTimer(const StallTimer&) = delete;
    StallTimer& operator=(const StallTimer&) = delete;

private:
    LoopStalls& m_stalls;
    StallCause m_cause;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

} // namespace appletally::base
