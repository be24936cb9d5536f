// The state machine of the replicated log: the accepted configuration, the outcomes of operators' requests, and the
// history.
//
// apply() is deterministic and depends on its arguments only; each replica runs it over the same log and holds the same
// state. A version is the index of the log entry that created it, so versions only rise.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/commands.h"
#include "appletally/config/generate.h"
#include "appletally/config/model.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace appletally::config {

// The result of a command. The first outcome of an operator's request is stored and returned to its resends.
struct Outcome {
    base::Code code = base::Code::Ok;
    std::string text; // human-readable reason of a refusal
    base::ConfigVersion version; // created by the command; if it created none, the version that was current
    base::RolloutId rollout; // started or ended by the command
    base::OperatorId winner; // VersionConflict, RolloutConflict: whose change came first
    bool operator==(const Outcome&) const = default;
};

struct StoredOutcome {
    uint64_t hash = 0; // requestHash()
    Outcome outcome;
    bool operator==(const StoredOutcome&) const = default;
};

// Stored are the outcomes of each operator's last 32 request numbers, for the 256 operators with the latest requests.
// A change whose outcome was dropped is still never accepted twice: a number at or below an operator's dropped ones is
// refused as reused, and a resend of a dropped operator conflicts with its own first acceptance, which changed the team
// after the base version that the resend names.
constexpr size_t maxOutcomesPerOperator = 32; // ctl sends one request at a time; scripts a handful
constexpr size_t maxOperators = 256;

struct OperatorRecord {
    std::map<base::RequestNumber, StoredOutcome> outcomes;
    base::RequestNumber forgotten; // highest number whose outcome was dropped; 0: none
    base::LogIndex last; // of the last request; the operator with the lowest one is dropped first
    bool operator==(const OperatorRecord&) const = default;
};

// One team's current answers and the last change of the team's part of the configuration.
struct TeamRecord {
    std::string bytes; // as submitted
    Answers answers; // parsed from the bytes
    base::ConfigVersion changedAt; // by an operator: answers, start or stop of a rollout
    base::OperatorId changedBy;
    base::RequestNumber changedNumber;
};

struct VersionRecord {
    base::ConfigVersion version;
    base::WallTime at;
    std::string by; // an operator, or "control"
    std::string summary; // "answers of berthgrid", "rollout plug-control-17 started"
    std::vector<std::string> differences; // describeDifference() with at most maxDifferences lines
    bool operator==(const VersionRecord&) const = default;
};

enum class RolloutEnd : uint8_t {
    Completed,
    RolledBack,
    Stopped, // by an operator
};

struct RolloutRecord {
    Rollout rollout; // as of its end
    RolloutEnd end = RolloutEnd::Completed;
    std::string by;
    std::string reason;
    base::ConfigVersion startedIn;
    base::ConfigVersion endedIn;
    base::WallTime startedAt;
    base::WallTime endedAt;
    bool operator==(const RolloutRecord&) const = default;
};

// The largest deployment makes 3,300 changes a day, so this covers the last hours. Older records are
// dropped; operators that need them keep their own logs.
constexpr size_t maxVersionRecords = 500;
constexpr size_t maxRolloutRecords = 500;
constexpr size_t maxDifferences = 20;
constexpr size_t maxDifferenceBytes = 300;
constexpr size_t maxAnswersBytesOfAllTeams = 16 * maxAnswersBytes; // bounds the log's snapshots

struct RunningRollout {
    base::ConfigVersion startedIn;
    base::WallTime startedAt;
    base::OperatorId startedBy;
    base::WallTime shareSetAt; // last change of the share, so that a new leader holds it no longer than the previous one
    bool operator==(const RunningRollout&) const = default;
};

struct State {
    base::LogIndex applied; // last entry processed, whether it changed anything or not
    Snapshot snapshot; // current; its version is that of the last entry that changed it
    std::map<std::string, TeamRecord> teams;
    std::map<base::ServiceName, base::UpstreamVersion> traffic; // version that has the traffic while no rollout runs
    std::map<base::ServiceName, base::UpstreamVersion> previousTraffic; // version before the last completed rollout; keys are among those of `traffic`
    std::map<base::RolloutId, RunningRollout> running; // keys equal those of snapshot.rollouts
    std::map<base::OperatorId, OperatorRecord> operators;
    std::deque<VersionRecord> versions; // oldest first
    std::deque<RolloutRecord> ended; // oldest first
    DocumentRecord document; // its routes and services are in the snapshot, beside those of the teams
};

const Snapshot& current(const State&);

// The snapshot stays valid (see validate()) whatever the command. An `index` not above state.applied changes nothing.
Outcome apply(State&, base::LogIndex index, const Command&);
Outcome apply(State&, base::LogIndex index, std::string_view commandBytes); // MessageMalformed if they cannot be decoded

// The stored outcome, read without a log entry: for a replica that has caught up (read index). Null: none stored.
const StoredOutcome* findOutcome(const State&, const base::OperatorId&, base::RequestNumber);

const char* endName(RolloutEnd); // "completed", "taken back", "stopped"

// The compressed state, for the log's snapshots.
std::string encode(const State&);
base::Result<State> decodeState(std::string_view bytes);

} // namespace appletally::config
