// Identical idempotent reads of one caller in flight share one run, and each gets its whole answer.
//
// Load pattern: somebody refreshes a page while its last load is still under way. Without it each refresh runs again
// and the upstream answers the same question ten times to one person. Never across callers: their answers may differ.
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
        RequestId run; // the request whose run it is; it may have left, the run goes on for the others
        std::vector<RequestId> waiters; // who gets the answer; never empty
    };
    std::map<ReadKey, SharedRun> sharedRuns;
    std::map<RequestId, ReadKey> keyByRequest; // of all that are wanting, and of each run
};

// True: this request runs. False: it waits for the answer of the one that runs.
bool join(Collapse&, const ReadKey&, RequestId);

// The run ended, well or not, or was refused: these get its answer. Empty for a run that is not shared or not known.
std::vector<RequestId> ended(Collapse&, RequestId run);

// A caller went away. The run to cancel, if nobody wants its answer any more.
std::optional<RequestId> leave(Collapse&, RequestId);

} // namespace appletally::policy
