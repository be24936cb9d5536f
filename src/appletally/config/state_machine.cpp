// Applies commands. Each handler modifies a candidate, which is committed only after validate(), so that a refused
// command changes nothing but the table of outcomes.
#include "appletally/config/state_machine.h"

#include "appletally/config/codec.h"
#include "appletally/config/delta.h"
#include "appletally/config/outcomes.h"

#include <algorithm>

namespace appletally::config {

using base::Code;
using base::OperatorId;

namespace {

    const char* const controlAuthor = "control";

    // The parts of the state that a command may change.
    struct Candidate {
        Snapshot snapshot;
        std::map<base::ServiceName, base::UpstreamVersion> traffic;
        std::map<base::ServiceName, base::UpstreamVersion> previousTraffic;
    };

    Outcome refuse(const State& state, Code code, std::string text, OperatorId winner = {})
    {
        return { code, std::move(text), state.snapshot.version, {}, std::move(winner) };
    }

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

    void dropTrafficOfRemovedServices(Candidate& candidate)
    {
        const auto isGone = [&](const auto& it) { return !candidate.snapshot.services.contains(it.first); };
        std::erase_if(candidate.traffic, isGone);
        std::erase_if(candidate.previousTraffic, isGone);
    }

    Candidate candidateFrom(const State& state) { return { state.snapshot, state.traffic, state.previousTraffic }; }

    struct Change {
        base::LogIndex index;
        base::WallTime at;
        std::string by;
        std::string summary;
    };

    template <typename T>
    void trimHistory(std::deque<T>& history, size_t maxSize)
    {
        while (history.size() > maxSize)
            history.pop_front();
    }

    // The only function that changes the snapshot.
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

    // Of two operators who read the same version, the second would revert the first one's change without having seen it.
    std::optional<Outcome> checkConflict(const State& state, const TeamRecord& team, const OperatorRequest& request)
    {
        if (team.changedAt <= request.base)
            return {};
        const std::string text = "version " + std::to_string(team.changedAt.value) + " by " + team.changedBy.text + " (request " + std::to_string(team.changedNumber.value) + ") came first";
        return refuse(state, Code::VersionConflict, text, team.changedBy);
    }

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

    // Empty: the rollout may start.
    std::optional<Outcome> checkStart(const State& state, const TeamRecord* team, const StartRollout& command)
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

    Outcome endRollout(State& state, base::LogIndex index, const base::RolloutId& id, const Ending& ending)
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
    std::optional<Outcome> checkRuns(const State& state, const base::RolloutId& id)
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
        if (out.code == Code::Ok)
            markChanged(*teamOf(state, service), command.request, out.version);
        return out;
    }

    std::optional<Outcome> checkShare(const State& state, const base::RolloutId& id, base::PerMille from)
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

    // --- Documents ---

    // Inserts new and changed parts and erases removed ones. False: a name belongs to a team's answers.
    template <typename Name, typename Value>
    bool replaceParts(const std::map<Name, std::string>& owned, std::map<Name, Value>& parts, const std::vector<Name>& removed, const std::vector<Value>& changed)
    {
        for (const Name& it : removed) {
            if (owned.contains(it))
                parts.erase(it);
        }
        for (const Value& it : changed) {
            if (parts.contains(it.name) && !owned.contains(it.name))
                return false;
            parts[it.name] = it;
        }
        return true;
    }

    // Empty: the document may be applied.
    std::optional<Outcome> checkDocument(const State& state, const DocumentId& id)
    {
        if (wasAccepted(state.document, id))
            return Outcome { Code::Ok, "already accepted", state.snapshot.version, {}, {} };
        const DocumentNumber current = state.document.current.number;
        if (id.base != current)
            return refuse(state, Code::VersionConflict, "the current document is " + std::to_string(current.value) + ", not " + std::to_string(id.base.value));
        if (id.number <= current)
            return refuse(state, Code::AnswersInvalid, "document " + std::to_string(id.number.value) + " is not above " + std::to_string(current.value) + ", the current one");
        return {};
    }

    template <typename Name, typename Part>
    void updateTexts(std::map<Name, std::string>& texts, const std::vector<Name>& removed, const std::vector<Part>& changed, const Name& (*nameOf)(const Part&))
    {
        for (const Name& it : removed)
            texts.erase(it);
        for (const Part& it : changed)
            texts[nameOf(it)] = it.text;
    }

    void updateDocumentRecord(DocumentRecord& record, const SubmitDocument& command)
    {
        const DocumentChange& change = command.change;
        updateTexts<base::RouteName, DocumentRoute>(record.texts.routes, change.removedRoutes, change.routes, [](const DocumentRoute& it) -> const base::RouteName& { return it.route.name; });
        updateTexts<base::ServiceName, DocumentService>(record.texts.services, change.removedServices, change.services, [](const DocumentService& it) -> const base::ServiceName& { return it.service.name; });
        record.texts.others = change.others;
        record.current = command.id;
        record.accepted.push_back(command.id);
        trimHistory(record.accepted, maxDocumentIds);
    }

