// Monitors a version at the owner: the node beside an upstream counts its answers and stops a bad version locally.
//
// Load pattern: a version that breaks suddenly. It takes some hundred milliseconds until reports have reached control,
// a decision is committed and a new configuration is applied, and much longer while control is unreachable; every
// request in that time would be lost. The node beside the upstream sees each answer first. After a few gross failures
// it rejects further requests for this version with Code::VersionRolledBack, which guarantees "not run", so that the
// caller's node sends the request to the old version. Only gross regressions are detected here; small differences are
// left to control.
//
// A failing dependency affects both versions and must not stop the new one: callers' nodes see both versions and may
// pass on the old one's recent results (CallerBaseline). Without them the test requires much more evidence.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/config/evidence.h"
#include "appletally/config/model.h"
#include "appletally/policy/sequential_test.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace appletally::policy {

// What a caller's node recently observed of the old version on one route.
struct CallerBaseline {
    double failureRate = 0; // 0 to 1
    double medianMs = 0; // run time at the upstream; 0: unknown
};

struct LocalAnswer {
    base::RouteName route;
    bool failed = false; // status 5xx, cut off, malformed or timed out; a rejection ("not run") is not an answer
    base::Duration run; // run time at the upstream, without the node's queue
    bool busy = false; // three quarters of the slots or more were taken when the run began
    std::optional<CallerBaseline> old;
};

struct LocalRoute {
    config::Evidence evidence;
    SequentialTest failing;
    SequentialTest slow;
};

struct LocalVersionMonitor {
    // Constant fields of the reports.
    base::HostId host;
    base::Incarnation incarnation; // of this node
    base::ServiceName service;
    base::UpstreamVersion version;

    std::map<base::RouteName, LocalRoute> routes;

    // Cold start of the current upstream process.
    base::Time readyAt;
    uint64_t answersSinceReady = 0;
    uint64_t coldStarts = 1; // over this version's whole life here; limits how many answers may be excluded as cold
    uint64_t coldAnswers = 0;
    uint64_t coldFailures = 0;

    bool monitored = false; // a running rollout is moving traffic to this version
    config::RegressionThresholds bad; // of that rollout
    bool stopped = false;
    std::string reason; // for operators; with `stopped`
};

LocalVersionMonitor startLocalVersionMonitor(base::HostId, base::Incarnation, base::ServiceName, base::UpstreamVersion, base::Time readyAt);

// The upstream process (re)started and is ready. It counts as cold for a limited time.
void onUpstreamReady(LocalVersionMonitor&, base::Time now);

// A snapshot has been applied. Only the new version of a running rollout is monitored: stopping a service's only
// version would turn a partial failure into a complete one.
void onSnapshot(LocalVersionMonitor&, const config::Snapshot&);

void onLocalAnswer(LocalVersionMonitor&, const LocalAnswer&, base::Time now);

// If false, reject immediately with Code::VersionRolledBack, before any byte is sent to the upstream.
bool mayRun(const LocalVersionMonitor&);

// The reports to send; their counters only grow. Send at most every config::Pace::report, and immediately after a stop.
std::vector<config::Evidence> evidenceReports(const LocalVersionMonitor&);

} // namespace appletally::policy
