// Cumulative evidence of all hosts, merged so that lost, late, doubled and crossed reports do no harm.
//
// Each report carries counters that only grow within one incarnation of the node that writes it. The book keeps the
// largest of each and adds incarnations up, so that a restarted node's earlier answers stay counted.
#pragma once

#include "appletally/config/evidence.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace appletally::policy {

// Counters without their keys; sums and differences of them are counters again.
struct Tally {
    uint64_t answers = 0;
    uint64_t failures = 0;
    std::array<uint64_t, config::latencyBins> quiet {}; // latency with free slots
    std::array<uint64_t, config::latencyBins> busy {}; // with three quarters of the slots taken or more
    uint64_t coldAnswers = 0;
    uint64_t coldFailures = 0;
};
Tally& operator+=(Tally&, const Tally&);
Tally operator-(const Tally&, const Tally&); // counters of the second are never larger than the first's

struct EvidenceKey {
    base::HostId host;
    base::RouteName route;
    base::UpstreamVersion version;
    auto operator<=>(const EvidenceKey&) const = default;
};

struct EvidenceTotals {
    std::map<EvidenceKey, std::map<base::Incarnation, Tally>> tallies;
    std::map<base::UpstreamVersion, std::set<base::HostId>> stopped; // hosts that stopped a version by themselves
    std::map<base::UpstreamVersion, std::set<base::HostId>> hosts; // hosts that answered anything with a version
};

void mergeEvidence(EvidenceTotals&, const config::Evidence&);
Tally totalOf(const EvidenceTotals&, const EvidenceKey&);

} // namespace appletally::policy
