// Turns rollout steps into commands; see the header.
#include "appletally/control/rollout_runner.h"

#include <algorithm>

namespace appletally::control {

void syncRunning(RolloutRunner& runner, const config::State& state, const std::vector<config::Evidence>& known)
{
    std::erase_if(runner.running, [&](const auto& entry) { return !state.running.contains(entry.first); });
    for (const auto& [id, it] : state.running) {
        if (runner.running.contains(id))
            continue;
        runner.running.emplace(id, policy::startRollout(policy::rolloutSettings(state.snapshot.timing.goal), { it.startedAt, it.shareSetAt }));
        onEvidence(runner, state, known);
    }
}

void onEvidence(RolloutRunner& runner, const config::State& state, const std::vector<config::Evidence>& evidence)
{
    for (auto& [id, rollout] : runner.running) {
        auto plan = state.snapshot.rollouts.find(id);
        if (plan == state.snapshot.rollouts.end())
            continue;
        for (const config::Evidence& it : evidence) {
            if (it.service == plan->second.service)
                policy::onEvidence(rollout, it);
        }
    }
}

static std::optional<config::Command> toCommand(const config::Rollout& plan, const policy::RolloutDecision& step)
{
    switch (step.action) {
    case policy::RolloutAction::Keep:
        return std::nullopt;
    case policy::RolloutAction::Raise:
        return config::SetShare { plan.id, plan.share, step.share, step.reason, {} };
    case policy::RolloutAction::RollBack:
        return config::RollBackRollout { plan.id, plan.share, step.reason, {} };
    case policy::RolloutAction::Complete:
        return config::CompleteRollout { plan.id, plan.share, step.reason, {} };
    }
    return std::nullopt;
}

static policy::VersionUpstreams upstreamsOf(const config::Rollout& plan, const config::EndpointRegistry& endpoints)
{
    config::ReadyByVersion ready = config::readyUpstreams(endpoints, plan.service);
    return { ready[plan.to], ready[plan.from] };
}

std::vector<config::Command> stepRollouts(RolloutRunner& runner, const config::State& state, const config::EndpointRegistry& endpoints, base::WallTime now)
{
    std::vector<config::Command> out;
    for (auto& [id, rollout] : runner.running) {
        auto plan = state.snapshot.rollouts.find(id);
        if (plan == state.snapshot.rollouts.end())
            continue;
        if (auto command = toCommand(plan->second, policy::decideRollout(rollout, plan->second, upstreamsOf(plan->second, endpoints), now, true)))
            out.push_back(std::move(*command));
    }
    // Rollbacks go first, because callers of a bad version keep failing until then.
    std::stable_partition(out.begin(), out.end(), [](const config::Command& it) { return std::holds_alternative<config::RollBackRollout>(it); });
    return out;
}

} // namespace appletally::control
