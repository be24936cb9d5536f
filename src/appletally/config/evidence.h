// Answers and latencies of one version of a node's own upstream on one route.
//
// Counters only grow within one incarnation of the node, so lost, late and duplicate reports are harmless: the receiver
// keeps the largest value of each incarnation and sums over the incarnations.
#pragma once

#include "appletally/base/ids.h"

#include <array>

namespace appletally::config {

// Latency bins by powers of the square root of two, from below 1 ms: bin n covers up to 1.414^n ms, the last is open.
constexpr size_t latencyBins = 32;

struct Evidence {
    base::HostId host;
    base::Incarnation incarnation;
    base::ServiceName service;
    base::RouteName route;
    base::UpstreamVersion version;
    uint64_t answers = 0; // complete answers, good or failed; without rejections ("not run")
    uint64_t failures = 0; // status 5xx, truncated, malformed or timed out
    std::array<uint32_t, latencyBins> latency {}; // run time at the upstream, without waiting in the node's queue
    std::array<uint32_t, latencyBins> busyLatency {}; // the part of `latency` with three quarters of the slots in use
    uint64_t coldAnswers = 0; // answers during the slow start of a new upstream; not in `latency` nor in `answers`
    uint64_t coldFailures = 0;
    bool stoppedHere = false; // the node has stopped this version by its own decision
};

} // namespace appletally::config
