// Cumulative evidence of all hosts, merged so that lost, late, duplicated and reordered reports have no effect on the
// totals.
//
// Each report carries counters that only grow within one incarnation of the node that sends it. The largest value of
// each counter is kept per incarnation and summed over incarnations, so that answers from before a node's restart stay
// counted.
#pragma once

#include "appletally/config/evidence.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace appletally::policy {

// Counters without their keys. Sums and differences of them are counters again.
struct Tally {
    uint64_t answers = 0;
    uint64_t failures = 0;
    std::array<uint64_t, config::latencyBins> quiet {}; // latency with slots free
    std::array<uint64_t, config::latencyBins> busy {}; // latency with three quarters of the slots taken or more
    uint64_t coldAnswers = 0;
    uint64_t coldFailures = 0;
};
Tally& operator+=(Tally&, const Tally&);
Tally operator-(const Tally&, const Tally&); // the second operand's counters must not exceed the first's

struct EvidenceKey {
    base::HostId host;
    base::RouteName route;
    base::UpstreamVersion version;
    auto operator<=>(const EvidenceKey&) const = default;
};

struct EvidenceTotals {
    std::map<EvidenceKey, std::map<base::Incarnation, Tally>> tallies;
    std::map<base::UpstreamVersion, std::set<base::HostId>> stopped; // hosts that stopped a version locally
    std::map<base::UpstreamVersion, std::set<base::HostId>> hosts; // hosts with at least one answer of a version
};

void mergeEvidence(EvidenceTotals&, const config::Evidence&);
Tally totalOf(const EvidenceTotals&, const EvidenceKey&);

} // namespace appletally::policy
