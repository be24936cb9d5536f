// Runs rollouts on the leader: passes the nodes' evidence to policy/rollout and turns its steps into log commands.
//
// A new leader needs no state of the old one: nodes report totals, and the schedule is relative to the time at which the
// rollout was committed. A late command of a deposed leader names the share that it was based on, so the state machine
// rejects it.
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

// Adds new rollouts and removes ended ones. `known`: all evidence so far, the initial evidence of added rollouts.
void syncRunning(RolloutRunner&, const config::State&, const std::vector<config::Evidence>& known);

void onEvidence(RolloutRunner&, const config::State&, const std::vector<config::Evidence>&);

// Returns the commands to propose now, most urgent first.
std::vector<config::Command> stepRollouts(RolloutRunner&, const config::State&, const config::EndpointRegistry&, base::WallTime now);

} // namespace appletally::control
