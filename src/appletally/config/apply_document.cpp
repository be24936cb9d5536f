// Applies a whole document as its difference from the current one.
#include "appletally/config/state_change.h"

namespace appletally::config {

using base::Code;

namespace {

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
    void recordOrphanedRollouts(State& state, const Outcome& out, const std::vector<Rollout>& orphaned, base::WallTime at)
    {
        for (const Rollout& it : orphaned) {
            const RunningRollout& run = state.running.at(it.id);
            state.ended.push_back({ it, RolloutEnd::Stopped, documentAuthor, "its service was taken out", run.startedIn, out.version, run.startedAt, at });
            trimHistory(state.ended, maxRolloutRecords);
            state.running.erase(it.id);
        }
    }

} // namespace

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
    std::vector<Rollout> orphaned;
    for (const auto& [id, rollout] : state.snapshot.rollouts) {
        if (!candidate.snapshot.services.contains(rollout.service))
            orphaned.push_back(rollout);
    }
    for (const Rollout& it : orphaned)
        candidate.snapshot.rollouts.erase(it.id);
    dropTrafficOfRemovedServices(candidate);
    Outcome out = commit(state, std::move(candidate), { index, command.at, documentAuthor, "document " + std::to_string(command.id.number.value) });
    if (out.code != Code::Ok)
        return out;
    recordOrphanedRollouts(state, out, orphaned, command.at);
    updateDocumentRecord(state.document, command);
    return out;
}

} // namespace appletally::config
