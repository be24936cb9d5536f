// Fair order among the callers of one class: start-time fair queueing over run time.
//
// Load pattern: a hot caller, or a person who refreshes ten times a second. Without it (first come, first served) slots
// are shared by request rate, and the other callers wait behind one of them.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <map>

namespace appletally::policy {

// Each caller's requests follow one another in virtual time, measured in run time; the queue is served in order of
// virtual start times. A caller with few requests always starts at the current virtual time, a hot one after its own
// earlier requests.
struct FairOrder {
    double virtualTime = 0; // start time of the request that was served last; never decreases
    std::map<base::CallerId, double> finishTimes; // of each caller's last request, if beyond virtualTime
};

// Virtual start time of this caller's next request.
double startTimeOf(const FairOrder&, const base::CallerId&);

// The request was admitted with this start time. `weight` is the number of usual callers that this one counts for.
void reserve(FairOrder&, const base::CallerId&, double start, base::Duration run, double weight);

// An admitted request is refused or cancelled before it ran; `last` if the caller has no later one waiting.
void release(FairOrder&, const base::CallerId&, double start, bool last);

void advance(FairOrder&, double start);
void reset(FairOrder&); // the queue is empty: there is nothing to share

} // namespace appletally::policy
