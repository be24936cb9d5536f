// When a new version's share rises, and when it is taken back.
//
// Load pattern: a new version beside the old one, which fails or is slow at once, later, only under load or on one route
// only; or which is good, but begins cold, gets little traffic, shares an overload with the old one or a host with a noisy
// neighbour. Raised by the clock alone, a bad version reaches everybody on time. Taken back by a fixed error limit, a good
// one is blamed for an outage that the old one has as well.
//
// So the new version is compared with the old one on the same route, over the same stretch of time and at the same load,
// by a sequential test (sequential_test.h) of failures, of latency beyond the accepted factor, and of stalls far beyond
// it. The share follows a ladder whose steps are taken on good evidence, or without it when `completeBy` asks for them.
//
// A version that nothing runs has no evidence against it either. So no step is taken without ready upstreams of the new
// version, the last ones only with enough of them to carry the service alone, and a rollout that lacks them when it should
// have completed is taken back.
//
// Pure: plan, evidence and times in; one step with its reason out. Control runs one per rollout and makes each outcome a
// new configuration version. Without control nothing rises: only control makes versions.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/config/evidence.h"
#include "appletally/config/model.h"
#include "appletally/policy/evidence_book.h"
#include "appletally/policy/latency_bins.h"
#include "appletally/policy/sequential_test.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace appletally::policy {

// A rung of the ladder. Fractions are of the time from the rollout's start to `completeBy`.
struct RolloutRung {
    base::PerMille share;
    double earliest = 0; // not before, however good the evidence
    double latest = 0; // by then also without proof, unless the evidence leans against the version; sooner in a short rollout
};

struct RolloutSettings {
    std::vector<RolloutRung> ladder; // the last has 1000; the first rung's share is capped by the plan's maxTrialShare
    double takeBackScore = 0; // log likelihood ratio at which a version is bad
    double leanScore = 0; // from here on no rise before the last moment
    uint64_t provenAnswers = 0; // warm answers on a route that count as proof, when nothing leans against it
    base::Duration leastDwell { 2000 }; // at one share: reports of the share before must have come in
};

// The settings of the two kinds of deployment; docs/DESIGN-claims.md derives them.
RolloutSettings rolloutSettings(config::OptimizationGoal);

enum class RolloutAction : uint8_t {
    Keep,
    Raise, // to `share`
    TakeBack, // share 0, for good
    Complete, // share 1000, for good
};

struct RolloutStep {
    RolloutAction action = RolloutAction::Keep;
    base::PerMille share; // from now on
    std::string why; // one sentence for operators
};

// Decayed counters of the old version on one route, which give the baseline where a stretch has few of its answers.
struct Baseline {
    double answers = 0;
    double failures = 0;
    LatencyBins quiet {};
    LatencyBins busy {};
};

// How the old version does just now, for one kind of badness: counters that forget within tens of its answers.
struct RecentRate {
    double answers = 0;
    double hits = 0;
};

// Each is tested by itself: a version that is slow only under load would be outvoted by its many quick answers.
enum class BadnessKind : uint8_t { Failing,
    Slow,
    SlowUnderLoad,
    Stalling,
    StallingUnderLoad };
constexpr size_t badnessKinds = 5;

// Answers are compared in three streams, each over stretches of its own: in an overload the old version has plenty of busy
// answers at once and quiet ones only after a while, and a quiet one compared too early finds no old one beside it.
enum class Stream : uint8_t { All,
    Quiet,
    Busy };
constexpr size_t streamCount = 3;

// How far one stream has been compared.
struct Compared {
    std::map<base::HostId, Tally> fresh; // totals of the new version's hosts
    Tally old;
    base::WallTime at;
};

// One route: evidence that is not yet compared, and what the comparison gave so far.
struct RolloutRoute {
    std::array<Compared, streamCount> compared;
    Baseline baseline;
    std::array<RecentRate, badnessKinds> recent;
    std::array<SequentialTest, badnessKinds> tests; // all hosts of the new version
    std::map<base::HostId, std::array<SequentialTest, badnessKinds>> hostTests;
};

// Ready upstreams of a rollout's two versions, as control knows them.
struct VersionUpstreams {
    size_t to = 0;
    size_t from = 0;
};

struct RolloutState {
    RolloutSettings settings;
    base::WallTime startedAt;
    base::WallTime lastRise;
    std::optional<base::WallTime> lackingSince; // too few upstreams of the new version beside those of the old one
    EvidenceBook book;
    std::map<base::RouteName, RolloutRoute> routes;
    std::array<SequentialTest, badnessKinds> allRoutes; // pooled: finds what is thin on each route by itself
    std::map<base::HostId, std::array<SequentialTest, badnessKinds>> allRoutesByHost;
    std::optional<RolloutStep> final; // TakeBack or Complete; invariant: never changed once set
};

// When the log committed the rollout and its present share, so that a new leader goes on with the same schedule.
struct RolloutTimes {
    base::WallTime startedAt;
    base::WallTime sharedAt;
};

RolloutState startRollout(RolloutSettings, const RolloutTimes&);

// Cumulative reports of any host, route and version of the service, in any order and as often as they come.
void onEvidence(RolloutState&, const config::Evidence&);

// `plan` is the rollout as it is in force now. Call after reports came in and at least every 200 ms.
RolloutStep stepRollout(RolloutState&, const config::Rollout& plan, const VersionUpstreams&, base::WallTime now, bool controlReachable);

} // namespace appletally::policy
