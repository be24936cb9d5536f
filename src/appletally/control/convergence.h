// Tracks which version each node has applied, and for each version when the last reachable node applied it.
#pragma once

#include "appletally/inner/rpc_wire.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace appletally::control {

struct NodeStatus {
    base::Incarnation incarnation;
    base::ConfigVersion version;
    base::Time lastReport; // a node without a report for endpointLifetime counts as unreachable
};

struct VersionStatus {
    base::Time accepted; // when this process applied it
    std::optional<base::Time> released;
    std::optional<base::Time> appliedEverywhere; // when the last reachable node applied it; empty: not yet
};

struct Convergence {
    std::map<base::HostId, NodeStatus> nodes;
    std::map<base::ConfigVersion, VersionStatus> versions; // the newest 64
};

void recordAccepted(Convergence&, base::ConfigVersion, base::Time now);
void recordReleased(Convergence&, base::ConfigVersion, base::Time now);
void recordReports(Convergence&, const std::vector<inner::NodeAppliedVersion>&, base::Time now);
void expireNodes(Convergence&, base::Time now); // removes unreachable nodes

// Number of reachable nodes that have applied the version or a later one.
size_t countApplied(const Convergence&, base::ConfigVersion);
std::vector<base::HostId> nodesBelow(const Convergence&, base::ConfigVersion); // reachable nodes with an older version
nlohmann::json toJson(const Convergence&);

} // namespace appletally::control
