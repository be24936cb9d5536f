// One control process, voter or relay: a single KJ loop that owns the replica, the agreed state, the links to the other
// control processes, and everything that nodes take from it.
//
// A voter's agreed state runs ahead of what it hands out: a version goes to subscribers only once the log says that a
// majority of voters has recorded it as committed ("released"). See consensus/released.h for why no restarted node can
// then start below what any node had.
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
    // A voter has its opened disk log, a relay none.
    ControlProcess(kj::AsyncIoContext&, ControlSettings, std::optional<consensus::DiskLog>);
    ~ControlProcess();

    base::Result<base::Address> listen();
    void stopListening() { m_port.stopListening(); }
    size_t changesUnderWay() const { return m_changesUnderWay; }

    // --- For the sessions ---

    Distributor& distributor() { return m_distributor; }
    bool knowsMembers() const; // false: a replica that nobody has let in yet, with nothing to hand out
    void nodeReport(const inner::NodeReport&); // from a node that is linked to this process
    void peerReport(const inner::NodeReport&); // from another control process
    kj::Promise<base::Result<base::ConfigVersion>> bootFloor();
    kj::Promise<base::Result<base::ConfigVersion>> released(base::LogIndex); // waits until it is
    void consensusMessage(consensus::Message);
    const consensus::Replica* replica() const { return m_replica ? &m_replica->replica() : nullptr; }
    kj::Promise<ChangeAnswer> change(const std::string& command, bool forwarded);
    kj::Promise<base::Result<void>> replaceVoter(base::ReplicaId old, base::ReplicaId fresh);
    kj::Promise<base::Result<std::string>> read(const std::string& what); // JSON
    bool admitsPeer(const base::HostId&); // with seeds also learns of it

    // --- For an operators' port of another kind (control/documents.cpp). All of them only on the leader: NotLeader else ---

    std::string metrics() const; // in Prometheus' text format
    bool leads() const { return m_replica && m_leading; }
    base::WallTime leadNow() const { return base::wallAt(m_leadClock, base::steadyNow()); }
    base::HostId leaderHost() const; // empty: none known
    void addSeeds(const std::vector<base::Address>&); // the settings name further ones
    // Resolves once the document is agreed on and in force at every node in reach, or has been agreed on for so long that
    // those that lack it are out of reach. VersionConflict, AnswersInvalid, DanglingReference; others: outcome unknown.
    kj::Promise<base::Result<void>> submitDocument(config::Document);
    kj::Promise<base::Result<void>> moveTraffic(config::MoveTraffic); // `from` is filled in
    // The agreed state with all that was accepted before the question; good until control returns to the loop.
    kj::Promise<base::Result<const config::State*>> committedState();

