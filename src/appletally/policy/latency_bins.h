// Quantiles and counts above a limit from the coarse latency bins of config::Evidence.
#pragma once

#include "appletally/config/evidence.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace appletally::policy {

using LatencyBins = std::array<double, config::latencyBins>;

// Bin of a latency in milliseconds.
size_t latencyBin(double ms);

// Quantile in milliseconds, interpolated logarithmically within its bin; 0 if nothing was counted.
double quantileOf(const LatencyBins&, double q);

// Number of latencies above `ms`; the bin that holds the limit counts by the part above it. Without that, a limit
// inside a bin would be off by up to 41%, and a version 1.5 times as slow would pass for twice as slow.
double countAbove(const LatencyBins&, double ms);

double countOf(const LatencyBins&);

} // namespace appletally::policy
