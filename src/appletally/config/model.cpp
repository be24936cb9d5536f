// Queries on snapshots that are shared by several modules.
#include "appletally/config/model.h"

#include <algorithm>

namespace appletally::config {

bool rolloutRuns(const Snapshot& snapshot, const base::ServiceName& service)
{
    return std::any_of(snapshot.rollouts.begin(), snapshot.rollouts.end(), [&](const auto& entry) { return entry.second.service == service; });
}

} // namespace appletally::config
