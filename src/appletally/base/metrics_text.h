// Metrics in Prometheus' text format. Names end in their unit; docs/METRICS.md is the catalogue, and a test holds it to the
// table below.
#pragma once

#include "appletally/base/histogram.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace appletally::base {

enum class MetricKind : uint8_t { Counter,
    Gauge,
    Histogram };

struct MetricInfo {
    std::string_view name;
    MetricKind kind;
    std::string_view meaning; // one line, also for docs/METRICS.md
};

std::span<const MetricInfo> allMetrics();

// Collects the lines of one answer. Samples of one metric are added one after the other.
class MetricsText {
public:
    // `labels` as in the format, without braces: outcome="answered". The name is one of allMetrics().
    void add(std::string_view name, std::string_view labels, double value);
    void add(std::string_view name, std::string_view labels, const LatencyHistogram&); // in milliseconds
    const std::string& text() const { return m_text; }

private:
    void begin(std::string_view name);

    std::string m_text;
    std::string_view m_last; // whose head was written
};

} // namespace appletally::base
