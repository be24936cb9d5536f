// Weighted split of a route's traffic between services.
//
// Load pattern: a route that sends nine tenths to one service and a tenth to another, called a few times a second by
// each of many nodes. Drawn at random, a part gets a fifth or nothing in some seconds, and operators see a share that
// they did not configure. So each node splits exactly, by smooth weighted round robin. A part that is short of capacity
// keeps its share: the excess is refused and not moved to another part, whose owners did not plan for it.
#pragma once

#include "appletally/config/model.h"

#include <map>
#include <vector>

namespace appletally::policy {

// Credits of one route's parts; invariant: they add up to 0.
using SplitCredits = std::map<base::ServiceName, int64_t>;

// `splits` is not empty. If all weights are 0 the first part gets everything.
base::ServiceName nextSplit(SplitCredits&, const std::vector<config::RouteSplit>& splits);

} // namespace appletally::policy