    // Rollouts of services that a document removes have no traffic to move any more.
    void recordOrphanedRollouts(State& state, const Outcome& out, const std::vector<base::RolloutId>& ids, base::WallTime at)
    {
        for (const base::RolloutId& id : ids) {
            const RunningRollout& run = state.running.at(id);
            Rollout ended;
            ended.id = id;
            state.ended.push_back({ ended, RolloutEnd::Stopped, "document", "its service was taken out", run.startedIn, out.version, run.startedAt, at });
            trimHistory(state.ended, maxRolloutRecords);
            state.running.erase(id);
        }
    }

    Outcome run(State& state, base::LogIndex index, const SubmitDocument& command)
    {
        if (auto decided = checkDocument(state, command.id))
            return *decided;
        Candidate candidate = candidateFrom(state);
        std::vector<Route> routes;
        for (const DocumentRoute& it : command.change.routes)
            routes.push_back(it.route);
        std::vector<Service> services;
        for (const DocumentService& it : command.change.services)
            services.push_back(it.service);
        const DocumentTexts& owned = state.document.texts;
        if (!replaceParts(owned.routes, candidate.snapshot.routes, command.change.removedRoutes, routes) || !replaceParts(owned.services, candidate.snapshot.services, command.change.removedServices, services))
            return refuse(state, Code::AnswersInvalid, "a name of the document belongs to a team's answers");
        candidate.snapshot.callerLimits = command.change.limits;
        std::vector<base::RolloutId> orphaned;
        for (const auto& [id, rollout] : state.snapshot.rollouts) {
            if (!candidate.snapshot.services.contains(rollout.service))
                orphaned.push_back(id);
        }
        for (const base::RolloutId& id : orphaned)
            candidate.snapshot.rollouts.erase(id);
        dropTrafficOfRemovedServices(candidate);
        Outcome out = commit(state, std::move(candidate), { index, command.at, "document", "document " + std::to_string(command.id.number.value) });
        if (out.code != Code::Ok)
            return out;
        recordOrphanedRollouts(state, out, orphaned, command.at);
        updateDocumentRecord(state.document, command);
        return out;
    }

    // A rollout to the same version that is running, or ended so recently that its request may still be resent.
    const base::RolloutId* findSameMove(const State& state, const MoveTraffic& command)
    {
        for (const auto& [id, rollout] : state.snapshot.rollouts) {
            if (rollout.service == command.service && rollout.to == command.to)
                return &id;
        }
        constexpr base::Duration maxResendDelay { 10'000 }; // requests with lost answers are resent for a few seconds
        for (auto it = state.ended.rbegin(); it != state.ended.rend(); ++it) {
            if (it->rollout.service == command.service)
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
        Outcome out = commit(state, std::move(candidate), { index, command.at, "operator", "rollout " + id.text + " started" });
        if (out.code != Code::Ok)
            return out;
        out.rollout = id;
        state.running[id] = { out.version, command.at, { "operator" }, command.at };
        return out;
    }

    Outcome runRequest(State& state, base::LogIndex index, const Command& command, const OperatorRequest& request)
    {
        if (!nameIsValid(request.by.text) || request.number.value == 0)
            return refuse(state, Code::AnswersInvalid, "an operator needs a name, and numbers start at 1");
        const uint64_t hash = requestHash(command);
        if (auto answer = findStoredAnswer(state, request, hash))
            return *answer;
        const bool isStop = std::holds_alternative<StopRollout>(command);
        std::optional<Outcome> out = isStop ? std::nullopt : checkBase(state, request);
        if (!out)
            out = std::visit([&](const auto& it) { return run(state, index, it); }, command);
        out->text = sanitizedText(out->text);
        storeOutcome(state, request, hash, *out);
        return *out;
    }

} // namespace

const Snapshot& current(const State& state) { return state.snapshot; }

Outcome apply(State& state, base::LogIndex index, const Command& command)
{
    if (index <= state.applied)
        return refuse(state, Code::VersionTooOld, "entry " + std::to_string(index.value) + " was applied before");
    state.applied = index;
    if (const OperatorRequest* request = requestOf(command))
        return runRequest(state, index, command, *request);
    return std::visit([&](const auto& it) { return run(state, index, it); }, command);
}

Outcome apply(State& state, base::LogIndex index, std::string_view commandBytes)
{
    auto command = decodeCommand(commandBytes);
    if (command)
        return apply(state, index, command.value());
    state.applied = std::max(state.applied, index);
    return refuse(state, command.error().code, command.error().text);
}

const char* endName(RolloutEnd it)
{
    static const char* const names[] = { "completed", "taken back", "stopped" };
    return names[static_cast<size_t>(it)];
}

} // namespace appletally::config
