// Connects the parts of a node. The call path runs on one libevent loop; the control link has a thread of its own.
#pragma once

#include "appletally/base/loop_stalls.h"
#include "appletally/inner/control_link.h"
#include "appletally/node/announce_port.h"
#include "appletally/node/ingress.h"
#include "appletally/node/owner.h"
#include "appletally/node/owner_links.h"
#include "appletally/node/peers.h"
#include "appletally/node/settings.h"
#include "appletally/node/suspect_registry.h"

#include <memory>

namespace appletally::node {

// Addresses the node listens on; port 0 in the settings is replaced by the port that the system assigned.
struct NodeAddresses {
    base::Address callers;
    base::Address inner;
    base::Address announce;
};

class Node {
public:
    using ToControl = std::function<void(inner::FromNode)>;

    // `fromControl` must outlive the node.
    Node(event_base*, NodeSettings, base::Channel<inner::ToNode>& fromControl, ToControl);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    base::Result<NodeAddresses> listen(); // AddressInUse, with the address in the message

    // Graceful shutdown: serves new requests for drainTime while callers move to other nodes, and keeps its upstream
    // available to other nodes for most of it. Then announces draining, closes the listener and waits for active requests
    // and until other nodes have received all answers, at most until gracefulShutdownTimeout. `stopped` is called from the
    // loop.
    void stop(std::function<void()> stopped);

    // --- For an ExtraPort on which the upstream uses another protocol ---

    void announce(const Announcement& it) { m_owner.announce(it); }
    void onUpstreamLeft() { m_owner.onUpstreamLeft(); }
    // Makes control keep that this upstream process leaves. `done` is called later: true once a control process holds it;
    // false after leavingHeldTimeout, and the upstream must not get an acknowledgement.
    void recordLeaving(const config::LeavingUpstream&, std::function<void(bool held)> done);
    bool hasUpstream() const { return m_owner.upstream().has_value(); } // false also after its announcement has expired
    const std::optional<config::LeavingUpstream>& lastLeaving() const { return m_leaving; } // also of an earlier process of this node
    // False: what an earlier process of this node has acknowledged is not known yet.
    bool historyKnown() const { return m_historyKnown; }
    std::function<void()> onHistoryKnown; // called once, from the loop
    std::function<void()> onLeavingLearned; // lastLeaving() is another one, which an earlier process of this node has acknowledged
    std::string metrics() const; // Prometheus text format
    bool ready() const; // has a proven configuration and the endpoints, and is not stopping

private:
    struct PendingLeaving {
        base::Sequence sequence; // of the record that says it
        base::Time since;
        std::function<void(bool held)> done;
    };
    void onControl();
    void onMessage(const inner::SnapshotReleased&);
    void onMessage(const inner::EndpointsChanged&);
    void onMessage(const inner::EndpointListRead&);
    void onMessage(const inner::LeavingHeld&);
    void onMessage(const inner::ControlReachable&);
    void onMessage(const inner::DumpRequested&);
    void announceEndpoint();
    void onSuspectRequestsTold(const std::vector<config::SuspectRequest>&);
    void tellSuspectRequests(const std::vector<config::SuspectRequest>&);
    void relaySuspectRequest(const config::SuspectRequest&);
    bool isPassedOn(const config::SuspectRequest&) const; // over links, besides through control
    void openIngressIfReady();
    void outrankPrevious(base::Incarnation known);
    void learnLeaving(const std::optional<config::LeavingUpstream>&);
    void finishLeaving(const std::function<std::optional<bool>(const PendingLeaving&)>& outcome);
    void onTick();
    base::Time answersDue() const; // with a planned stop: when requests that are still active get a final answer
    void drainOwnerWhenDue(base::Duration stopping);
    nlohmann::json toJson() const;

    event_base* m_loop;
    NodeSettings m_settings;
    base::Channel<inner::ToNode>* m_fromControl;
    ToControl m_toControl;
    base::Incarnation m_incarnation; // of the endpoint record; others of this host's earlier processes are lower
    bool m_outranked = false; // m_incarnation was raised above that of an earlier process
    base::Sequence m_sequence;
    std::optional<config::LeavingUpstream> m_leaving;
    std::vector<PendingLeaving> m_pendingLeaving;
    bool m_historyKnown = false;
    SuspectRegistry m_suspectRequests;
    Peers m_peers;
    Claims m_claims;
    Owner m_owner;
    OwnerLinks m_ownerLinks;
    Ingress m_ingress;
    AnnouncePort m_announcePort;
    NodeAddresses m_addresses;
    std::shared_ptr<const config::Snapshot> m_snapshot;
    event* m_controlReadable = nullptr;
    event* m_tick = nullptr;
    base::Time m_reportedAt;
    base::Time m_suspectRequestsCheckedAt;
    base::Time m_tickedAt = base::steadyNow();
    base::LoopStalls m_stalls;
    bool m_controlReachable = false;
    bool m_endpointsReceived = false; // control has sent the list of endpoints
    bool m_endpointKnown = false; // something was announced, so that its end has to be too
    std::function<void()> m_stopped; // set: stopping
    base::Time m_stopAt;
    bool m_acceptingStopped = false;
    bool m_finalAnswersSent = false;
    bool m_ownerDraining = false;
};

// An additional port on which the upstream or the platform uses another protocol.
class ExtraPort {
public:
    virtual ~ExtraPort() = default;
};
using MakePort = std::function<base::Result<std::unique_ptr<ExtraPort>>(event_base*, Node&, const Node::ToControl&)>;

// Runs a node until SIGTERM or SIGINT; a second signal ends at once. Returns the exit code. `makePort` may be empty.
int runNode(const NodeSettings&, const MakePort& makePort = {});

} // namespace appletally::node
