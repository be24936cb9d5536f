// The difference between two snapshots by resource, so that a change of one route costs a node a few hundred bytes.
//
// A delta names its base version and the hash of its result. Applied to any other version it would produce a mixture
// of two versions that was never accepted, and callers of one route would meet the rules of another version. So a
// delta that does not match changes nothing, and the receiver requests a snapshot or another delta.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/model.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace appletally::config {

struct Delta {
    base::ConfigVersion from;
    base::ConfigVersion to; // invariant: higher than `from`
    uint64_t resultHash = 0; // contentHash() of the snapshot at `to`
    std::vector<Service> services; // new or changed
    std::vector<Route> routes;
    std::vector<Rollout> rollouts;
    std::vector<base::ServiceName> removedServices;
    std::vector<base::RouteName> removedRoutes;
    std::vector<base::RolloutId> removedRollouts;
    std::optional<KeeperSet> keepers; // empty: unchanged
    std::optional<ControlTiming> timing;
    std::optional<CallerLimits> callerLimits;
    std::optional<std::set<base::ZoneName>> evacuatedZones;
};

Delta difference(const Snapshot& from, const Snapshot& to);

// The snapshot at `delta.to`, not yet validated. Repeating a delta is harmless. Errors:
//   VersionTooOld    `snapshot` is at `delta.to` or above: the delta is duplicated or late
//   DeltaMismatch  the delta has another base version, or its result has another hash
base::Result<Snapshot> patch(const Snapshot& snapshot, const Delta& delta);

std::string encode(const Delta&);
base::Result<Delta> decodeDelta(std::string_view bytes); // MessageMalformed

// Human-readable: one line for each resource that differs, "service a: slots 10 -> 12", "route r: added". At most
// `maxLines` lines, followed by a line with the number of omitted ones, if any.
std::vector<std::string> describeDifference(const Snapshot& from, const Snapshot& to, size_t maxLines = SIZE_MAX);

} // namespace appletally::config
