// Metrics in the Prometheus text format. Names end in the unit; docs/METRICS.md lists them, and a test compares the page
// with allMetrics().
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

// Builds one response. All samples of a metric must be added consecutively.
class MetricsText {
public:
    // `labels` in the text format without braces, such as outcome="answered". `name` must be in allMetrics().
    void add(std::string_view name, std::string_view labels, double value);
    void add(std::string_view name, std::string_view labels, const LatencyHistogram&); // in milliseconds
    const std::string& text() const { return m_text; }

private:
    void writeHeaderOnce(std::string_view name);

    std::string m_text;
    std::string_view m_lastName; // metric whose HELP and TYPE lines were written last
};

} // namespace appletally::base
