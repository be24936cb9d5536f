// Outgoing link from this control process to one other: consensus messages, node reports and requests.
//
// Each pair of control processes has two links, one opened by each side, and each side sends on its own link. A lost link
// is reopened after a random delay. Consensus messages are dropped meanwhile, since consensus tolerates message loss.
#pragma once

#include "appletally/consensus/released.h"
#include "appletally/control/report_merge.h"
#include "appletally/control/settings.h"
#include "appletally/inner/rpc_link.h"
#include "appletally/policy/reconnect.h"
#include "appletally/policy/source_balance.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

namespace appletally::control {

// Result of an operator's change.
struct ChangeResult {
    base::Error failure { base::Code::Ok, {}, {} }; // code Ok: success
    base::ConfigVersion version; // created by the change, or else the current one
    std::string text; // rollout id or further information
};

// A replica's answer for a boot proof. `boot` is empty if the replica is not a voter; the id is set in any case.
struct RecordedAnswer {
    base::ReplicaId replica;
    std::optional<consensus::BootAnswer> boot;
};

struct PeerHooks {
    std::function<void(const base::HostId&)> up; // called once the peer's replica id is known
    std::function<PendingReport()> ownReports; // sent to a peer when its link comes up
};

// A control process as a source of configuration.
struct SourceStatus {
    policy::SourceLoad load;
    bool accepts = false; // takes further subscribers now
};

class PeerLink : public kj::TaskSet::ErrorHandler {
public:
    PeerLink(kj::AsyncIoContext&, const inner::Membership&, ControlPeer, PeerHooks);

    const base::HostId& host() const { return m_peer.host; }
    bool up() const { return m_ready; }
    base::ReplicaId replica() const { return m_replica; } // 0: unknown, or a relay

    void sendConsensus(const consensus::Message&); // dropped if the link is down or too many are in flight
    void queueReport(const inner::NodeReport&);

    // What the peer knows of this process as a source; sent only after a change.
    void sendSourceLoad(const SourceStatus&);
    const base::Address& address() const { return m_peer.address; }

    // These promises are rejected when the link ends.
    kj::Promise<RecordedAnswer> requestRecordedCommit();
    kj::Promise<base::Result<base::ConfigVersion>> requestReleasedVersion(base::LogIndex);
    kj::Promise<ChangeResult> forward(const std::string& command);

    nlohmann::json toJson() const;

private:
    void taskFailed(kj::Exception&&) override;
    kj::Promise<void> run();
    kj::Promise<void> handshake();
    void onLinkLost(const base::Error&);
    void sendPendingReports();

    kj::AsyncIoContext& m_io;
    kj::Timer& m_timer;
    inner::Membership m_membership;
    ControlPeer m_peer;
    PeerHooks m_hooks;
    kj::Own<inner::RpcLink> m_link;
    inner::rpc::Peer::Client m_session = nullptr;
    bool m_ready = false;
    base::ReplicaId m_replica;
    policy::Backoff m_backoff;
    uint64_t m_connects = 0; // consecutive attempts without a link
    size_t m_inFlightMessages = 0; // consensus messages that the peer has not acknowledged
    size_t m_inFlightBytes = 0;
    uint64_t m_droppedMessages = 0; // consensus messages
    PendingReport m_pending;
    bool m_sendingReport = false;
    std::optional<SourceStatus> m_sentStatus; // last one sent on the current link
    kj::Own<kj::TaskSet> m_tasks; // of the current link
    kj::Promise<void> m_running = nullptr;
};

} // namespace appletally::control
