// Generates snapshots from answers and validates snapshots.
#include "appletally/config/generate.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

namespace appletally::config {

using base::Code;
using base::fail;

namespace {

    // Low latency: 20 ms combines the changes of one operator's action, and is a fiftieth of the second within which all
    // reachable nodes must converge. Low traffic: half a second combines the changes of many restarts at once, and is
    // still small against the eleven seconds that the largest mesh may take.
    constexpr ControlTiming lowLatencyTiming { OptimizationGoal::SpeedAndRollback, base::Duration { 20 }, base::Duration { 200 } };
    constexpr ControlTiming lowTrafficTiming { OptimizationGoal::CompletionAndBytes, base::Duration { 500 }, base::Duration { 1000 } };

    Route makeRoute(const RouteAnswers& it, const base::ServiceName& service)
    {
        Route out;
        out.name = it.name;
        out.service = service;
        out.method = it.method;
        out.pathPrefix = it.pathPrefix;
        out.idempotent = it.idempotent;
        out.priority = it.priority;
        out.timeout = it.timeout;
        out.expected = it.expected;
        out.maxRequestBody = it.maxRequestBody;
        out.callers = it.callers;
        std::sort(out.callers.begin(), out.callers.end());
        return out;
    }

    Service makeService(const ServiceAnswers& it)
    {
        Service out;
        out.name = it.name;
        out.dependsOn = it.dependsOn;
        std::sort(out.dependsOn.begin(), out.dependsOn.end());
        out.slots = it.slots;
        out.maxConnections = it.maxConnections;
        out.retryBudget = it.retryBudget;
        out.coldWindow = it.coldWindow;
        out.coldRate = it.coldRate;
        out.repeatsRequestId = it.repeatsRequestId;
        if (!it.firstVersion.empty())
            out.versions = { { it.firstVersion, { 1000 } } };
        return out;
    }

    base::Result<void> checkService(const Snapshot& snapshot, const Service& service)
    {
        for (const base::ServiceName& it : service.dependsOn) {
            if (!snapshot.services.contains(it))
                return fail(Code::DanglingReference, "service " + service.name.text + " depends on " + it.text + ", which does not exist");
        }
        std::set<base::UpstreamVersion> seen;
        int32_t sum = 0;
        for (const VersionShare& it : service.versions) {
            const bool inRange = it.share.value >= 0 && it.share.value <= 1000;
            if (!inRange || it.version.empty() || !seen.insert(it.version).second)
                return fail(Code::AnswersInvalid, "service " + service.name.text + ": a share out of range or a version twice");
            sum += it.share.value;
        }
        if (!service.versions.empty() && sum != 1000)
            return fail(Code::AnswersInvalid, "service " + service.name.text + ": shares add up to " + std::to_string(sum) + ", not 1000");
        if (service.slots < 1 || service.maxConnections < 1)
            return fail(Code::AnswersInvalid, "service " + service.name.text + ": slots and connections start at 1");
        return base::success();
    }

    // Removes services without remaining dependencies until no service is left or only cycles are.
    base::Result<void> checkNoCycle(const Snapshot& snapshot)
    {
        std::map<base::ServiceName, size_t> open; // remaining dependencies
        std::map<base::ServiceName, std::vector<base::ServiceName>> dependents;
        std::vector<base::ServiceName> free;
        for (const auto& [name, service] : snapshot.services) {
            open[name] = service.dependsOn.size();
            for (const base::ServiceName& it : service.dependsOn)
                dependents[it].push_back(name);
            if (service.dependsOn.empty())
                free.push_back(name);
        }
        while (!free.empty()) {
            const base::ServiceName name = free.back();
            free.pop_back();
            open.erase(name);
            for (const base::ServiceName& it : dependents[name]) {
                if (--open[it] == 0)
                    free.push_back(it);
            }
        }
        if (!open.empty())
            return fail(Code::AnswersInvalid, "service " + open.begin()->first.text + " depends on itself through others");
        return base::success();
    }

