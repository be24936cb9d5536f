// Operators' changes and reads.
//
// A change must not be applied twice because its answer was lost: each operator request has a number, its first outcome
// is part of the replicated state, and any voter that has applied it answers a resend from there. A follower forwards
// new requests to the leader.
#include "appletally/base/log.h"
#include "appletally/config/codec.h"
#include "appletally/control/process.h"

namespace appletally::control {

namespace {

    // About the duration of an election; an operator's tool waits this long before it retries.
    constexpr base::Duration electionRetryDelay { 200 };

    ChangeResult failedChange(base::Error problem) { return { std::move(problem), {}, {} }; }

    ChangeResult fromOutcome(const config::Outcome& outcome)
    {
        ChangeResult out { { outcome.code, outcome.text, {} }, outcome.version, outcome.rollout.text };
        if (!outcome.winner.empty() && outcome.text.find(outcome.winner.text) == std::string::npos)
            out.failure.text += " (" + outcome.winner.text + " changed it first)";
        return out;
    }

    void setTime(config::Command& command, base::WallTime now)
    {
        std::visit(
            [now](auto& it) {
                if constexpr (requires { it.request.at; })
                    it.request.at = now;
                else
                    it.at = now;
            },
            command);
    }

} // namespace

kj::Promise<ChangeResult> ControlProcess::submitChange(const std::string& bytes, bool forwarded)
{
    if (!m_replica)
        return failedChange(base::fail(base::Code::NotLeader, "this process is a relay; send the request to a voter", electionRetryDelay));
    auto command = config::decodeCommand(bytes);
    if (!command)
        return failedChange(command.error());
    const config::OperatorRequest* request = config::requestOf(command.value());
    if (!request)
        return failedChange(base::fail(base::Code::MessageMalformed, "the command is not an operator's change"));
    const config::StoredOutcome* kept = config::findOutcome(m_state, request->by, request->number);
    if (kept && kept->hash == config::requestHash(command.value()))
        return fromOutcome(kept->outcome);
    if (!m_leading && forwarded)
        return failedChange(base::fail(base::Code::NotLeader, "this process is not the leader", electionRetryDelay));
    if (const auto* evacuation = std::get_if<config::EvacuateZone>(&command.value()); evacuation && !isKnownZone(evacuation->zone))
        return failedChange(base::fail(base::Code::AnswersInvalid, "no availability zone " + evacuation->zone.text));
    ++m_pendingChanges;
    return (m_leading ? proposeChange(std::move(command.value())) : forwardToLeader(bytes)).attach(kj::defer([this] { --m_pendingChanges; }));
}

kj::Promise<ChangeResult> ControlProcess::proposeChange(config::Command command)
{
    setTime(command, leaderTime());
    return m_replica->propose(config::encode(command)).then([this](base::Result<base::LogIndex> index) {
        return index ? outcomeAt(index.value()) : failedChange(index.error());
    });
}

ChangeResult ControlProcess::outcomeAt(base::LogIndex index)
{
    auto it = m_outcomes.find(index);
    if (it == m_outcomes.end())
        return failedChange(base::fail(base::Code::OutcomePending, "committed, but its outcome is not in memory; resend"));
    return fromOutcome(it->second);
}

kj::Promise<ChangeResult> ControlProcess::forwardToLeader(const std::string& command)
{
    for (const auto& it : m_peers) {
        if (!it->up() || it->replica() != m_replica->replica().leader || it->replica().value == 0)
            continue;
        // It is unknown whether the leader proposed the change before the link ended; a resend gets the outcome.
        return it->forward(command).catch_([](kj::Exception&& problem) {
            return failedChange(base::fail(base::Code::OutcomePending, "the link to the leader ended: " + inner::describe(problem), electionRetryDelay));
        });
    }
    return failedChange(base::fail(base::Code::NoQuorum, "no leader is known", electionRetryDelay));
}

bool ControlProcess::proposeInternal(const config::Command& command)
{
    if (!m_leading || m_internalProposalPending)
        return false;
    m_internalProposalPending = true;
    config::Command stamped = command;
    setTime(stamped, leaderTime());
    m_tasks->add(m_replica->propose(config::encode(stamped)).then([this](const base::Result<base::LogIndex>&) { m_internalProposalPending = false; }));
    return true;
}

kj::Promise<base::Result<void>> ControlProcess::replaceVoter(base::ReplicaId old, base::ReplicaId fresh)
{
    using Answer = base::Result<void>;
    if (!m_replica || !m_leading)
        return Answer(base::fail(base::Code::NotLeader, "only the leader handles this request", electionRetryDelay));
    if (!consensus::findMember(consensus::latestMembers(m_replica->replica()), old))
        return Answer(base::fail(base::Code::SettingsOutOfRange, "no member " + std::to_string(old.value)));
    for (const auto& it : m_peers) {
        if (it->replica() != fresh || fresh.value == 0)
            continue;
        const consensus::Member member { fresh, it->host(), consensus::Role::Joining, old };
        return m_replica->addMembers({ member }).then([](base::Result<base::LogIndex> index) -> Answer {
            if (!index)
                return index.error();
            return base::success();
        });
    }
    return Answer(base::fail(base::Code::PeerGone, "no linked control process has replica id " + std::to_string(fresh.value)));
}

// --- Reading ---

static nlohmann::json versionsJson(const config::State& state)
{
    nlohmann::json out = nlohmann::json::array();
    for (const config::VersionRecord& it : state.versions)
        out.push_back({ { "version", it.version.value }, { "at_ms", it.at.ms }, { "by", it.by }, { "what", it.summary }, { "differences", it.differences } });
    return out;
}

static nlohmann::json rolloutsJson(const config::State& state)
{
    nlohmann::json out = nlohmann::json::array();
    for (const config::RolloutRecord& it : state.ended)
        out.push_back({ { "rollout", config::toJson(it.rollout) }, { "state", config::endName(it.end) }, { "by", it.by }, { "why", it.reason },
            { "started_at_ms", it.startedAt.ms }, { "ended_at_ms", it.endedAt.ms }, { "ended_in", it.endedIn.value } });
    for (const auto& [id, it] : state.snapshot.rollouts)
        out.push_back({ { "rollout", config::toJson(it) }, { "state", "running" }, { "started_at_ms", state.running.at(id).startedAt.ms } });
    return out;
}

kj::Promise<base::Result<std::string>> ControlProcess::read(const std::string& what)
{
    constexpr std::string_view current = "current ";
    if (what.starts_with(current))
        return readLinearizable(what.substr(current.size()));
    return readLocal(what);
}

// Linearizable read: the result includes every change accepted before the call, because only the leader answers, after a
// majority has confirmed it. From a replica that is behind, operators would miss their own change, base the next one on
// an old version, and have it rejected for a conflict with their own change.
kj::Promise<base::Result<std::string>> ControlProcess::readLinearizable(const std::string& what)
{
    using Answer = base::Result<std::string>;
    if (!m_replica || !m_leading)
        return Answer(base::fail(base::Code::NotLeader, "only the leader handles this request", electionRetryDelay));
    return m_replica->readIndex().then([this, what](const base::Result<base::LogIndex>& index) -> Answer {
        if (!index)
            return index.error();
        return readLocal(what);
    });
}

base::Result<std::string> ControlProcess::readLocal(const std::string& what) const
{
    nlohmann::json out;
    if (what == "status")
        out = status();
    else if (what == "dump")
        out = dump();
    else if (what == "agreed")
        out = { { "version", m_state.snapshot.version.value }, { "members", m_replica ? m_replica->toJson()["members"] : nlohmann::json::array() } };
    else if (what == "versions")
        out = versionsJson(m_state);
    else if (what == "rollouts")
        out = rolloutsJson(m_state);
    else
        return base::fail(base::Code::BadCommandLine, "unknown name to read: " + what);
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json ControlProcess::status() const
{
    nlohmann::json endpoints = nlohmann::json::array();
    for (const auto& [host, it] : m_endpoints.entries)
        endpoints.push_back({ { "host", host.text }, { "service", it.endpoint.service.text }, { "version", it.endpoint.version.text }, { "zone", it.endpoint.zone.text },
            { "address", it.endpoint.inner.text() }, { "slots", it.endpoint.slots }, { "state", it.expired ? "expired" : config::stateName(it.endpoint.state) } });
    nlohmann::json nodes = nlohmann::json::object();
    for (const auto& [host, it] : m_convergence.nodes)
        nodes[host.text] = it.version.value;
    nlohmann::json out = { { "host", m_settings.membership.host.text }, { "version", m_state.snapshot.version.value }, { "leads", m_leading },
        { "convergence", toJson(m_convergence) }, { "nodes", std::move(nodes) }, { "endpoints", std::move(endpoints) }, { "rollouts", rolloutsJson(m_state) },
        { "evacuated_zones", config::zonesToJson(m_state.snapshot.evacuatedZones) } };
    if (m_replica)
        out["replica"] = m_replica->toJson();
    nlohmann::json peers = nlohmann::json::array();
    for (const auto& it : m_peers)
        peers.push_back(it->toJson());
    out["peers"] = std::move(peers);
    return out;
}

nlohmann::json ControlProcess::dump() const
{
    nlohmann::json out = status();
    out["snapshot"] = m_distributor.content() ? config::toJson(*m_distributor.content()) : nlohmann::json();
    out["distributor"] = m_distributor.toJson();
    out["port"] = m_port.toJson();
    out["boot_reads"] = m_bootReads->rounds();
    if (m_sourceClient)
        out["upstream"] = m_sourceClient->toJson();
    out["events"] = base::recentEvents();
    return out;
}

} // namespace appletally::control
