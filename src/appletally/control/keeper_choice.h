// Selects the hosts that keep claims; the leader proposes the set to the log.
//
// The set is replicated because nodes with different views of which hosts are alive would otherwise use different
// keepers, and a request that must not be repeated would run twice. While the set changes, both the old and the new
// keepers must grant a claim, which is slower and fails if either set lacks a majority. Therefore it changes rarely: a
// host that restarts stays in the set, and a missing host is replaced only after keeperReplacementDelay.
#pragma once

#include "appletally/config/endpoint_registry.h"
#include "appletally/config/model.h"
#include "appletally/control/convergence.h"

#include <optional>
#include <vector>

namespace appletally::control {

// Fewer than three cannot tolerate the loss of one. More than nine bring no gain, since each key uses three keepers.
constexpr size_t minKeepers = 3;
constexpr size_t maxKeepers = 9;

// The first set waits this long for further hosts, so that a starting mesh does not change the set right away.
constexpr base::Duration firstKeepersDelay { 1000 };

// A restarting host is back within this time; meanwhile the two other keepers of a key decide.
constexpr base::Duration keeperReplacementDelay { 60'000 };

struct KeeperChoice {
    std::vector<config::Keeper> candidates; // members preferred to the committed set
    base::Time unchangedSince; // when `candidates` last changed
};

// Returns the members to propose now, if any. `choice` keeps state between calls.
std::optional<std::vector<config::Keeper>> chooseKeepers(KeeperChoice& choice, const config::KeeperSet&, const config::EndpointRegistry&, base::Time now);

// Whether the first set may be proposed: each member must have applied a version without keepers.
//
// A keeper whose first version already has a keeper set must assume that it lost claims, and grants none until the other
// keepers have sent theirs. If the first set were committed before the nodes had their first version, all keepers would
// wait for each other until the claim lifetime has passed, and keyed requests would fail for minutes. A node that has
// applied a version without keepers knows that it cannot have lost a claim.
bool mayProposeFirstSet(const std::vector<config::Keeper>&, const Convergence&);

} // namespace appletally::control
