// Cold start of one upstream: until when it counts as cold, and the rate of requests that it takes meanwhile.
//
// Load pattern: an upstream that comes back with empty caches under the load that it had before. Above a rate that the
// configuration names it crashes, and the next process starts cold under the same load. Slots do not bound the rate, since
// short runs turn one slot over many times a second, and announcements come every second or two: between a restart and
// the first announcement after it the upstream would get dozens of requests. So a sign of a restart counts as one until
// an announcement that was sent after it says otherwise.
#pragma once

#include "appletally/base/clock.h"

#include <optional>

namespace appletally::policy {

struct ColdStart {
    base::Time until; // cold before this time
    base::Time suspectedAt { -1'000'000 }; // last sign of a restart that no announcement has confirmed
};

// What the upstream says of itself. `newProcess`: the announcement is the first of a process.
void announceCold(ColdStart&, base::Duration remaining, bool newProcess, base::Time now);

// The upstream may have restarted, or may have become cold in another way. `window`: how long it is cold after that.
void suspectCold(ColdStart&, base::Duration window, base::Time now);

bool isCold(const ColdStart&, base::Time now);

// The smaller of the rate that the upstream names and the one that it takes while cold; empty: no limit.
std::optional<double> rateLimitFor(std::optional<double> named, std::optional<double> whileCold);

} // namespace appletally::policy
