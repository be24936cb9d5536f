// Generates a snapshot from the teams' answers and validates snapshots.
//
// Deterministic: each replica generates its own snapshot from the same answers and must get the same bytes.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/model.h"
#include "appletally/config/questionnaire.h"

#include <map>
#include <string>

namespace appletally::config {

// By the name of the answers.
using AnswersOfTeams = std::map<std::string, Answers>;

// Version 0, without rollouts and keepers, which the state machine adds.
Snapshot generate(const Answers&);

// All teams together. AnswersInvalid if two teams declare the same service or route. The timing is the fastest that any
// team requests, since one delta carries the changes of all.
base::Result<Snapshot> generate(const AnswersOfTeams&);

// Rejects a snapshot that a node could not apply as a whole:
//   DanglingReference  a route, dependency or rollout names something that the snapshot does not contain
//   AnswersInvalid     cyclic dependencies, shares that do not add up, duplicate routes, keys that differ from their values
base::Result<void> validate(const Snapshot&);

} // namespace appletally::config
