// Applies changes of the keeper set.
#include "appletally/config/state_change.h"

namespace appletally::config {

using base::Code;

Outcome run(State& state, base::LogIndex index, const SetKeepers& command)
{
    const KeeperSet& has = state.snapshot.keepers;
    if (has.number != command.from || !has.previous.empty())
        return refuse(state, Code::VersionConflict, "keeper set " + std::to_string(has.number.value) + (has.previous.empty() ? " is agreed" : " is not finished yet"));
    if (command.members.empty())
        return refuse(state, Code::AnswersInvalid, "a keeper set needs members");
    Candidate candidate = candidateFrom(state);
    candidate.snapshot.keepers = { { has.number.value + 1 }, command.members, has.members };
    return commit(state, std::move(candidate), { index, command.at, controlAuthor, "keeper set " + std::to_string(has.number.value + 1) });
}

Outcome run(State& state, base::LogIndex index, const FinishKeeperChange& command)
{
    const KeeperSet& has = state.snapshot.keepers;
    if (has.number != command.number || has.previous.empty())
        return refuse(state, Code::VersionConflict, "keeper set " + std::to_string(has.number.value) + " has no change to finish");
    Candidate candidate = candidateFrom(state);
    candidate.snapshot.keepers.previous.clear();
    return commit(state, std::move(candidate), { index, command.at, controlAuthor, "keeper set " + std::to_string(has.number.value) + " alone" });
}

} // namespace appletally::config
