// A node's side of distribution: one thread with a KJ loop that speaks Cap'n Proto RPC with the control processes and
// serves the node's operator port (state dump).
//
// The node's thread and this one share no sockets or state; they exchange the messages below over two channels. A
// snapshot that is passed to the node has been released by a majority of voters, rebuilt from deltas and validated; the
// node only swaps a pointer. While no control process is reachable, nothing is sent and the node keeps using the
// version that it has applied.
#pragma once

#include "appletally/base/channel.h"
#include "appletally/config/endpoint.h"
#include "appletally/config/evidence.h"
#include "appletally/config/model.h"
#include "appletally/inner/cluster_key.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace appletally::inner {

// To the node's thread.
struct SnapshotReleased {
    std::shared_ptr<const config::Snapshot> snapshot; // its version never decreases
};
struct EndpointsChanged {
    std::vector<config::Endpoint> endpoints; // state Gone: remove it
};
struct ControlReachable {
    bool reachable = false; // false: no control process answered in time
};
// A source's list of endpoints was received to its end.
struct EndpointListRead { };
// A source holds the announced record with this number, which says that an upstream leaves.
struct LeavingHeld {
    base::Sequence sequence;
};
struct DumpRequested {
    uint64_t id = 0; // echoed in DumpAnswered
};
using ToNode = std::variant<SnapshotReleased, EndpointsChanged, EndpointListRead, LeavingHeld, ControlReachable, DumpRequested>;

// From the node's thread.
struct EndpointAnnounced {
    config::Endpoint endpoint; // the link renews it periodically until it is replaced
};
struct AppliedVersionChanged {
    base::ConfigVersion version;
};
struct EvidenceCollected {
    std::vector<config::Evidence> evidence;
};
struct DumpAnswered {
    uint64_t id = 0;
    std::string json;
};
// The settings list additional sources of content.
struct SourcesConfigured {
    std::vector<base::Address> sources;
};
using FromNode = std::variant<EndpointAnnounced, AppliedVersionChanged, EvidenceCollected, DumpAnswered, SourcesConfigured>;

struct ControlLinkSettings {
    Membership membership;
    base::ZoneName zone;
    base::RegionName region;
    std::vector<base::Address> voters; // a majority of these confirms the minimum version at start
    std::vector<base::Address> sources; // serve content: relays, or the voters in a small mesh
    base::Address operators; // listen address of the operator port; port 0: chosen by the system
};

class ControlLink {
public:
    // Starts the thread. `toNode` must outlive the link.
    ControlLink(ControlLinkSettings, base::Channel<ToNode>& toNode);
    ~ControlLink(); // reports the node's departure, then stops and joins the thread; takes at most 500 ms
    ControlLink(const ControlLink&) = delete;
    ControlLink& operator=(const ControlLink&) = delete;

    void send(FromNode); // called from the node's thread
    base::Result<base::Address> operatorsAddress(); // blocks until the port listens. Errors: AddressInUse, SettingsOutOfRange

private:
    struct Task;
    std::unique_ptr<Task> m_task;
};

} // namespace appletally::inner
