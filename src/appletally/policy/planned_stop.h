// What a node that is being stopped still takes.
//
// Load pattern: a planned stop in calm, while callers keep sending commands on open connections until the process is gone.
// Without this, those that come late in the grace period are passed on and cut at its end: the caller of a command that must
// not be repeated then knows nothing of its outcome, though any other node would have run it.
#pragma once

#include "appletally/base/clock.h"

#include <optional>

namespace appletally::policy {

// What is known of the time that a request takes.
struct ExpectedEnd {
    std::optional<base::Duration> seen; // nearly all answers of its route came within it; empty: none has come yet
    base::Duration expected; // the configured usual run time
    base::Duration longest; // until its own deadline; it never takes longer
    bool idempotent = false;
};

// False: the request may still be running when the node has to end, so it is refused as not run. Without any answer yet, one
// that must not be repeated is expected to take until its deadline.
bool endsBefore(base::Time stop, const ExpectedEnd&, base::Time now);

} // namespace appletally::policy
