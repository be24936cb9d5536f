// Quantiles from the bin counts of Boost.Histogram.
#include "appletally/base/histogram.h"

#include <algorithm>

namespace appletally::base {

// 240 bins over seven decades: adjacent bin edges differ by 7%, which is finer than the variation between runs.
constexpr unsigned binCount = 240;
constexpr double minMicros = 1;
constexpr double maxMicros = 1e7;

LatencyHistogram::LatencyHistogram()
    : m_counts(boost::histogram::make_histogram(Axis(binCount, minMicros, maxMicros)))
{
}

void LatencyHistogram::add(int64_t micros)
{
    m_counts(static_cast<double>(std::max<int64_t>(micros, 1)));
    m_maxMicros = std::max(m_maxMicros, micros);
    m_sumMicros += micros;
    ++m_count;
}

double LatencyHistogram::quantile(double q) const
{
    const double wanted = q * static_cast<double>(m_count);
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(m_counts, boost::histogram::coverage::all)) {
        seen += *bin;
        if (seen >= wanted && *bin > 0)
            return std::min(bin.bin().upper(), static_cast<double>(m_maxMicros));
    }
    return static_cast<double>(m_maxMicros);
}

uint64_t LatencyHistogram::countUpTo(int64_t micros) const
{
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(m_counts, boost::histogram::coverage::all)) {
        if (bin.bin().upper() > static_cast<double>(micros))
            break;
        seen += *bin;
    }
    return static_cast<uint64_t>(seen);
}

nlohmann::json LatencyHistogram::toJson() const
{
    return { { "count", m_count }, { "p50", quantile(0.5) }, { "p90", quantile(0.9) }, { "p99", quantile(0.99) }, { "max", m_maxMicros } };
}

} // namespace appletally::base
