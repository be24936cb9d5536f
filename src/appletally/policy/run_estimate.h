// How long a route's requests run at the upstream, learned from those that ended.
//
// Load pattern: routes whose length the questionnaire got wrong, or which changes with the day. Without it a queue is
// measured in requests and not in time, and a request is let in that can't be answered before its caller gives up.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <map>
#include <optional>

namespace appletally::policy {

struct RunEstimate {
    double mean = 0; // milliseconds
    double unloaded = 0; // milliseconds, of runs with at most half of the announced slots taken: what the upstream can do at best
    int runs = 0; // counted up to the window below
    int unloadedRuns = 0;
};

using RunEstimates = std::map<base::RouteName, RunEstimate>; // bounded by the routes of the configuration

// At least 1 ms: a run of no length would make a queue of any number look short. `expected` is the configuration's.
base::Duration usualRun(const RunEstimates&, const base::RouteName&, base::Duration expected);

// The usual run as far as it was seen here; none before the first one ended.
std::optional<base::Duration> observedRun(const RunEstimates&, const base::RouteName&);

// How many times longer than on a quiet upstream `ran` is; 1 where nothing is known.
double slowdown(const RunEstimates&, const base::RouteName&, base::Duration ran);

void addRun(RunEstimates&, const base::RouteName&, base::Duration expected, base::Duration ran, bool unloaded);

// A run that was let in against the mean has ended well within it: the slow runs behind that mean are over.
void discardSlowRuns(RunEstimates&, const base::RouteName&, base::Duration expected, base::Duration ran);

} // namespace appletally::policy
