// Periodic work of a control process: expiry of records, reopening of a failed disk, isolation checks, and the leader's
// membership, keeper and rollout changes.
#include "appletally/base/log.h"
#include "appletally/control/process.h"
#include "appletally/policy/claim_keeper.h"

#include <algorithm>

namespace appletally::control {

namespace {

    constexpr base::Duration housekeepingInterval { 200 }; // about the interval at which nodes report evidence

    // Longer than the start of this process or the restart of a peer. Together with the time after which a link counts as
    // silent, nodes have switched to another source two seconds after a network partition.
    constexpr base::Duration isolationTimeout { 600 };

    // Interval of attempts to reopen a failed disk; each attempt reads the log once.
    constexpr base::Duration diskReopenInterval { 1000 };

    // How long a keeper stores a claim. A change of the keeper set must not end earlier, see policy/keepers.h.
    constexpr base::Duration claimLife = policy::claimLife({});

} // namespace

kj::Promise<void> ControlProcess::housekeeping()
{
    return m_timer.afterDelay(housekeepingInterval.ms * kj::MILLISECONDS).then([this] {
        expireRecords();
        reopenDisk();
        addMemberPeers();
        updateIsolation();
        shareSubscribers();
        if (m_leading) {
            addNewVoters();
            removeLostVoters();
            if (m_settings.claims)
                proposeKeepers();
            runRollouts();
        }
        return housekeeping();
    });
}

// A silently partitioned source would keep its nodes on an old version for as long as the partition lasts, since its links
// to them still work. A process that reaches only half of the control processes, itself included, counts as isolated.
void ControlProcess::updateIsolation()
{
    const bool enough = discoversPeers() ? reachesMajority() : reachesMostControlProcesses();
    const base::Time now = base::steadyNow();
    if (enough)
        m_lastConnectedAt = now;
    m_distributor.setIsolated(now - m_lastConnectedAt >= isolationTimeout);
}

// With a fixed list of control processes, voters are sources only in a mesh without relays.
bool ControlProcess::isSource() const
{
    return discoversPeers() || m_settings.relays.empty() || m_settings.role == ProcessRole::Relay;
}

void ControlProcess::shareSubscribers()
{
    const bool accepts = isSource() && knowsMembers() && m_distributor.content() && !m_distributor.isolated() && !m_distributor.full();
    const SourceStatus own { { m_settings.membership.host, m_settings.zone, m_distributor.lastingSubscribers() }, accepts };
    std::vector<policy::SourceLoad> others;
    std::map<base::HostId, base::Address> addresses;
    for (const auto& it : m_peers) {
        it->sendSourceLoad(own);
        const auto status = m_sourceStatus.find(it->host());
        if (!it->up() || status == m_sourceStatus.end() || !status->second.accepts)
            continue;
        others.push_back(status->second.load);
        addresses[it->host()] = it->address();
    }
    if (!isSource() || m_distributor.isolated()) // an isolated source asks all of its subscribers to leave
        return;
    for (const policy::Handover& it : policy::chooseHandovers(own.load, others, m_distributor.movableSubscribers(), inner::randomNumber()))
        m_distributor.handOver(it.subscriber, addresses.at(it.to));
}

bool ControlProcess::reachesMostControlProcesses() const
{
    const auto up = std::count_if(m_peers.begin(), m_peers.end(), [](const auto& it) { return it->up(); });
    return 2 * (static_cast<size_t>(up) + 1) > m_peers.size() + 1;
}

// False for a replica that has not applied the change that added it, because its state may be outdated.
bool ControlProcess::reachesMajority() const
{
    if (!m_replica || m_replica->stopped())
        return false;
    const consensus::Replica& replica = m_replica->replica();
    size_t voters = 0;
    size_t reached = 0;
    for (const consensus::Member& member : consensus::latestMembers(replica).list) {
        if (member.role != consensus::Role::Voter)
            continue;
        ++voters;
        const auto link = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto& it) { return it->up() && it->replica() == member.id; });
        reached += member.id == replica.id || link != m_peers.end();
    }
    return consensus::hasCaughtUp(replica) && reached * 2 > voters;
}

void ControlProcess::expireRecords()
{
    const base::Time now = base::steadyNow();
    if (const size_t n = config::expire(m_endpoints, now); n != 0) {
        base::logEvent(base::Event::UpstreamLeft, std::to_string(n) + " endpoints expired without renewal");
        m_distributor.endpointsChanged();
    }
    std::erase_if(m_localReports.endpoints, [&](const auto& entry) {
        auto it = m_endpoints.entries.find(entry.first);
        return it == m_endpoints.entries.end() || it->second.expired;
    });
    std::erase_if(m_localReports.evidence, [&](const auto& entry) { return !m_endpoints.entries.contains(std::get<0>(entry.first)); });
    std::erase_if(m_allEvidence.evidence, [&](const auto& entry) { return !m_endpoints.entries.contains(std::get<0>(entry.first)); });
    std::erase_if(m_localReports.appliedVersions, [&](const auto& entry) { return !m_convergence.nodes.contains(entry.first); });
    control::expireNodes(m_convergence, now);
}

