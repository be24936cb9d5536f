// What an owner's node says about its upstream in every answer, and the id of a request inside one node.
//
// Callers' nodes route by this and by their own counts. It is as old as the last answer, which under load is
// milliseconds; health and load endpoints of the platform lag or mislead by seconds.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

namespace appletally::policy {

using RequestId = base::Number<struct RequestTag>; // counted by one node, never sent to another

// A cold upstream fills its caches over some seconds; it gets its full share after this time. The owner knows best when
// it began; a caller's node that has no answer yet goes by when it saw the upstream first.
constexpr base::Duration slowStart { 10'000 };

struct Load {
    int running = 0; // requests at the upstream
    int waiting = 0; // requests in the owner's queue
    int slots = 0; // requests that the upstream is given at once now; may be lower than announced
    bool draining = false; // no new work
    base::Duration wait {}; // what a new read would wait before it runs
    base::PerMille slowStartProgress { 1000 }; // how far its warm-up has come
};

} // namespace appletally::policy
