// The link that this control process keeps to one other: consensus messages, shared reports, questions.
//
// Each pair of control processes has two links, one from each side, and each sends on its own. A link that ends is
// made anew at a random moment; what consensus sent meanwhile is dropped, since its messages may be lost anyway.
#pragma once

#include "appletally/consensus/released.h"
#include "appletally/control/report_merge.h"
#include "appletally/control/settings.h"
#include "appletally/inner/rpc_link.h"
#include "appletally/policy/reconnect.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

namespace appletally::control {

// What came of an operator's change.
struct ChangeAnswer {
    base::Error failure { base::Code::Ok, {}, {} }; // code Ok: done
    base::ConfigVersion version; // that it made, or that is current
    std::string text; // rollout id, or what else there is to say
};

// A replica's answer for a boot proof. Not a voter: `boot` is empty, the id is still told.
struct RecordedAnswer {
    base::ReplicaId replica;
    std::optional<consensus::BootAnswer> boot;
};

struct PeerHooks {
    std::function<void(const base::HostId&)> up; // once its replica is known
    std::function<PendingReport()> ownReports; // what a peer that has just come must be told
};

class PeerLink : public kj::TaskSet::ErrorHandler {
public:
    PeerLink(kj::AsyncIoContext&, const inner::Membership&, ControlPeer, PeerHooks);

    const base::HostId& host() const { return m_peer.host; }
    bool up() const { return m_ready; }
    base::ReplicaId replica() const { return m_replica; } // 0: unknown, or a relay

    void consensus(const consensus::Message&); // dropped if the link is down or too much is under way
    void share(const inner::NodeReport&);

    // These reject when the link ends.
    kj::Promise<RecordedAnswer> recorded();
    kj::Promise<base::Result<base::ConfigVersion>> released(base::LogIndex);
    kj::Promise<ChangeAnswer> forward(const std::string& command);

    nlohmann::json toJson() const;

private:
    void taskFailed(kj::Exception&&) override;
    kj::Promise<void> run();
    kj::Promise<void> introduce();
    void lost(const base::Error&);
    void sendShare();

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
    uint64_t m_connects = 0; // in a row, without a link
    size_t m_underWay = 0; // consensus messages not yet taken by the peer
    size_t m_underWayBytes = 0;
    uint64_t m_dropped = 0; // consensus messages
    PendingReport m_pending;
    bool m_sharing = false;
    kj::Own<kj::TaskSet> m_tasks; // of the current link
    kj::Promise<void> m_running = nullptr;
};

} // namespace appletally::control
