// The leader's rollouts: feeds what nodes saw to policy/rollout and turns its steps into commands for the log.
//
// A new leader begins with what nodes report to it, which are totals; the schedule goes by when the log committed the
// rollout. A deposed leader's late command names the share that it started from and is refused by the state machine.
#pragma once

#include "appletally/config/endpoint_registry.h"
#include "appletally/config/state_machine.h"
#include "appletally/policy/rollout.h"

#include <map>
#include <vector>

namespace appletally::control {

struct RolloutRunner {
    std::map<base::RolloutId, policy::RolloutState> running;
};

// Begins with new rollouts and forgets ended ones. `known`: all evidence so far, for those that begin.
void follow(RolloutRunner&, const config::State&, const std::vector<config::Evidence>& known);

void onEvidence(RolloutRunner&, const config::State&, const std::vector<config::Evidence>&);

// The commands to propose now, most urgent first.
std::vector<config::Command> stepRollouts(RolloutRunner&, const config::State&, const config::EndpointRegistry&, base::WallTime now);

} // namespace appletally::control