private:
    struct InForceWaiter {
        base::ConfigVersion version;
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
    };
    struct ReleaseWaiter {
        base::LogIndex index;
        kj::Own<kj::PromiseFulfiller<base::Result<base::ConfigVersion>>> fulfiller;
    };

    void taskFailed(kj::Exception&&) override;
    std::vector<PeerLink*> possibleVoters(); // with seeds all peers; which of them vote, the members say
    bool findsPeers() const { return !m_settings.seeds.empty(); }
    void learnPeer(const base::HostId&); // whose name is its address
    void learnMembers();
    void makeLinks();
    void linkTo(const ControlPeer&);
    void makeReplica(consensus::DiskLog);
    void makeUpstream();

    // Hooks of the replica
    void send(const consensus::Message&);
    void restore(const consensus::Snapshot&);
    void apply(const consensus::Entry&);
    void applyChange(const consensus::Entry&);
    void keepUnreleased(); // before the state changes: what may still be handed out is copied
    void noteVersion();
    void logVersion() const;
    using RolloutsById = std::map<base::RolloutId, config::Rollout>;
    void noteRollouts(const RolloutsById& before);
    void releasedUpTo(base::LogIndex);
    void wakeReleaseWaiters();

    // Reports
    void take(const inner::NodeReport&);
    inner::NodeReport forPeers(const inner::NodeReport&) const;
    PendingReport ownReports() const;

    // Changes
    kj::Promise<ChangeAnswer> proposeHere(config::Command);
    ChangeAnswer outcomeAt(base::LogIndex);
    kj::Promise<ChangeAnswer> forwardToLeader(const std::string& command);
    bool proposeOwn(const config::Command&); // false: another one is under way

    // Documents
    kj::Promise<base::Result<base::ConfigVersion>> proposeForVersion(const config::Command&);
    kj::Promise<base::Result<base::ConfigVersion>> proposeDocument(const std::shared_ptr<const config::Document>&);
    kj::Promise<base::Result<base::ConfigVersion>> judgeConflict(const std::shared_ptr<const config::Document>&);
    kj::Promise<void> inForceEverywhere(base::ConfigVersion);
    void wakeInForceWaiters();
    void answerBeforeAll(base::ConfigVersion);
    base::UpstreamVersion versionWithTraffic(const base::ServiceName&, const base::UpstreamVersion& besides) const;
    std::string describeReady(const config::Rollout&) const;

    // Repeated work
    kj::Promise<void> housekeeping();
    void noteIsolation();
    bool reachesMostPeers() const;
    bool reachesMajority() const;
    void expireOld();
    void letInNewVoters();
    void takeOutLostVoters();
    void openDiskAgain(); // after it failed
    void agreeOnKeepers();
    void finishKeeperChange();
    void runRollouts();

    base::Result<std::string> readHere(const std::string& what) const;
    kj::Promise<base::Result<std::string>> readCurrent(const std::string& what);
    nlohmann::json status() const;
    nlohmann::json dump() const;

    kj::AsyncIoContext& m_io;
    kj::Timer& m_timer;
    ControlSettings m_settings;

    // Agreed; a relay has only what its source gave it.
    config::State m_state;
    std::map<base::ConfigVersion, std::shared_ptr<const config::Snapshot>> m_unreleased; // null: m_state's own, not copied yet
    base::LogIndex m_releasedIndex;
    base::LogIndex m_appliedIndex; // m_state has all up to here; may be below m_releasedIndex on a replica that was away
    std::vector<ReleaseWaiter> m_releaseWaiters;
    std::vector<InForceWaiter> m_inForceWaiters;
    kj::ForkedPromise<void> m_documentTurn = nullptr; // resolves when the documents taken so far are agreed on or refused
    std::map<base::LogIndex, config::Outcome> m_outcomes; // of the newest entries, for proposals made here
    bool m_leading = false;
    bool m_replaying = false; // a start applies what its disk has: logged when it was accepted, and a line each takes time
    base::AnchoredClock m_leadClock = base::anchorNow(); // of the present leadership
    uint64_t m_answeredBeforeAll = 0; // operators' changes
    size_t m_changesUnderWay = 0; // operators' changes that wait for their answer
    bool m_ownProposal = false; // one of control's own proposals is under way
    bool m_changingMembers = false;
    base::Time m_diskTriedAt; // when it was last opened again

    // The leader's duties; meaningless on others.
    KeeperChoice m_keeperChoice;
    policy::SetChange m_keeperChange; // of the set that is changing
    base::ConfigVersion m_keeperChangeIn; // a version that has it
    RolloutRunner m_rollouts;
    policy::LostVoters m_lostVoters;

    // Not agreed.
    base::Time m_enoughPeersAt = base::steadyNow(); // when more than half of the control processes were last linked
    config::EndpointRegistry m_endpoints;
    Convergence m_convergence;
    PendingReport m_own; // what the nodes linked to this process said; told to peers that come new
    PendingReport m_all; // evidence of all nodes
    Distributor m_distributor;

    std::vector<std::unique_ptr<PeerLink>> m_peers;
    std::unique_ptr<BootReads> m_bootReads;
    std::unique_ptr<ReplicaDriver> m_replica; // voters
    std::unique_ptr<inner::SourceClient> m_upstream; // relays
    kj::Own<kj::TaskSet> m_tasks;
    inner::RpcPort m_port; // last: sessions refer to all above
};

} // namespace appletally::control
