// One control process, voter or relay: a single KJ loop that owns the replica, the replicated state, the links to the
// other control processes, and everything that is distributed to nodes.
//
// The replicated state of a voter is ahead of what it distributes: a version is sent to subscribers only after a majority
// of voters has durably recorded it as committed ("released"). See consensus/released.h for why a restarted node then
// cannot start with an older version than any node had.
#pragma once

#include "appletally/config/endpoint_registry.h"
#include "appletally/config/state_machine.h"
#include "appletally/control/boot_reads.h"
#include "appletally/control/convergence.h"
#include "appletally/control/distributor.h"
#include "appletally/control/keeper_choice.h"
#include "appletally/control/peer_link.h"
#include "appletally/control/replica_driver.h"
#include "appletally/control/rollout_runner.h"
#include "appletally/control/settings.h"
#include "appletally/inner/rpc_port.h"
#include "appletally/inner/source_client.h"
#include "appletally/policy/keepers.h"
#include "appletally/policy/lost_voters.h"

namespace appletally::control {

class ControlProcess : public kj::TaskSet::ErrorHandler {
public:
    // The disk log is that of a voter; a relay has none.
    ControlProcess(kj::AsyncIoContext&, ControlSettings, std::optional<consensus::DiskLog>);
    ~ControlProcess();

    base::Result<base::Address> listen();
    void stopListening() { m_port.stopListening(); }
    size_t pendingChanges() const { return m_pendingChanges; }

    // --- For the sessions ---

    Distributor& distributor() { return m_distributor; }
    bool knowsMembers() const; // false: this replica has not been added to the log yet and has nothing to distribute
    void onNodeReport(const inner::NodeReport&); // from a node linked to this process
    void onPeerReport(const inner::NodeReport&); // from another control process
    void onSourceStatus(const SourceStatus&); // of another control process
    kj::Promise<base::Result<base::ConfigVersion>> minBootVersion();
    kj::Promise<base::Result<base::ConfigVersion>> waitForRelease(base::LogIndex); // resolves once it is; NoQuorum after a timeout
    void onConsensusMessage(consensus::Message);
    const consensus::Replica* replica() const { return m_replica ? &m_replica->replica() : nullptr; }
    kj::Promise<ChangeResult> submitChange(const std::string& command, bool forwarded);
    kj::Promise<base::Result<void>> replaceVoter(base::ReplicaId old, base::ReplicaId fresh);
    kj::Promise<base::Result<std::string>> read(const std::string& what); // JSON
    bool admitsPeer(const base::HostId&); // with seeds, also opens a link to it

    // --- For an operators' port with another protocol (control/documents.cpp). Requests fail with NotLeader unless this process leads ---

    std::string metrics() const; // in Prometheus' text format
    bool leads() const { return m_replica && m_leading; }
    base::WallTime leaderTime() const { return base::wallAt(m_leaderClock, base::steadyNow()); }
    base::HostId leaderHost() const; // empty: unknown
    void addSeeds(const std::vector<base::Address>&); // after a reload of the settings
    // Resolves once the document is committed and applied by every reachable node, or after a timeout since the commit.
    // Errors: VersionConflict, AnswersInvalid, DanglingReference; with any other error the outcome is unknown.
    kj::Promise<base::Result<void>> submitDocument(config::Document);
    kj::Promise<base::Result<void>> moveTraffic(config::MoveTraffic); // `from` is filled in
    // Resolves like submitDocument(). Error: AnswersInvalid for a zone that the mesh does not have.
    kj::Promise<base::Result<void>> setZoneEvacuated(config::SetZoneEvacuated);
    // Linearizable read of the replicated state. The pointer is valid until control returns to the event loop.
    kj::Promise<base::Result<const config::State*>> committedState();

private:
    struct AppliedWaiter {
        base::ConfigVersion version;
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
    };
    struct ReleaseWaiter {
        base::LogIndex index;
        kj::Own<kj::PromiseFulfiller<base::Result<base::ConfigVersion>>> fulfiller;
    };

    void taskFailed(kj::Exception&&) override;
    std::vector<PeerLink*> possibleVoters(); // with seeds: all peers, of which the member list says who votes
    bool discoversPeers() const { return !m_settings.seeds.empty(); }
    void addPeer(const base::HostId&); // `host` is its address
    void addMemberPeers();
    void makeLinks();
    void linkTo(const ControlPeer&);
    void makeReplica(consensus::DiskLog);
    void makeSourceClient();

    // Replica hooks
    void send(const consensus::Message&);
    base::Result<void> restore(const consensus::Snapshot&);
    void apply(const consensus::Entry&);
    void applyChange(const consensus::Entry&);
    void copyUnreleased(); // copies a snapshot that may still be released, before the state changes
    void recordVersion();
    void logVersion() const;
    using RolloutsById = std::map<base::RolloutId, config::Rollout>;
    void logRolloutChanges(const RolloutsById& before);
    void onReleased(base::LogIndex);
    void wakeReleaseWaiters();

