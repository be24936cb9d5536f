// Decides when the traffic share of a new version is raised and when the version is rolled back.
//
// Load pattern: a new version runs beside the old one. It may fail or be slow immediately, later, only under load or on
// one route only; or it is good but starts cold, gets little traffic, shares an overload with the old version or a host
// with a noisy neighbour. If the share is raised on a schedule alone, a bad version reaches all callers on time. If a
// fixed error limit triggers the rollback, a good version is rolled back for an outage that affects the old version as
// well.
//
// Therefore the new version is compared with the old one on the same route, over the same interval and at the same
// load, by a sequential test (sequential_test.h) of failures, of latency beyond the accepted factor, and of stalls far
// beyond it. The share is raised in steps: on sufficient evidence, or without it when `completeBy` requires it.
//
// Nothing undoes the step to all traffic and the completion, and a schedule is not evidence. Both are taken only if the
// new version has answered its part of the traffic at the share before (rollout_evidence.h).
//
// A version without ready upstreams produces no evidence against it either. So no step is taken without ready upstreams
// of the new version, the last step only with enough of them to serve all traffic, and a rollout that lacks them at its
// completion time is rolled back.
//
// Pure functions: plan, evidence and times in; one decision with its reason out. The control process runs one per
// rollout and turns each decision into a new configuration version. While control is unreachable no share is raised,
// because only control creates versions.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/config/evidence.h"
#include "appletally/config/model.h"
#include "appletally/policy/evidence_totals.h"
#include "appletally/policy/latency_bins.h"
#include "appletally/policy/sequential_test.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace appletally::policy {

// One step of the share schedule. Fractions are of the time from the rollout's start to `completeBy`.
struct RolloutShareStep {
    base::PerMille share;
    double earliest = 0; // not before this, however good the evidence
    double latest = 0; // by then even without sufficient evidence, unless it points against the version; sooner in a short rollout
};

struct RolloutSettings {
    std::vector<RolloutShareStep> steps; // the last has 1000; the first step's share is limited by the plan's maxTrialShare
    double rollbackScore = 0; // log likelihood ratio at which a version is rolled back
    double holdScore = 0; // from this score on the share is held until late in the rollout
    uint64_t minAnswersToRaise = 0; // answers on each route, cold start excluded, that allow a raise ahead of schedule
    base::Duration minStepDuration { 2000 }; // at one share, so that reports of the previous share have arrived
};

// Settings for each kind of deployment; derived in docs/DESIGN-claims.md.
RolloutSettings rolloutSettings(config::OptimizationGoal);

enum class RolloutAction : uint8_t {
    Keep,
    Raise, // to `share`
    RollBack, // share 0, final
    Complete, // share 1000, final
};

struct RolloutDecision {
    RolloutAction action = RolloutAction::Keep;
    base::PerMille share; // to apply from now on
    std::string reason; // one sentence for operators
};

// Decayed counters of the old version on one route: the baseline where an interval has few of its answers.
struct Baseline {
    double answers = 0;
    double failures = 0;
    LatencyBins quiet {};
    LatencyBins busy {};
};

// Recent rate of the old version for one kind of regression. The counters decay within tens of its answers.
struct RecentRate {
    double answers = 0;
    double hits = 0;
};

// Each kind is tested separately: in a common test, the many fast answers of a version that is slow only under load
// would outweigh the slow ones.
enum class RegressionKind : uint8_t { Failing,
    Slow,
    SlowUnderLoad,
    Stalling,
    StallingUnderLoad };
constexpr size_t regressionKinds = 5;

// Answers are compared in three streams, each over its own intervals. In an overload the old version has many busy
// answers immediately and quiet ones only after a while, and quiet answers of the new version that are compared too
// early have no answers of the old version to compare with.
enum class Stream : uint8_t { All,
    Quiet,
    Busy };
constexpr size_t streamCount = 3;

// How far one stream has been compared.
struct ComparedTotals {
    std::map<base::HostId, Tally> newByHost; // totals per host of the new version
    Tally old;
    base::WallTime at;
};

// One route: evidence not yet compared, and the test results so far.
struct RolloutRoute {
    std::array<ComparedTotals, streamCount> compared;
    Baseline baseline;
    std::array<RecentRate, regressionKinds> recent;
    std::array<SequentialTest, regressionKinds> tests; // over all hosts of the new version
    std::map<base::HostId, std::array<SequentialTest, regressionKinds>> hostTests;
};

// Answers of one version on one route.
struct ReportedAnswers {
    uint64_t warm = 0;
    uint64_t all = 0; // with those during cold start
};

// Ready upstreams of a rollout's two versions, as known to control.
struct VersionUpstreams {
    size_t to = 0;
    size_t from = 0;
};

struct RolloutState {
    RolloutSettings settings;
    base::WallTime startedAt;
    base::WallTime lastRaise;
    std::optional<base::WallTime> insufficientSince; // since when the new version has had too few upstreams
    EvidenceTotals evidence;
    // Totals when this leader set the current share, or in the first report of a host that came later.
    std::map<std::pair<base::RouteName, base::UpstreamVersion>, ReportedAnswers> beforeShare;
    std::optional<base::WallTime> leadsSince; // this leader's first decision
    std::optional<base::WallTime> reportsSince; // from here on this leader knows what nodes report
    std::map<base::RouteName, RolloutRoute> routes;
    std::array<SequentialTest, regressionKinds> allRoutes; // pooled over routes: detects regressions with too few answers on each route
    std::map<base::HostId, std::array<SequentialTest, regressionKinds>> allRoutesByHost;
    std::optional<RolloutDecision> final; // RollBack or Complete; invariant: never changed once set
};

// When the log committed the rollout and its current share, so that a new leader continues the same schedule.
struct RolloutTimes {
    base::WallTime startedAt;
    base::WallTime sharedAt;
};

RolloutState startRollout(RolloutSettings, const RolloutTimes&);

// Cumulative reports of any host, route and version of the service. Order and repetition do not matter.
void onEvidence(RolloutState&, const config::Evidence&);

// `plan` is the rollout as currently applied. Call after reports have arrived and at least every 200 ms.
RolloutDecision decideRollout(RolloutState&, const config::Rollout& plan, const VersionUpstreams&, base::WallTime now, bool controlReachable);

} // namespace appletally::policy
