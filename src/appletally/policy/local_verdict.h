// The owner's node counts what its upstream's version does, and stops a bad one by itself.
//
// Load pattern: a version that is broken from one moment to the next. Until reports have reached control, a decision has
// been agreed and a new configuration is in force, some hundred milliseconds pass, and much longer while control is cut
// off; every command in that time would be lost. The node beside the upstream sees each answer first. After a few gross
// failures it refuses further work for this version with Code::VersionRolledBack, which is truly "not run", so that the
// caller's node sends the request to the old version. It only judges what is gross; fine differences are control's.
//
// A dependency that fails old and new alike must not stop the new one: callers' nodes see both versions and may pass on
// what the old one did lately (CallerBaseline). Without it the test asks for much more.
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

// What a caller's node lately saw of the old version on one route.
struct CallerBaseline {
    double failureRate = 0; // 0 to 1
    double medianMs = 0; // run time at the upstream; 0: not known
};

struct LocalAnswer {
    base::RouteName route;
    bool failed = false; // status 5xx, cut, malformed or timed out; a refusal ("not run") is no answer
    base::Duration run; // at the upstream, without the node's queue
    bool busy = false; // three quarters of the slots or more were taken when it began
    std::optional<CallerBaseline> old;
};

struct LocalRoute {
    config::Evidence evidence;
    SequentialTest failing;
    SequentialTest slow;
};

struct LocalVerdict {
    // The report's fixed part.
    base::HostId host;
    base::Incarnation incarnation; // of this node
    base::ServiceName service;
    base::UpstreamVersion version;

    std::map<base::RouteName, LocalRoute> routes;

    // Warm-up of the present upstream process.
    base::Time readyAt;
    uint64_t answersSinceReady = 0;
    uint64_t warmUps = 1; // of this version's whole life here: bounds how much may be set aside as cold
    uint64_t coldAnswers = 0;
    uint64_t coldFailures = 0;

    bool judged = false; // a rollout under way is moving traffic to this version
    config::Badness bad; // of that rollout
    bool stopped = false;
    std::string why; // with stopped; for operators
};

LocalVerdict startLocalVerdict(base::HostId, base::Incarnation, base::ServiceName, base::UpstreamVersion, base::Time readyAt);

// The upstream process (re)started and is ready: it is cold for a while, within a bound.
void onUpstreamReady(LocalVerdict&, base::Time now);

// A snapshot came into force. Only the new version of a rollout under way is judged: stopping a service's only version
// would turn a partial failure into a whole one.
void onSnapshot(LocalVerdict&, const config::Snapshot&);

void onLocalAnswer(LocalVerdict&, const LocalAnswer&, base::Time now);

// False: refuse at once with Code::VersionRolledBack, before the upstream gets a byte.
bool mayRun(const LocalVerdict&);

// What to report; counters only grow. Send at most every config::Pace::report, and at once after a stop.
std::vector<config::Evidence> reportOf(const LocalVerdict&);

} // namespace appletally::policy