    // Reports
    void applyReport(const inner::NodeReport&);
    inner::NodeReport reportForPeers(const inner::NodeReport&) const;
    PendingReport ownReports() const;

    // Changes
    kj::Promise<ChangeResult> proposeChange(config::Command);
    ChangeResult outcomeAt(base::LogIndex);
    kj::Promise<ChangeResult> forwardToLeader(const std::string& command);
    bool proposeInternal(const config::Command&); // false: another one is in progress

    // Documents
    kj::Promise<base::Result<base::ConfigVersion>> proposeForVersion(const config::Command&);
    kj::Promise<base::Result<base::ConfigVersion>> proposeDocument(const std::shared_ptr<const config::Document>&);
    kj::Promise<base::Result<base::ConfigVersion>> recheckConflict(const std::shared_ptr<const config::Document>&);
    kj::Promise<void> waitUntilApplied(base::ConfigVersion);
    void wakeAppliedWaiters();
    bool isKnownZone(const base::ZoneName&) const;
    void onAppliedTimeout(base::ConfigVersion);
    base::UpstreamVersion mostDeployedVersion(const base::ServiceName&, const base::UpstreamVersion& besides) const;
    std::string describeReadyUpstreams(const config::Rollout&) const;

    // Periodic work
    kj::Promise<void> housekeeping();
    void updateIsolation();
    bool isSource() const; // nodes get their configuration from this process
    void shareSubscribers();
    bool reachesMostControlProcesses() const;
    bool reachesMajority() const;
    void expireRecords();
    void addNewVoters();
    void removeLostVoters();
    void reopenDisk(); // after a disk failure
    void proposeKeepers();
    void finishKeeperChange();
    void runRollouts();

    base::Result<std::string> readLocal(const std::string& what) const;
    kj::Promise<base::Result<std::string>> readLinearizable(const std::string& what);
    nlohmann::json status() const;
    nlohmann::json dump() const;

    kj::AsyncIoContext& m_io;
    kj::Timer& m_timer;
    ControlSettings m_settings;

    // Replicated state; a relay has only what its source sent.
    config::State m_state;
    std::map<base::ConfigVersion, std::shared_ptr<const config::Snapshot>> m_unreleased; // null: still equal to m_state, not copied yet
    base::LogIndex m_releasedIndex;
    base::LogIndex m_appliedIndex; // last entry applied to m_state; may be below m_releasedIndex on a replica that is catching up
    std::vector<ReleaseWaiter> m_releaseWaiters;
    std::vector<AppliedWaiter> m_appliedWaiters;
    kj::ForkedPromise<void> m_documentQueue = nullptr; // resolves when all documents submitted so far are committed or rejected
    std::map<base::LogIndex, config::Outcome> m_outcomes; // of the newest entries, for proposals of this process
    bool m_leading = false;
    bool m_replaying = false; // while a starting process applies its disk log: these entries were logged before, and logging delays the start
    base::AnchoredClock m_leaderClock = base::anchorNow(); // of the current term as leader
    uint64_t m_appliedTimeouts = 0; // operators' documents answered before all nodes had applied them
    size_t m_pendingChanges = 0; // operators' changes without an answer yet
    bool m_internalProposalPending = false; // a proposal of the control process itself is in progress
    bool m_changingMembers = false;
    base::Time m_diskReopenedAt; // last attempt to reopen it

    // Used only while this process leads.
    KeeperChoice m_keeperChoice;
    policy::SetChange m_keeperChange; // the change in progress
    base::ConfigVersion m_keeperChangeVersion; // a version that contains the change
    RolloutRunner m_rollouts;
    policy::LostVoters m_lostVoters;

    // Not replicated.
    base::Time m_lastConnectedAt = base::steadyNow(); // when enough other control processes were last reachable, see updateIsolation()
    config::EndpointRegistry m_endpoints;
    Convergence m_convergence;
    PendingReport m_localReports; // reports of the nodes linked to this process; sent to newly linked peers
    PendingReport m_allEvidence; // evidence of all nodes
    Distributor m_distributor;
    std::map<base::HostId, SourceStatus> m_sourceStatus; // of other control processes; valid while they are linked

    std::vector<std::unique_ptr<PeerLink>> m_peers;
    std::unique_ptr<BootReads> m_bootReads;
    std::unique_ptr<ReplicaDriver> m_replica; // voters
    std::unique_ptr<inner::SourceClient> m_sourceClient; // relays
    kj::Own<kj::TaskSet> m_tasks;
    inner::RpcPort m_port; // last member: sessions refer to all others
};

} // namespace appletally::control
