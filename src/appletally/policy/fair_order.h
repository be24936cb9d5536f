// Fair order among the callers of one class: start-time fair queueing over run time.
//
// Load pattern: a hot caller, or a harbour master who refreshes ten times a second while a vessel warps in. Without it
// (first come, first served) places go by how often somebody asks, and the other callers wait behind one person.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <map>

namespace appletally::policy {

// Each caller's requests are laid one after the other on a common line of run time; the queue is served in the order of
// their starts on it. A caller that asks little always starts at the front, a hot one behind its own earlier requests.
struct FairOrder {
    double virtualTime = 0; // start of the request that was served last; never falls
    std::map<base::CallerId, double> finishTimes; // where each caller's last request ends, if beyond the front
};

// Where a request of this caller would start.
double startTimeOf(const FairOrder&, const base::CallerId&);

// It was let in there. `weight` is how many usual callers this one stands for.
void reserve(FairOrder&, const base::CallerId&, double start, base::Duration run, double weight);

// It was let in and is refused or cancelled before it ran; `last` if the caller has no later one waiting.
void release(FairOrder&, const base::CallerId&, double start, bool last);

void advance(FairOrder&, double start);
void reset(FairOrder&); // nobody waits: there is nothing to share

} // namespace appletally::policy
