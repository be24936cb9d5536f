// Whether the answers at a rollout's current share suffice for the steps that nothing undoes: all traffic, and completion.
//
// Load pattern: all processes lose power while a rollout is nearly due. The nodes' counters and the leader's tests are
// gone, the upstreams are cold, and the schedule asks for the remaining steps at once. Without this, a bad version
// completes within seconds on no answers at all.
#pragma once

#include "appletally/policy/rollout.h"

#include <map>
#include <string>
#include <utility>

namespace appletally::policy {

std::map<std::pair<base::RouteName, base::UpstreamVersion>, ReportedAnswers> reportedAnswers(const RolloutState&);

// Call before the evidence is merged. What a host has counted before this leader knows it is no answer at the current
// share.
void noteFirstReport(RolloutState&, const config::Evidence&);

// A leader that took over without the evidence of its predecessor waits for the reports of nodes. Call at each decision.
void noteReports(RolloutState&, const config::Rollout& plan, base::WallTime now);

// Whether the reports of the current share have had this long to arrive.
bool haveReportsArrived(const RolloutState&, base::Duration time, base::WallTime now);

// Whether the new version has answered enough at this share for a step that nothing undoes.
bool mayTakeLastSteps(const RolloutState&, const config::Rollout& plan, base::WallTime now);

// Whether answers come fast enough that a suspicion is settled within seconds.
bool answersSettleSoon(const RolloutState&, const config::Rollout& plan);

// For the reason of a step.
std::string describeEvidence(const RolloutState&, const config::Rollout& plan, double worst);

} // namespace appletally::policy
