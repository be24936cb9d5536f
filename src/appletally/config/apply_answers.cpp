// Applies a team's answers: generates the configuration of all teams anew.
#include "appletally/config/state_change.h"

#include <algorithm>

namespace appletally::config {

using base::Code;

namespace {

    // A service's first version is only used while no version is known to have the traffic; later only rollouts move
    // traffic. A changed first version is refused then, because its author would expect traffic to move.
    base::Result<void> assignInitialTraffic(const State& state, const Answers& answers, const TeamRecord* before, Candidate& candidate)
    {
        for (const ServiceAnswers& it : answers.services) {
            const auto has = candidate.traffic.find(it.name);
            if (has == candidate.traffic.end() || has->second.empty()) {
                candidate.traffic[it.name] = it.firstVersion;
                continue;
            }
            const Answers* old = before ? &before->answers : nullptr;
            const bool wasSame = old && std::any_of(old->services.begin(), old->services.end(), [&](const ServiceAnswers& service) { return service.name == it.name && service.firstVersion == it.firstVersion; });
            if (!wasSame && !it.firstVersion.empty() && it.firstVersion != has->second)
                return base::fail(Code::AnswersInvalid, "service " + it.name.text + ": version " + has->second.text + " has the traffic; start a rollout to change that");
        }
        dropTrafficOfRemovedServices(candidate);
        for (const auto& [id, rollout] : state.snapshot.rollouts) {
            if (!candidate.snapshot.services.contains(rollout.service))
                return base::fail(Code::RolloutConflict, "service " + rollout.service.text + " has rollout " + id.text + " under way; stop it first");
        }
        return base::success();
    }

    // Adds the resources of the document to those generated from the teams' answers.
    base::Result<void> addDocumentResources(const State& state, Snapshot& generated)
    {
        for (const auto& [name, text] : state.document.texts.services) {
            if (!generated.services.emplace(name, state.snapshot.services.at(name)).second)
                return base::fail(Code::AnswersInvalid, "service " + name.text + " belongs to the document in force");
        }
        for (const auto& [name, text] : state.document.texts.routes) {
            if (!generated.routes.emplace(name, state.snapshot.routes.at(name)).second)
                return base::fail(Code::AnswersInvalid, "route " + name.text + " belongs to the document in force");
        }
        return base::success();
    }

    base::Result<Candidate> generateWith(const State& state, const Answers& answers, const TeamRecord* before)
    {
        AnswersOfTeams all;
        for (const auto& [name, team] : state.teams)
            all[name] = team.answers;
        all[answers.name] = answers;
        auto generated = generate(all);
        if (!generated)
            return generated.error();
        Candidate out = candidateFrom(state);
        if (auto kept = addDocumentResources(state, generated.value()); !kept)
            return kept.error();
        out.snapshot.services = std::move(generated.value().services);
        out.snapshot.routes = std::move(generated.value().routes);
        out.snapshot.timing = generated.value().timing;
        if (auto taken = assignInitialTraffic(state, answers, before, out); !taken)
            return taken.error();
        return out;
    }

    size_t bytesOfOthers(const State& state, const std::string& name)
    {
        size_t out = 0;
        for (const auto& [other, team] : state.teams)
            out += other == name ? 0 : team.bytes.size();
        return out;
    }

} // namespace

Outcome run(State& state, base::LogIndex index, const SubmitAnswers& command)
{
    auto answers = parseAnswers(command.answers, "answers");
    if (!answers)
        return refuse(state, answers.error().code, answers.error().text);
    const std::string name = answers.value().name;
    const auto before = state.teams.find(name);
    const TeamRecord* team = before == state.teams.end() ? nullptr : &before->second;
    if (team) {
        if (auto conflict = checkConflict(state, *team, command.request))
            return *conflict;
    }
    if (bytesOfOthers(state, name) + command.answers.size() > maxAnswersBytesOfAllTeams)
        return refuse(state, Code::AnswersInvalid, "the answers of all teams together take too many bytes");
    auto candidate = generateWith(state, answers.value(), team);
    if (!candidate)
        return refuse(state, candidate.error().code, candidate.error().text);
    Outcome out = commit(state, std::move(candidate.value()), { index, command.request.at, command.request.by.text, "answers of " + name });
    if (out.code != Code::Ok)
        return out;
    TeamRecord& record = state.teams[name];
    record.bytes = command.answers;
    record.answers = std::move(answers.value());
    markChanged(record, command.request, out.version);
    return out;
}

} // namespace appletally::config