    base::Result<void> checkRoutes(const Snapshot& snapshot)
    {
        // What each route matches. Views, because copying the strings of 300 routes takes a fifth of the time of a change.
        std::vector<std::tuple<std::string_view, std::string_view, std::string_view, const base::RouteName*>> matchKeys;
        matchKeys.reserve(snapshot.routes.size());
        for (const auto& [name, route] : snapshot.routes) {
            if (route.name != name)
                return fail(Code::AnswersInvalid, "route " + name.text + " is filed under another name");
            if (!snapshot.services.contains(route.service))
                return fail(Code::DanglingReference, "route " + name.text + " names service " + route.service.text + ", which does not exist");
            for (const RouteSplit& it : route.splits) {
                if (!snapshot.services.contains(it.service))
                    return fail(Code::DanglingReference, "route " + name.text + " sends a part to service " + it.service.text + ", which does not exist");
                if (it.weight < 0)
                    return fail(Code::AnswersInvalid, "route " + name.text + ": a weight below 0");
            }
            if (!route.pathPrefix.starts_with('/') || route.method.empty())
                return fail(Code::AnswersInvalid, "route " + name.text + ": no method or no path from '/'");
            matchKeys.emplace_back(route.host, route.method, route.pathPrefix, &name);
        }
        const auto keyOf = [](const auto& it) { return std::tie(std::get<0>(it), std::get<1>(it), std::get<2>(it)); };
        std::sort(matchKeys.begin(), matchKeys.end(), [&](const auto& a, const auto& b) { return keyOf(a) < keyOf(b); });
        const auto duplicate = std::adjacent_find(matchKeys.begin(), matchKeys.end(), [&](const auto& a, const auto& b) { return keyOf(a) == keyOf(b); });
        if (duplicate != matchKeys.end())
            return fail(Code::AnswersInvalid, "routes " + std::get<3>(*duplicate)->text + " and " + std::get<3>(*std::next(duplicate))->text + " are alike");
        return base::success();
    }

    base::Result<void> checkRollout(const Snapshot& snapshot, const Rollout& rollout)
    {
        const auto service = snapshot.services.find(rollout.service);
        if (service == snapshot.services.end())
            return fail(Code::DanglingReference, "rollout " + rollout.id.text + " names service " + rollout.service.text + ", which does not exist");
        const std::vector<VersionShare>& shares = service->second.versions;
        const auto has = [&](const base::UpstreamVersion& version, int32_t share) {
            return std::any_of(shares.begin(), shares.end(), [&](const VersionShare& it) { return it.version == version && it.share.value == share; });
        };
        if (!has(rollout.to, rollout.share.value) || !has(rollout.from, 1000 - rollout.share.value))
            return fail(Code::AnswersInvalid, "rollout " + rollout.id.text + " and the shares of " + rollout.service.text + " disagree");
        return base::success();
    }

    base::Result<void> checkRollouts(const Snapshot& snapshot)
    {
        std::set<base::ServiceName> services;
        for (const auto& [id, rollout] : snapshot.rollouts) {
            if (rollout.id != id)
                return fail(Code::AnswersInvalid, "rollout " + id.text + " is filed under another name");
            if (auto checked = checkRollout(snapshot, rollout); !checked)
                return checked;
            if (!services.insert(rollout.service).second)
                return fail(Code::AnswersInvalid, "two rollouts of service " + rollout.service.text);
        }
        return base::success();
    }

    // Processes with a different order of the members would request claims from different keepers, and a request could
    // run twice.
    base::Result<void> checkKeepers(const std::vector<Keeper>& members)
    {
        const auto outOfOrder = [](const Keeper& a, const Keeper& b) { return !(a.host < b.host); };
        if (std::adjacent_find(members.begin(), members.end(), outOfOrder) != members.end())
            return fail(Code::AnswersInvalid, "keepers are not sorted by host");
        return base::success();
    }

} // namespace

Snapshot generate(const Answers& answers)
{
    Snapshot out;
    out.timing = answers.goal == OptimizationGoal::SpeedAndRollback ? lowLatencyTiming : lowTrafficTiming;
    for (const ServiceAnswers& service : answers.services) {
        out.services[service.name] = makeService(service);
        for (const RouteAnswers& route : service.routes)
            out.routes[route.name] = makeRoute(route, service.name);
    }
    return out;
}

base::Result<Snapshot> generate(const AnswersOfTeams& teams)
{
    Snapshot out;
    out.timing = teams.empty() ? lowLatencyTiming : lowTrafficTiming;
    for (const auto& [team, answers] : teams) {
        Snapshot part = generate(answers);
        if (part.timing.batch < out.timing.batch)
            out.timing = part.timing;
        for (auto& [name, service] : part.services) {
            if (!out.services.emplace(name, service).second)
                return fail(Code::AnswersInvalid, team + ": service " + name.text + " belongs to another team");
        }
        for (auto& [name, route] : part.routes) {
            if (!out.routes.emplace(name, route).second)
                return fail(Code::AnswersInvalid, team + ": route " + name.text + " belongs to another team");
        }
    }
    return out;
}

base::Result<void> validate(const Snapshot& snapshot)
{
    for (const auto& [name, service] : snapshot.services) {
        if (service.name != name)
            return fail(Code::AnswersInvalid, "service " + name.text + " is filed under another name");
        if (auto checked = checkService(snapshot, service); !checked)
            return checked;
    }
    for (auto check : { checkNoCycle, checkRoutes, checkRollouts }) {
        if (auto checked = check(snapshot); !checked)
            return checked;
    }
    if (auto checked = checkKeepers(snapshot.keepers.members); !checked)
        return checked;
    return checkKeepers(snapshot.keepers.previous);
}

} // namespace appletally::config
