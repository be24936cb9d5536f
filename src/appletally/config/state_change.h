// What the handlers of commands share: a candidate for the next state, and its commit. Internal to config/.
//
// Each handler modifies a candidate, which is committed only after validate(), so that a refused command changes nothing
// but the table of outcomes.
#pragma once

#include "appletally/config/state_machine.h"

namespace appletally::config {

inline const char* const controlAuthor = "control"; // of changes that no operator ordered
inline const char* const documentAuthor = "document"; // of changes by a whole document
inline const char* const unnamedOperator = "operator"; // an operator that does not number its requests

// The parts of the state that a command may change.
struct Candidate {
    Snapshot snapshot;
    std::map<base::ServiceName, base::UpstreamVersion> traffic;
    std::map<base::ServiceName, base::UpstreamVersion> previousTraffic;
};

Candidate candidateFrom(const State&);
void dropTrafficOfRemovedServices(Candidate&);

// For the history of versions.
struct Change {
    base::LogIndex index;
    base::WallTime at;
    std::string by;
    std::string summary;
};

Outcome commit(State&, Candidate, const Change&); // the only function that changes the snapshot
Outcome refuse(const State&, base::Code, std::string text, base::OperatorId winner = {});

TeamRecord* teamOf(State&, const base::ServiceName&); // null: no team has the service
const ServiceAnswers& answersOf(const TeamRecord&, const base::ServiceName&);
void markChanged(TeamRecord&, const OperatorRequest&, base::ConfigVersion);

// Of two operators who read the same version, the second would revert the first one's change without having seen it.
std::optional<Outcome> checkConflict(const State&, const TeamRecord&, const OperatorRequest&);

template <typename T>
void trimHistory(std::deque<T>& history, size_t maxSize)
{
    while (history.size() > maxSize)
        history.pop_front();
}

// One handler for each command; apply() selects it.
Outcome run(State&, base::LogIndex, const SubmitAnswers&); // apply_answers.cpp
Outcome run(State&, base::LogIndex, const SubmitDocument&); // apply_document.cpp
Outcome run(State&, base::LogIndex, const EvacuateZone&); // apply_evacuation.cpp
Outcome run(State&, base::LogIndex, const SetZoneEvacuated&);
Outcome run(State&, base::LogIndex, const SetKeepers&); // apply_keepers.cpp
Outcome run(State&, base::LogIndex, const FinishKeeperChange&);
Outcome run(State&, base::LogIndex, const StartRollout&); // apply_rollout.cpp
Outcome run(State&, base::LogIndex, const StopRollout&);
Outcome run(State&, base::LogIndex, const SetShare&);
Outcome run(State&, base::LogIndex, const RollBackRollout&);
Outcome run(State&, base::LogIndex, const CompleteRollout&);
Outcome run(State&, base::LogIndex, const MoveTraffic&);

} // namespace appletally::config
