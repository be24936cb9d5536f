// A latency histogram over Boost.Histogram: logarithmic bins, so that 50 microseconds and 5 seconds both read well.
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
    int64_t sumMicros() const { return m_sum; }
    uint64_t countUpTo(int64_t micros) const; // of those in bins that end at or below it

    // Upper edge in microseconds of the bin that holds the quantile `q` (0 to 1); 0 where nothing was added.
    double quantile(double q) const;

    nlohmann::json toJson() const; // count and p50, p90, p99, max in microseconds

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Counts = decltype(boost::histogram::make_histogram(Axis {}));

    Counts m_counts;
    uint64_t m_count = 0;
    int64_t m_most = 0;
    int64_t m_sum = 0;
};

} // namespace appletally::base
