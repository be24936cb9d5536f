// What may be written into the replicated log, and how it reads as bytes.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/document.h"
#include "appletally/config/model.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace appletally::config {

// Who asks, under which number, having seen what. Stands on every change that an operator makes.
struct OperatorRequest {
    base::OperatorId by;
    base::RequestNumber number; // from 1, counted by the operator; a resend repeats it
    base::ConfigVersion base; // the version that the operator had read
    base::WallTime at; // of the control process that took it, for the history; no decision reads it but completeBy's
};

struct SubmitAnswers {
    OperatorRequest request;
    std::string answers; // JSON as submitted
};

struct StartRollout {
    OperatorRequest request;
    base::ServiceName service;
    base::UpstreamVersion from; // may be empty where the configuration says which version has the traffic
    base::UpstreamVersion to;
    base::WallTime completeBy;
};

// The old version gets all traffic again.
struct StopRollout {
    OperatorRequest request;
    base::RolloutId rollout;
    std::string reason;
};

// From the leading control's rollout policy. Each names the share that it starts from: a deposed leader's late word
// would else raise a share that its successor has just lowered.
struct SetShare {
    base::RolloutId rollout;
    base::PerMille from;
    base::PerMille to;
    std::string reason;
    base::WallTime at;
};

// Not refused for another share than `from`: whatever the share is, the evidence against the version stands, and
// taking back late costs callers more than taking back once too often.
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

// Begins a change of the keeper set: until it is finished, old and new keepers must both grant.
struct SetKeepers {
    base::KeeperSetNumber from; // the set that it replaces
    std::vector<Keeper> members;
    base::WallTime at;
};

struct FinishKeeperChange {
    base::KeeperSetNumber number;
    base::WallTime at;
};

// A whole document, as its difference from the one in force at the process that took it. Refused where another one is in
// force when it is applied.
struct SubmitDocument {
    DocumentId id;
    DocumentChange change;
    base::WallTime at;
};

// Moves a service's traffic to another version, for an operator that does not number its requests: asking for what is
// under way, or has just ended, starts nothing new.
struct MoveTraffic {
    base::ServiceName service;
    base::UpstreamVersion from; // that has the traffic, as the process that took the request sees it
    base::UpstreamVersion to;
    base::Duration within; // from `at`
    base::WallTime at;
};

using Command = std::variant<SubmitAnswers, StartRollout, StopRollout, SetShare, RollBackRollout, CompleteRollout, SetKeepers, FinishKeeperChange, SubmitDocument, MoveTraffic>;

std::string encode(const Command&);
std::string encodeForLog(const Command&); // compressed if large
base::Result<Command> decodeCommand(std::string_view bytes); // plain or compressed; MessageMalformed, MessageTooLarge

const OperatorRequest* requestOf(const Command&); // null: not an operator's

// Of what the operator asked, without `at`, which differs between the replicas that took two resends.
uint64_t requestHash(const Command&);

} // namespace appletally::config
