// Which version each node has in force, and for each version when the last reachable node had it.
#pragma once

#include "appletally/inner/rpc_wire.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace appletally::control {

struct NodeStanding {
    base::Incarnation incarnation;
    base::ConfigVersion version;
    base::Time heard; // a node not heard of for endpointLifetime counts as out of reach
};

struct VersionStanding {
    base::Time accepted; // applied here
    std::optional<base::Time> released;
    std::optional<base::Time> everywhere; // when the last reachable node had it in force; empty: not yet
};

struct Convergence {
    std::map<base::HostId, NodeStanding> nodes;
    std::map<base::ConfigVersion, VersionStanding> versions; // the newest 64
};

void accepted(Convergence&, base::ConfigVersion, base::Time now);
void released(Convergence&, base::ConfigVersion, base::Time now);
void heard(Convergence&, const std::vector<inner::NodeAppliedVersion>&, base::Time now);
void expire(Convergence&, base::Time now); // forgets nodes out of reach

// How many of the nodes within reach have the version or a later one.
size_t inForce(const Convergence&, base::ConfigVersion);
std::vector<base::HostId> nodesBelow(const Convergence&, base::ConfigVersion); // the others
nlohmann::json toJson(const Convergence&);

} // namespace appletally::control
