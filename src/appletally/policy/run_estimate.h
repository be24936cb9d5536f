// Run times of a route's requests at the upstream, estimated from those that ended.
//
// Load pattern: routes whose configured run time is wrong or changes with the time of day. Without it a queue is
// measured in requests and not in time, and requests are admitted that can't be answered before their callers give up.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <map>
#include <optional>

namespace appletally::policy {

struct RunEstimate {
    double mean = 0; // milliseconds
    double unloaded = 0; // milliseconds, mean of runs with at most half of the announced slots taken: the best that the upstream can do
    int runs = 0; // counted up to the window of the mean
    int unloadedRuns = 0;
};

using RunEstimates = std::map<base::RouteName, RunEstimate>; // bounded by the routes of the configuration

// At least 1 ms: with runs of zero length a queue of any length would look short. `expected` is the configured run
// time.
base::Duration usualRun(const RunEstimates&, const base::RouteName&, base::Duration expected);

// Mean over all routes observed here; 20 ms before the first run ended.
base::Duration meanRun(const RunEstimates&);

// The usual run time observed here; none before the first run ended.
std::optional<base::Duration> observedRun(const RunEstimates&, const base::RouteName&);

// Ratio of `ran` to the run time on an unloaded upstream; 1 if unknown.
double slowdown(const RunEstimates&, const base::RouteName&, base::Duration ran);

void addRun(RunEstimates&, const base::RouteName&, base::Duration expected, base::Duration ran, bool unloaded);

// A run admitted although the mean was too long has ended well within it: the slow runs behind that mean are over.
void discardSlowRuns(RunEstimates&, const base::RouteName&, base::Duration expected, base::Duration ran);

} // namespace appletally::policy
