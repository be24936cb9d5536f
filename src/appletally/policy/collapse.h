// Request collapsing: identical idempotent reads of one caller that are in flight share one run, and each gets the
// whole answer.
//
// Load pattern: somebody refreshes a page while its last load is still running. Without it each refresh runs again and
// the upstream answers the same request ten times for one person. Never across callers: their answers may differ.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/policy/load.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace appletally::policy {

struct ReadKey {
    base::CallerId caller;
    base::RouteName route;
    std::string request; // path, query and every header that the upstream's answer may depend on
    auto operator<=>(const ReadKey&) const = default;
};

struct Collapse {
    struct SharedRun {
        RequestId run; // the request that runs; its caller may have left, the run continues for the others
        std::vector<RequestId> waiters; // requests that get the answer; never empty
    };
    std::map<ReadKey, SharedRun> sharedRuns;
    std::map<RequestId, ReadKey> keyByRequest; // of all waiters, and of each run
};

// True: this request runs. False: it waits for the answer of the request that runs.
bool join(Collapse&, const ReadKey&, RequestId);

// The run has ended, successfully or not, or was refused: returns the requests that get its answer. Empty for a run
// that is not shared or not known.
std::vector<RequestId> ended(Collapse&, RequestId run);

// A caller has left. Returns the run to cancel if it has no waiters left.
std::optional<RequestId> leave(Collapse&, RequestId);

} // namespace appletally::policy
