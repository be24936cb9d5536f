// A latency histogram with logarithmic bins (Boost.Histogram), so that 50 microseconds and 5 seconds have the same
// relative precision.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace appletally::base {

class LatencyHistogram {
public:
    LatencyHistogram();

    void add(int64_t micros);
    uint64_t count() const { return m_count; }
    int64_t sumMicros() const { return m_sumMicros; }
    uint64_t countUpTo(int64_t micros) const; // values in bins whose upper edge is at or below `micros`

    // Upper edge, in microseconds, of the bin that contains quantile `q` (0 to 1), at most the maximum; 0 if empty.
    double quantile(double q) const;

    nlohmann::json toJson() const; // count; p50, p90, p99 and max in microseconds

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Counts = decltype(boost::histogram::make_histogram(Axis {}));

    Counts m_counts;
    uint64_t m_count = 0;
    int64_t m_maxMicros = 0;
    int64_t m_sumMicros = 0;
};

} // namespace appletally::base
