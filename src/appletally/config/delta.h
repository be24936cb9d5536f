// What differs between two snapshots, by resource, so that a change of one route costs a node some hundred bytes.
//
// A delta names the version that it starts from and the hash of what must come out. Applied to anything else it would
// leave a mixture of two versions that nobody accepted, and callers of one route would meet rules of another version;
// so a delta that does not fit changes nothing and the receiver asks for what it lacks.
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
    std::vector<base::ServiceName> goneServices;
    std::vector<base::RouteName> goneRoutes;
    std::vector<base::RolloutId> goneRollouts;
    std::optional<KeeperSet> keepers; // where they changed
    std::optional<Pace> pace;
    std::optional<CallerLimits> callerLimits;
};

Delta difference(const Snapshot& from, const Snapshot& to);

// The snapshot at `delta.to`, not yet validated. Harmless to repeat:
//   VersionTooOld    `snapshot` is at `delta.to` or above: doubled or overtaken
//   DeltaMismatch    it starts elsewhere, or the result has another hash
base::Result<Snapshot> patch(const Snapshot& snapshot, const Delta& delta);

std::string encode(const Delta&);
base::Result<Delta> decodeDelta(std::string_view bytes); // MessageMalformed

// For people: one line for each resource that differs, "service a: slots 10 -> 12", "route r: added". At most
// `mostLines` lines, followed by a line with the number of omitted ones, if any.
std::vector<std::string> describeDifference(const Snapshot& from, const Snapshot& to, size_t mostLines = SIZE_MAX);

} // namespace appletally::config
