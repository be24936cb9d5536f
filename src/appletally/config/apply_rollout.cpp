// Applies the start, the shares and the end of a rollout.
#include "appletally/config/state_change.h"

#include <algorithm>

namespace appletally::config {

using base::Code;

// Empty: the rollout may start.
static std::optional<Outcome> checkStart(const State& state, const TeamRecord* team, const StartRollout& command)
{
    if (!team)
        return refuse(state, Code::DanglingReference, "service " + command.service.text + " does not exist");
    if (auto conflict = checkConflict(state, *team, command.request))
        return conflict;
    for (const auto& [id, rollout] : state.snapshot.rollouts) {
        if (rollout.service == command.service)
            return refuse(state, Code::RolloutConflict, "rollout " + id.text + " is under way", state.running.at(id).startedBy);
    }
    const base::UpstreamVersion& has = state.traffic.at(command.service);
    if (has.empty() && command.from.empty())
        return refuse(state, Code::AnswersInvalid, "no version of " + command.service.text + " is known to have the traffic; name it");
    if (!has.empty() && !command.from.empty() && has != command.from)
        return refuse(state, Code::RolloutConflict, "version " + has.text + " has the traffic, not " + command.from.text);
    const base::UpstreamVersion& from = has.empty() ? command.from : has;
    if (!nameIsValid(command.to.text) || !nameIsValid(from.text) || command.to == from)
        return refuse(state, Code::AnswersInvalid, "the new version needs a name of its own");
    if (command.completeBy <= command.request.at)
        return refuse(state, Code::AnswersInvalid, "complete_by has passed");
    return {};
}

Outcome run(State& state, base::LogIndex index, const StartRollout& command)
{
    TeamRecord* team = teamOf(state, command.service);
    if (auto refused = checkStart(state, team, command))
        return *refused;
    const NewVersionAnswers& wanted = answersOf(*team, command.service).newVersions;
    Candidate candidate = candidateFrom(state);
    base::UpstreamVersion& from = candidate.traffic[command.service];
    if (from.empty())
        from = command.from;
    const base::RolloutId id { command.service.text + "-" + std::to_string(index.value) };
    candidate.snapshot.rollouts[id] = { id, command.service, from, command.to, { 0 }, wanted.maxTrialShare, command.completeBy, wanted.thresholds };
    Outcome out = commit(state, std::move(candidate), { index, command.request.at, command.request.by.text, "rollout " + id.text + " started" });
    if (out.code != Code::Ok)
        return out;
    out.rollout = id;
    state.running[id] = { out.version, command.request.at, command.request.by, command.request.at };
    markChanged(*team, command.request, out.version);
    return out;
}

// How a rollout ends: all traffic goes to `to` if it completed, otherwise back to `from`.
struct Ending {
    RolloutEnd end;
    std::string by;
    std::string reason;
    base::WallTime at;
};

static Outcome endRollout(State& state, base::LogIndex index, const base::RolloutId& id, const Ending& ending)
{
    const Rollout rollout = state.snapshot.rollouts.at(id);
    Candidate candidate = candidateFrom(state);
    candidate.snapshot.rollouts.erase(id);
    candidate.traffic[rollout.service] = ending.end == RolloutEnd::Completed ? rollout.to : rollout.from;
    if (ending.end == RolloutEnd::Completed)
        candidate.previousTraffic[rollout.service] = rollout.from;
    Outcome out = commit(state, std::move(candidate), { index, ending.at, ending.by, "rollout " + id.text + " " + endName(ending.end) });
    if (out.code != Code::Ok)
        return out;
    const RunningRollout& run = state.running.at(id);
    Rollout ended = rollout;
    if (ending.end == RolloutEnd::Completed)
        ended.share = { 1000 };
    state.ended.push_back({ ended, ending.end, ending.by, ending.reason, run.startedIn, out.version, run.startedAt, ending.at });
    trimHistory(state.ended, maxRolloutRecords);
    state.running.erase(id);
    out.rollout = id;
    return out;
}

// Empty: the rollout is running.
static std::optional<Outcome> checkRuns(const State& state, const base::RolloutId& id)
{
    if (state.snapshot.rollouts.contains(id))
        return {};
    const auto it = std::find_if(state.ended.begin(), state.ended.end(), [&](const RolloutRecord& record) { return record.rollout.id == id; });
    if (it == state.ended.end())
        return refuse(state, Code::RolloutUnknown, "no rollout " + id.text);
    return refuse(state, Code::RolloutUnknown, "rollout " + id.text + " was " + endName(it->end) + " in version " + std::to_string(it->endedIn.value));
}

// The base version is not checked: a stop is valid whatever else has changed in the meantime.
Outcome run(State& state, base::LogIndex index, const StopRollout& command)
{
    if (auto refused = checkRuns(state, command.rollout))
        return *refused;
    const base::ServiceName service = state.snapshot.rollouts.at(command.rollout).service;
    Outcome out = endRollout(state, index, command.rollout, { RolloutEnd::Stopped, command.request.by.text, command.reason, command.request.at });
    TeamRecord* team = teamOf(state, service); // none: the service belongs to a document
    if (out.code == Code::Ok && team)
        markChanged(*team, command.request, out.version);
    return out;
}

static std::optional<Outcome> checkShare(const State& state, const base::RolloutId& id, base::PerMille from)
{
    if (auto refused = checkRuns(state, id))
        return refused;
    const base::PerMille has = state.snapshot.rollouts.at(id).share;
    if (has == from)
        return {};
    return refuse(state, Code::RolloutConflict, "rollout " + id.text + " is at " + std::to_string(has.value) + ", not at " + std::to_string(from.value));
}

Outcome run(State& state, base::LogIndex index, const SetShare& command)
{
    if (auto refused = checkShare(state, command.rollout, command.from))
        return *refused;
    if (command.to == command.from)
        return { Code::Ok, "nothing changes", state.snapshot.version, command.rollout, {} };
    Candidate candidate = candidateFrom(state);
    candidate.snapshot.rollouts.at(command.rollout).share = command.to;
    const std::string summary = "rollout " + command.rollout.text + " at " + std::to_string(command.to.value) + " per mille" + (command.reason.empty() ? "" : ": " + command.reason);
    Outcome out = commit(state, std::move(candidate), { index, command.at, controlAuthor, summary });
    if (out.code == Code::Ok)
        state.running.at(command.rollout).shareSetAt = command.at;
    out.rollout = command.rollout;
    return out;
}

Outcome run(State& state, base::LogIndex index, const RollBackRollout& command)
{
    if (auto refused = checkRuns(state, command.rollout))
        return *refused;
    return endRollout(state, index, command.rollout, { RolloutEnd::RolledBack, controlAuthor, command.reason, command.at });
}

Outcome run(State& state, base::LogIndex index, const CompleteRollout& command)
{
    if (auto refused = checkShare(state, command.rollout, command.from))
        return *refused;
    return endRollout(state, index, command.rollout, { RolloutEnd::Completed, controlAuthor, command.reason, command.at });
}

// The service was taken out and put in again since: a request for the same version is a new one.
static bool endedWithItsService(const RolloutRecord& it) { return it.end == RolloutEnd::Stopped && it.by == documentAuthor; }

// A rollout to the same version that is running, or ended so recently that its request may still be resent.
static const base::RolloutId* findSameMove(const State& state, const MoveTraffic& command)
{
    for (const auto& [id, rollout] : state.snapshot.rollouts) {
        if (rollout.service == command.service && rollout.to == command.to)
            return &id;
    }
    constexpr base::Duration maxResendDelay { 10'000 }; // requests with lost answers are resent for a few seconds
    for (auto it = state.ended.rbegin(); it != state.ended.rend(); ++it) {
        if (it->rollout.service == command.service && !endedWithItsService(*it))
            return it->rollout.to == command.to && command.at - it->startedAt < command.within + maxResendDelay ? &it->rollout.id : nullptr;
    }
    return nullptr;
}

Outcome run(State& state, base::LogIndex index, const MoveTraffic& command)
{
    if (!state.snapshot.services.contains(command.service))
        return refuse(state, Code::DanglingReference, "service " + command.service.text + " does not exist");
    if (const base::RolloutId* same = findSameMove(state, command))
        return { Code::Ok, "already requested", state.snapshot.version, *same, {} };
    for (const auto& [id, rollout] : state.snapshot.rollouts) {
        if (rollout.service == command.service)
            return refuse(state, Code::RolloutConflict, "rollout " + id.text + " is under way");
    }
    Candidate candidate = candidateFrom(state);
    base::UpstreamVersion& from = candidate.traffic[command.service];
    if (from.empty() || from == command.to)
        from = command.from;
    if (from == command.to)
        return refuse(state, Code::RolloutConflict, "version " + command.to.text + " has the traffic already");
    const base::RolloutId id { command.service.text + "-" + std::to_string(index.value) };
    Rollout rollout { id, command.service, from, command.to, { 0 }, Rollout {}.maxTrialShare, { command.at.ms + command.within.ms }, {} };
    candidate.snapshot.rollouts[id] = rollout;
    Outcome out = commit(state, std::move(candidate), { index, command.at, unnamedOperator, "rollout " + id.text + " started" });
    if (out.code != Code::Ok)
        return out;
    out.rollout = id;
    state.running[id] = { out.version, command.at, { unnamedOperator }, command.at };
    return out;
}

const char* endName(RolloutEnd it)
{
    static const char* const names[] = { "completed", "taken back", "stopped" };
    return names[static_cast<size_t>(it)];
}

} // namespace appletally::config
