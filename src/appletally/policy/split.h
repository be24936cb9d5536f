// Whose turn it is among the parts of a route's traffic.
//
// Load pattern: a route that sends nine tenths to one service and a tenth to another, asked a few times a second by each
// of many nodes. Drawn at random, a part gets a fifth or nothing in some seconds, and operators see a share that they did
// not ask for. So each node takes exact turns. A part that is short of room keeps its turns: what does not fit there is
// refused and not moved to another part, whose owners did not plan for it.
#pragma once

#include "appletally/config/model.h"

#include <map>
#include <vector>

namespace appletally::policy {

// Credits of one route's parts; invariant: they add up to 0.
using SplitCredits = std::map<base::ServiceName, int64_t>;

// `splits` is not empty. Where all weights are 0 the first part gets everything.
base::ServiceName nextSplit(SplitCredits&, const std::vector<config::RouteSplit>& splits);

} // namespace appletally::policy
