// What the replicated log applies: the accepted configuration, the outcomes of operators' requests, and the history.
//
// apply() is deterministic and reads nothing but its arguments; each replica runs it over the same log and holds the
// same state. Version = index of the log entry that made it, so versions only ever rise.
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

// What a command came to. The first outcome of an operator's request is kept and repeated to its resends.
struct Outcome {
    base::Code code = base::Code::Ok;
    std::string text; // for people: why it was refused
    base::ConfigVersion version; // that it made; where it made none, the version current then
    base::RolloutId rollout; // that it started or ended
    base::OperatorId winner; // VersionConflict, RolloutConflict: whose change came first
    bool operator==(const Outcome&) const = default;
};

struct StoredOutcome {
    uint64_t hash = 0; // requestHash()
    Outcome outcome;
    bool operator==(const StoredOutcome&) const = default;
};

// The rule of what is kept: the outcomes of each operator's last 32 numbers, for the 256 operators that asked last.
// An accepted change never happens twice for being forgotten: a number at or below an operator's forgotten ones is
// refused as reused, and a request of a forgotten operator conflicts with its own first acceptance, which changed its
// team after the base version that it names.
constexpr size_t maxOutcomesPerOperator = 32; // ctl sends one request at a time; scripts a handful
constexpr size_t maxOperators = 256;

struct OperatorRecord {
    std::map<base::RequestNumber, StoredOutcome> outcomes;
    base::RequestNumber forgotten; // highest number whose outcome was dropped; 0: none
    base::LogIndex last; // of the last request, to choose whom to forget
    bool operator==(const OperatorRecord&) const = default;
};

// One team's answers in force and who changed the team's part last.
struct TeamRecord {
    std::string bytes; // as submitted
    Answers answers; // read from the bytes
    base::ConfigVersion changedAt; // by an operator: answers, start or stop of a rollout
    base::OperatorId changedBy;
    base::RequestNumber changedNumber;
};

struct VersionRecord {
    base::ConfigVersion version;
    base::WallTime at;
    std::string by; // an operator, or "control"
    std::string summary; // "answers of berthgrid", "rollout plug-control-17 started"
    std::vector<std::string> differences; // describeDifference(), cut to mostDifferences
    bool operator==(const VersionRecord&) const = default;
};

enum class RolloutEnd : uint8_t {
    Completed,
    RolledBack,
    Stopped, // by an operator
};

struct RolloutRecord {
    Rollout rollout; // as it was when it ended
    RolloutEnd end = RolloutEnd::Completed;
    std::string by;
    std::string reason;
    base::ConfigVersion startedIn;
    base::ConfigVersion endedIn;
    base::WallTime startedAt;
    base::WallTime endedAt;
    bool operator==(const RolloutRecord&) const = default;
};

// 3,300 changes a day at the largest size: the last hours; older ones are in the log of whoever wants them longer.
constexpr size_t maxVersionRecords = 500;
constexpr size_t maxRolloutRecords = 500;
constexpr size_t maxDifferences = 20;
constexpr size_t maxDifferenceBytes = 300;
constexpr size_t maxAnswersBytesOfAllTeams = 16 * maxAnswersBytes; // bounds the log's snapshots

struct RunningRollout {
    base::ConfigVersion startedIn;
    base::WallTime startedAt;
    base::OperatorId startedBy;
    base::WallTime shareSetAt; // since when its share is what it is; a new leader holds it no longer than the one before
    bool operator==(const RunningRollout&) const = default;
};

struct State {
    base::LogIndex applied; // last entry seen, whether it changed anything or not
    Snapshot snapshot; // in force; its version is that of the last entry that changed it
    std::map<std::string, TeamRecord> teams;
    std::map<base::ServiceName, base::UpstreamVersion> traffic; // who has it where no rollout runs
    std::map<base::ServiceName, base::UpstreamVersion> previousTraffic; // who had it until the last rollout that completed; keys are among those of traffic
    std::map<base::RolloutId, RunningRollout> running; // keys equal those of snapshot.rollouts
    std::map<base::OperatorId, OperatorRecord> operators;
    std::deque<VersionRecord> versions; // oldest first
    std::deque<RolloutRecord> ended; // oldest first
    DocumentRecord document; // its routes and services stand in the snapshot, beside those of the teams
};

const Snapshot& current(const State&);

// Whatever the command, the state stays closed (validate() holds). An `index` not above state.applied changes nothing.
Outcome apply(State&, base::LogIndex index, const Command&);
Outcome apply(State&, base::LogIndex index, std::string_view commandBytes); // MessageMalformed where they cannot be read

// The kept outcome, without a look at the log: for a replica that has caught up (read index). Null: none kept.
const StoredOutcome* findOutcome(const State&, const base::OperatorId&, base::RequestNumber);

const char* endName(RolloutEnd); // "completed", "taken back", "stopped"

// The state as bytes for the log's snapshots; compressed.
std::string encode(const State&);
base::Result<State> decodeState(std::string_view bytes);

} // namespace appletally::config
