// The load that an owner reports with every answer, and the id of a request inside one node.
//
// Ingress nodes route by this and by their own counts. It is as old as the last answer, which under load is
// milliseconds; health and load endpoints of the platform lag by seconds or mislead.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

namespace appletally::policy {

using RequestId = base::Number<struct RequestTag>; // counted by one node, never sent to another

// Duration of slow start. A cold upstream fills its caches over some seconds; it gets its full share after this time.
// The owner knows best when it started; an ingress without an answer yet counts from when it first saw the upstream.
constexpr base::Duration slowStart { 10'000 };

constexpr base::Duration unknownRateEnd { 10'000 }; // a limit without a known end is believed this long

struct Load {
    int running = 0; // requests at the upstream
    int waiting = 0; // requests in the owner's queue
    int slots = 0; // current concurrency limit of the upstream; may be lower than announced
    bool draining = false; // accepts no new work
    base::Duration wait {}; // estimated wait of a new read before it runs
    base::PerMille slowStartProgress { 1000 }; // progress of slow start
    double perSecond = 0; // requests that may start in a second, whatever the slots; 0: no limit
    base::Duration rateLasts {}; // of that limit; zero: there is none
};

} // namespace appletally::policy
