// Conversion of durations to libevent timeouts.
#pragma once

#include "appletally/base/clock.h"

#include <algorithm>
#include <sys/time.h>

namespace appletally::base {

// At least one millisecond: a timer that fires in the same loop iteration would run within the step that set it.
inline timeval toTimeval(Duration it)
{
    const int64_t ms = std::max<int64_t>(it.ms, 1);
    return { ms / 1000, static_cast<suseconds_t>(ms % 1000 * 1000) };
}

} // namespace appletally::base
