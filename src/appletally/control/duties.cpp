// What a control process does by itself at intervals: expiry of records, and the leader's duties.
#include "appletally/base/log.h"
#include "appletally/control/process.h"
#include "appletally/policy/claim_keeper.h"

#include <algorithm>

namespace appletally::control {

namespace {

    constexpr base::Duration dutyEvery { 200 }; // nodes report evidence about as often

    // A process that starts, or loses a peer that restarts, is not isolated yet. With the time after which a link counts
    // as silent its nodes are with another source two seconds after a cut.
    constexpr base::Duration isolatedAfter { 600 };

    // A disk that failed is tried again this often; each try reads the log once.
    constexpr base::Duration diskPause { 1000 };

    // How long a keeper remembers a claim; a change of the set ends no earlier, see policy/keepers.h.
    constexpr base::Duration claimLife = policy::claimLife({});

} // namespace

kj::Promise<void> ControlProcess::housekeeping()
{
    return m_timer.afterDelay(dutyEvery.ms * kj::MILLISECONDS).then([this] {
        expireOld();
        openDiskAgain();
        learnMembers();
        noteIsolation();
        if (m_leading) {
            letInNewVoters();
            takeOutLostVoters();
            if (m_settings.claims)
                agreeOnKeepers();
            runRollouts();
        }
        return housekeeping();
    });
}

// Cut off silently, a source would keep its nodes on an old version for as long as the cut lasts, while the links
// between it and them are well. Half of all control processes, itself included, is too few to go on as if nothing were.
void ControlProcess::noteIsolation()
{
    const bool enough = findsPeers() ? reachesMajority() : reachesMostPeers();
    const base::Time now = base::steadyNow();
    if (enough)
        m_enoughPeersAt = now;
    m_distributor.setIsolated(now - m_enoughPeersAt >= isolatedAfter);
}

bool ControlProcess::reachesMostPeers() const
{
    const auto up = std::count_if(m_peers.begin(), m_peers.end(), [](const auto& it) { return it->up(); });
    return 2 * (static_cast<size_t>(up) + 1) > m_peers.size() + 1;
}

// A replica that has not caught up to the change that added it may hold outdated state, so it does not count as connected.
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

void ControlProcess::expireOld()
{
    const base::Time now = base::steadyNow();
    if (const size_t n = config::expire(m_endpoints, now); n != 0) {
        base::logEvent(base::Event::UpstreamLeft, std::to_string(n) + " endpoints were not renewed");
        m_distributor.endpointsChanged();
    }
    std::erase_if(m_own.endpoints, [&](const auto& entry) {
        auto it = m_endpoints.entries.find(entry.first);
        return it == m_endpoints.entries.end() || it->second.ranOut;
    });
    std::erase_if(m_own.evidence, [&](const auto& entry) { return !m_endpoints.entries.contains(std::get<0>(entry.first)); });
    std::erase_if(m_all.evidence, [&](const auto& entry) { return !m_endpoints.entries.contains(std::get<0>(entry.first)); });
    std::erase_if(m_own.inForce, [&](const auto& entry) { return !m_convergence.nodes.contains(entry.first); });
    control::expire(m_convergence, now);
}

// A mesh starts with one formatted voter, or with its seeds; all new hosts that are connected are added in one change. With
// a fixed list, a host that was a member before is never added again automatically: it lost its disk, and only an operator
// knows whether the old replica is really gone (replace-voter).
void ControlProcess::letInNewVoters()
{
    if (m_changingMembers)
        return;
    const consensus::Members& members = consensus::latestMembers(m_replica->replica());
    std::vector<consensus::Member> joining;
    for (PeerLink* it : possibleVoters()) {
        // Where hosts are known by their addresses, an empty folder at a voter's address says that the old one is lost:
        // nothing else can listen there.
        const bool known = std::any_of(members.list.begin(), members.list.end(), [&](const consensus::Member& member) {
            return findsPeers() ? member.id == it->replica() : member.host == it->host();
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

// A full disk has room again after a while, and nobody is there to restart the process. Left stopped, the replica is a loss
// that nobody sees, and the next one stops the log. What is in memory is thrown away: the replica begins with what its disk
// has, as after a restart.
void ControlProcess::openDiskAgain()
{
    const base::Time now = base::steadyNow();
    if (!findsPeers() || !m_replica || !m_replica->stopped() || now - m_diskTriedAt < diskPause)
        return;
    m_diskTriedAt = now;
    m_replica->closeDisk();
    auto opened = consensus::openFolder(consensus::systemFileCalls(), m_settings.data);
    if (!opened) {
        base::logEvent(base::Event::DiskStopped, "still: " + opened.error().text);
        return;
    }
    if (const auto written = consensus::writeAnew(opened.value()); !written) {
        base::logEvent(base::Event::DiskStopped, "still: " + written.error().text);
        consensus::closeFolder(opened.value());
        return;
    }
    base::logEvent(base::Event::DiskReopened, "the replica begins with log index " + std::to_string(opened.value().state.commit.value));
    m_state = {};
    m_appliedIndex = {};
    m_unreleased.clear();
    m_outcomes.clear();
    m_leading = false;
    m_changingMembers = false;
    m_ownProposal = false;
    m_documentTurn = kj::Promise<void>(kj::READY_NOW).fork();
    makeReplica(std::move(opened.value()));
}

// Only where hosts come and go by themselves; with a fixed list of voters an operator decides who is lost.
void ControlProcess::takeOutLostVoters()
{
    if (!findsPeers() || m_changingMembers)
        return;
    const consensus::Replica& replica = m_replica->replica();
    const base::Time now = base::steadyNow();
    const auto lost = policy::nextLost(m_lostVoters, consensus::latestMembers(replica), consensus::respondingVoters(replica, now), consensus::hasStandby(replica, now), now);
    if (!lost)
        return;
    base::logEvent(base::Event::ReplicaRemoved, "replica " + std::to_string(lost->value) + " was silent for " + std::to_string((now - m_lostVoters.silentSince.at(*lost)).ms) + " ms and is taken out");
    m_changingMembers = true;
    m_tasks->add(m_replica->removeMember(*lost).then([this](const base::Result<base::LogIndex>&) { m_changingMembers = false; }));
}

void ControlProcess::agreeOnKeepers()
{
    const config::KeeperSet& agreed = m_state.snapshot.keepers;
    if (!agreed.previous.empty()) {
        finishKeeperChange();
        return;
    }
    const auto members = chooseKeepers(m_keeperChoice, agreed, m_endpoints, base::steadyNow());
    if (members && agreed.number.value == 0 && !firstSetMayForm(*members, m_convergence))
        return;
    if (members && proposeOwn(config::SetKeepers { agreed.number, *members, {} }))
        base::logEvent(base::Event::KeeperSetChanged, "proposes set " + std::to_string(agreed.number.value + 1) + " with " + std::to_string(members->size()) + " hosts");
}

void ControlProcess::finishKeeperChange()
{
    const base::Time now = base::steadyNow();
    const config::KeeperSet& agreed = m_state.snapshot.keepers;
    if (m_keeperChange.set.number != agreed.number) {
        m_keeperChange = { agreed, {} };
        m_keeperChangeIn = m_state.snapshot.version; // perhaps later than the first one that has it, which only waits longer
    }
    for (const config::Keeper& it : agreed.previous) {
        auto node = m_convergence.nodes.find(it.host);
        if (node != m_convergence.nodes.end() && node->second.version >= m_keeperChangeIn)
            m_keeperChange.inForceSince.try_emplace(it.host, now);
    }
    if (policy::mayEndChange(m_keeperChange, claimLife, now))
        proposeOwn(config::FinishKeeperChange { agreed.number, {} });
}

void ControlProcess::runRollouts()
{
    if (m_rollouts.running.size() != m_state.running.size() || !std::equal(m_rollouts.running.begin(), m_rollouts.running.end(), m_state.running.begin(), [](const auto& a, const auto& b) { return a.first == b.first; }))
        follow(m_rollouts, m_state, toReport(m_all).evidence);
    for (const config::Command& it : stepRollouts(m_rollouts, m_state, m_endpoints, leadNow()))
        proposeOwn(it);
}

} // namespace appletally::control