// A mesh starts with one formatted voter, or with its seeds; all new hosts that are connected are added in one change. With
// a fixed list of voters, the host of a current member is never added automatically: it lost its disk, and only an operator
// knows whether the old replica is permanently lost (replace-voter).
void ControlProcess::addNewVoters()
{
    if (m_changingMembers)
        return;
    const consensus::Members& members = consensus::latestMembers(m_replica->replica());
    std::vector<consensus::Member> joining;
    for (PeerLink* it : possibleVoters()) {
        // With seeds, hosts are identified by address. A new replica id at a voter's address means that the old replica is
        // lost, since no other process can listen there.
        const bool known = std::any_of(members.list.begin(), members.list.end(), [&](const consensus::Member& member) {
            return discoversPeers() ? member.id == it->replica() : member.host == it->host();
        });
        if (known || !it->up() || it->replica().value == 0)
            continue;
        joining.push_back({ it->replica(), it->host(), consensus::Role::Joining, {} });
    }
    if (joining.empty())
        return;
    m_changingMembers = true;
    m_tasks->add(m_replica->addMembers(std::move(joining)).then([this](const base::Result<base::LogIndex>&) { m_changingMembers = false; }));
}

// A full disk may have space again later, and no operator restarts the process. A replica that stayed stopped would be an
// unnoticed loss, and the next loss would stop the log. The state in memory is discarded: the replica starts from its disk,
// as after a restart.
void ControlProcess::reopenDisk()
{
    const base::Time now = base::steadyNow();
    if (!discoversPeers() || !m_replica || !m_replica->stopped() || now - m_diskReopenedAt < diskReopenInterval)
        return;
    m_diskReopenedAt = now;
    m_replica->closeDisk();
    auto opened = consensus::openFolder(consensus::systemFileCalls(), m_settings.data);
    if (!opened) {
        base::logEvent(base::Event::DiskStopped, "still: " + opened.error().text);
        return;
    }
    if (const auto written = consensus::rewriteFolder(opened.value()); !written) {
        base::logEvent(base::Event::DiskStopped, "still: " + written.error().text);
        consensus::closeFolder(opened.value());
        return;
    }
    base::logEvent(base::Event::DiskReopened, "the replica starts from log index " + std::to_string(opened.value().state.commit.value));
    m_state = {};
    m_appliedIndex = {};
    m_unreleased.clear();
    m_outcomes.clear();
    m_leading = false;
    m_changingMembers = false;
    m_internalProposalPending = false;
    m_documentQueue = kj::Promise<void>(kj::READY_NOW).fork();
    makeReplica(std::move(opened.value()));
}

// Only with seeds, where membership is automatic; with a fixed list of voters an operator decides which one is lost.
void ControlProcess::removeLostVoters()
{
    if (!discoversPeers() || m_changingMembers)
        return;
    const consensus::Replica& replica = m_replica->replica();
    const base::Time now = base::steadyNow();
    const auto lost = policy::nextLostVoter(m_lostVoters, consensus::latestMembers(replica), consensus::respondingVoters(replica, now), consensus::hasStandby(replica, now), now);
    if (!lost)
        return;
    base::logEvent(base::Event::ReplicaRemoved, "replica " + std::to_string(lost->value) + " was silent for " + std::to_string((now - m_lostVoters.silentSince.at(*lost)).ms) + " ms and is removed");
    m_changingMembers = true;
    m_tasks->add(m_replica->removeMember(*lost).then([this](const base::Result<base::LogIndex>&) { m_changingMembers = false; }));
}

void ControlProcess::proposeKeepers()
{
    const config::KeeperSet& agreed = m_state.snapshot.keepers;
    if (!agreed.previous.empty()) {
        finishKeeperChange();
        return;
    }
    const auto members = chooseKeepers(m_keeperChoice, agreed, m_endpoints, base::steadyNow());
    if (members && agreed.number.value == 0 && !mayProposeFirstSet(*members, m_convergence))
        return;
    if (members && proposeInternal(config::SetKeepers { agreed.number, *members, {} }))
        base::logEvent(base::Event::KeeperSetChanged, "proposing set " + std::to_string(agreed.number.value + 1) + " with " + std::to_string(members->size()) + " hosts");
}

void ControlProcess::finishKeeperChange()
{
    const base::Time now = base::steadyNow();
    const config::KeeperSet& agreed = m_state.snapshot.keepers;
    if (m_keeperChange.set.number != agreed.number) {
        m_keeperChange = { agreed, {} };
        m_keeperChangeVersion = m_state.snapshot.version; // may be later than the first version with the change, which only prolongs the wait
    }
    for (const config::Keeper& it : agreed.previous) {
        auto node = m_convergence.nodes.find(it.host);
        if (node != m_convergence.nodes.end() && node->second.version >= m_keeperChangeVersion)
            m_keeperChange.appliedSince.try_emplace(it.host, now);
    }
    if (policy::mayEndChange(m_keeperChange, claimLife, now))
        proposeInternal(config::FinishKeeperChange { agreed.number, {} });
}

void ControlProcess::runRollouts()
{
    if (m_rollouts.running.size() != m_state.running.size() || !std::equal(m_rollouts.running.begin(), m_rollouts.running.end(), m_state.running.begin(), [](const auto& a, const auto& b) { return a.first == b.first; }))
        syncRunning(m_rollouts, m_state, toReport(m_allEvidence).evidence);
    for (const config::Command& it : stepRollouts(m_rollouts, m_state, m_endpoints, leaderTime()))
        proposeInternal(it);
}

} // namespace appletally::control
