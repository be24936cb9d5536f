// What a caller's node lately saw of one upstream version on one route, as the baseline for the node beside a new one.
//
// Load pattern: a dependency fails, and old and new version with it. The node beside the new version sees only its own
// upstream; without a baseline it must ask for much more before it stops the version by itself, and while control is away
// each of those answers is lost. The caller's node sees both versions, so it tells with each call how the old one does.
#pragma once

#include "appletally/policy/local_version_monitor.h"

#include <optional>

namespace appletally::policy {

struct VersionStats {
    uint64_t answers = 0;
    double failures = 0; // moving share of the last few answers, 0 to 1
    double medianMs = 0; // moving estimate of the run time at the upstream
    bool failing = false; // its last answer failed
    uint64_t othersBefore = 0; // answers of the other version when the present streak of failures began
};

// `other`: answers of the version it is compared with, up to now.
void observe(VersionStats&, bool failed, base::Duration run, uint64_t other);

// How the old version does, for a call to the new one. None: it has too few answers to say anything, or too few since the
// new one began to fail: an outage of both looks like one of the new version until the old one has met it as well.
std::optional<CallerBaseline> baselineOf(const VersionStats& old, const VersionStats& fresh);

} // namespace appletally::policy
