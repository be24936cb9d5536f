// Latency histogram. Bin n holds latencies up to sqrt(2)^n milliseconds, above those of bin n - 1; the last bin is
// open.
#include "appletally/policy/latency_bins.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace appletally::policy {

namespace {

    double lowerEdge(size_t bin) { return bin == 0 ? 0.5 : std::exp2(0.5 * (static_cast<double>(bin) - 1)); }
    double upperEdge(size_t bin) { return std::exp2(0.5 * static_cast<double>(bin)); }

} // namespace

size_t latencyBin(double ms)
{
    if (ms <= 1)
        return 0;
    const double bin = std::ceil(2 * std::log2(ms));
    return std::min(static_cast<size_t>(bin), config::latencyBins - 1);
}

double countOf(const LatencyBins& bins) { return std::accumulate(bins.begin(), bins.end(), 0.0); }

double quantileOf(const LatencyBins& bins, double q)
{
    const double all = countOf(bins);
    double below = 0;
    for (size_t bin = 0; bin < bins.size(); ++bin) {
        if (bins[bin] > 0 && below + bins[bin] >= q * all) {
            const double inside = (q * all - below) / bins[bin];
            return lowerEdge(bin) * std::pow(upperEdge(bin) / lowerEdge(bin), inside);
        }
        below += bins[bin];
    }
    return 0;
}

double countAbove(const LatencyBins& bins, double ms)
{
    double above = 0;
    for (size_t bin = 0; bin < bins.size(); ++bin) {
        if (lowerEdge(bin) >= ms)
            above += bins[bin];
        else if (upperEdge(bin) > ms || bin + 1 == bins.size())
            above += bins[bin] * std::clamp(std::log(upperEdge(bin) / ms) / std::log(upperEdge(bin) / lowerEdge(bin)), 0.0, 1.0);
    }
    return above;
}

} // namespace appletally::policy
