// Recent results of one upstream version on one route at a caller's node, the baseline for the node beside a new
// version.
//
// Load pattern: a dependency fails, and with it both the old and the new version. The node beside the new version sees
// only its own upstream. Without a baseline it requires much more evidence before it stops the version locally, and
// while control is unreachable each of those requests is lost. The caller's node sees both versions, so it reports with
// each call how the old one does.
#pragma once

#include "appletally/policy/local_version_monitor.h"

#include <optional>

namespace appletally::policy {

struct VersionStats {
    uint64_t answers = 0;
    double failures = 0; // moving share of the last few answers, 0 to 1
    double medianMs = 0; // moving estimate of the run time at the upstream
    bool failing = false; // the last answer failed
    uint64_t otherAnswersBefore = 0; // answers of the other version when the current series of failures began
};

// `other`: total answers so far of the version it is compared with.
void observe(VersionStats&, bool failed, base::Duration run, uint64_t other);

// The old version's results, for a call to the new one. None if the old version has too few answers, or too few since
// the new one began to fail: an outage of both looks like a fault of the new version until the old one is affected as
// well.
std::optional<CallerBaseline> baselineOf(const VersionStats& old, const VersionStats& fresh);

} // namespace appletally::policy
