// The commands of the replicated log and their encoding.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/document.h"
#include "appletally/config/model.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace appletally::config {

// Identifies an operator's request. Part of every change that an operator makes.
struct OperatorRequest {
    base::OperatorId by;
    base::RequestNumber number; // from 1, counted by the operator; a resend repeats it
    base::ConfigVersion base; // the version that the operator had read
    base::WallTime at; // clock of the control process that received it; for the history, and to check completeBy
};

struct SubmitAnswers {
    OperatorRequest request;
    std::string answers; // JSON as submitted
};

struct StartRollout {
    OperatorRequest request;
    base::ServiceName service;
    base::UpstreamVersion from; // may be empty if the configuration says which version has the traffic
    base::UpstreamVersion to;
    base::WallTime completeBy;
};

// Returns all traffic to the old version.
struct StopRollout {
    OperatorRequest request;
    base::RolloutId rollout;
    std::string reason;
};

// From the rollout policy of the leading control process. `from` is the share that the decision is based on: without
// it, a late command of a deposed leader would raise a share that its successor has just lowered.
struct SetShare {
    base::RolloutId rollout;
    base::PerMille from;
    base::PerMille to;
    std::string reason;
    base::WallTime at;
};

// Accepted whatever the current share is: the evidence against the version still holds, and a late rollback costs
// callers more than an unnecessary one.
struct RollBackRollout {
    base::RolloutId rollout;
    base::PerMille from;
    std::string reason;
    base::WallTime at;
};

struct CompleteRollout {
    base::RolloutId rollout;
    base::PerMille from;
    std::string reason;
    base::WallTime at;
};

// Starts a change of the keeper set: until it is finished, old and new keepers must both grant claims.
struct SetKeepers {
    base::KeeperSetNumber from; // the set to replace
    std::vector<Keeper> members;
    base::WallTime at;
};

struct FinishKeeperChange {
    base::KeeperSetNumber number;
    base::WallTime at;
};

// A whole document, as its difference from the current document of the process that received it. Refused if another
// document is current when the command is applied.
struct SubmitDocument {
    DocumentId id;
    DocumentChange change;
    base::WallTime at;
};

// Moves a service's traffic to another version, for an operator that does not number its requests: a request for a
// rollout that is running or has just ended starts no new one.
struct MoveTraffic {
    base::ServiceName service;
    base::UpstreamVersion from; // has the traffic, according to the process that received the request
    base::UpstreamVersion to;
    base::Duration within; // from `at`
    base::WallTime at;
};

// Takes the upstreams of an availability zone out of service, or back into it. Running requests end there.
struct EvacuateZone {
    OperatorRequest request;
    base::ZoneName zone;
    bool evacuated = true; // false: ends the evacuation
};

// The same, for an operator that does not number its requests.
struct SetZoneEvacuated {
    base::ZoneName zone;
    bool evacuated = true;
    base::WallTime at;
};

using Command = std::variant<SubmitAnswers, StartRollout, StopRollout, SetShare, RollBackRollout, CompleteRollout, SetKeepers, FinishKeeperChange, SubmitDocument, MoveTraffic, EvacuateZone, SetZoneEvacuated>;

std::string encode(const Command&);
std::string encodeForLog(const Command&); // compressed if large
base::Result<Command> decodeCommand(std::string_view bytes); // plain or compressed; MessageMalformed, MessageTooLarge

const OperatorRequest* requestOf(const Command&); // null: not an operator's request

// Hash of the request without `at`, which differs between the control processes that receive its resends.
uint64_t requestHash(const Command&);

} // namespace appletally::config
