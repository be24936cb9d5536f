// Commits candidates; finds the team that a service belongs to.
#include "appletally/config/state_change.h"

#include "appletally/config/codec.h"
#include "appletally/config/delta.h"

#include <algorithm>

namespace appletally::config {

using base::Code;

namespace {

    // Sets the shares and the fallback version of each service from its rollout, or without one from its traffic entries.
    void applyShares(Candidate& candidate)
    {
        for (auto& [name, service] : candidate.snapshot.services) {
            const auto it = candidate.traffic.find(name);
            service.versions.clear();
            if (it != candidate.traffic.end() && !it->second.empty())
                service.versions = { { it->second, { 1000 } } };
            const auto before = candidate.previousTraffic.find(name);
            service.fallbackVersion = before != candidate.previousTraffic.end() ? before->second : base::UpstreamVersion {};
        }
        for (const auto& [id, rollout] : candidate.snapshot.rollouts) {
            const auto it = candidate.snapshot.services.find(rollout.service);
            if (it == candidate.snapshot.services.end())
                continue;
            it->second.versions = { { rollout.from, { 1000 - rollout.share.value } }, { rollout.to, rollout.share } };
            it->second.fallbackVersion = rollout.from;
        }
    }

} // namespace

Outcome refuse(const State& state, Code code, std::string text, base::OperatorId winner)
{
    return { code, std::move(text), state.snapshot.version, {}, std::move(winner) };
}

void dropTrafficOfRemovedServices(Candidate& candidate)
{
    const auto isGone = [&](const auto& it) { return !candidate.snapshot.services.contains(it.first); };
    std::erase_if(candidate.traffic, isGone);
    std::erase_if(candidate.previousTraffic, isGone);
}

Candidate candidateFrom(const State& state) { return { state.snapshot, state.traffic, state.previousTraffic }; }

Outcome commit(State& state, Candidate candidate, const Change& change)
{
    applyShares(candidate);
    if (auto checked = validate(candidate.snapshot); !checked)
        return refuse(state, checked.error().code, checked.error().text);
    std::vector<std::string> lines = describeDifference(state.snapshot, candidate.snapshot, maxDifferences);
    for (std::string& line : lines)
        line.resize(std::min(line.size(), maxDifferenceBytes));
    candidate.snapshot.sum = sumAfter(state.snapshot, candidate.snapshot);
    candidate.snapshot.version = { change.index.value };
    state.snapshot = std::move(candidate.snapshot);
    state.traffic = std::move(candidate.traffic);
    state.previousTraffic = std::move(candidate.previousTraffic);
    state.versions.push_back({ state.snapshot.version, change.at, change.by, change.summary, std::move(lines) });
    trimHistory(state.versions, maxVersionRecords);
    return { Code::Ok, "", state.snapshot.version, {}, {} };
}

TeamRecord* teamOf(State& state, const base::ServiceName& service)
{
    for (auto& [name, team] : state.teams) {
        const auto& services = team.answers.services;
        if (std::any_of(services.begin(), services.end(), [&](const ServiceAnswers& it) { return it.name == service; }))
            return &team;
    }
    return nullptr;
}

const ServiceAnswers& answersOf(const TeamRecord& team, const base::ServiceName& service)
{
    const auto& services = team.answers.services;
    return *std::find_if(services.begin(), services.end(), [&](const ServiceAnswers& it) { return it.name == service; });
}

void markChanged(TeamRecord& team, const OperatorRequest& request, base::ConfigVersion version)
{
    team.changedAt = version;
    team.changedBy = request.by;
    team.changedNumber = request.number;
}

std::optional<Outcome> checkConflict(const State& state, const TeamRecord& team, const OperatorRequest& request)
{
    if (team.changedAt <= request.base)
        return {};
    const std::string text = "version " + std::to_string(team.changedAt.value) + " by " + team.changedBy.text + " (request " + std::to_string(team.changedNumber.value) + ") came first";
    return refuse(state, Code::VersionConflict, text, team.changedBy);
}

} // namespace appletally::config
