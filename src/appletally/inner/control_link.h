// A node's side of distribution: one thread with a KJ loop that speaks Cap'n Proto RPC with control, and serves the
// node's own operators' port (state dump).
//
// The node's task and this one own their sockets and state and talk by the messages below, over two channels. A
// snapshot that arrives here has been released by a majority of voters, rebuilt from deltas and checked whole; the
// node only swaps a pointer. With control gone nothing is sent, and the node keeps serving what it has.
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

// To the node's task.
struct SnapshotReleased {
    std::shared_ptr<const config::Snapshot> snapshot; // version never lower than one sent before
};
struct EndpointsChanged {
    std::vector<config::Endpoint> endpoints; // state Gone: forget it
};
struct ControlReachable {
    bool reachable = false; // false: no control process answered within its limit
};
struct DumpRequested {
    uint64_t id = 0; // to be repeated in DumpAnswered
};
using ToNode = std::variant<SnapshotReleased, EndpointsChanged, ControlReachable, DumpRequested>;

// From the node's task.
struct EndpointAnnounced {
    config::Endpoint endpoint; // the link renews it by itself until the next one
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
// The settings name further sources of content.
struct SourcesConfigured {
    std::vector<base::Address> sources;
};
using FromNode = std::variant<EndpointAnnounced, AppliedVersionChanged, EvidenceCollected, DumpAnswered, SourcesConfigured>;

struct ControlLinkSettings {
    Membership membership;
    base::ZoneName zone;
    base::RegionName region;
    std::vector<base::Address> voters; // proof of the boot version comes from a majority of these
    std::vector<base::Address> sources; // where content comes from: relays, or the voters in a small mesh
    base::Address operators; // listens here; port 0 lets the system choose
};

class ControlLink {
public:
    // Starts the thread. `toNode` must outlive the link.
    ControlLink(ControlLinkSettings, base::Channel<ToNode>& toNode);
    ~ControlLink(); // says that the node leaves, stops the thread and joins it; at most half a second
    ControlLink(const ControlLink&) = delete;
    ControlLink& operator=(const ControlLink&) = delete;

    void send(FromNode); // from the node's task
    base::Result<base::Address> operatorsAddress(); // waits until the port listens; AddressInUse otherwise

private:
    struct Task;
    std::unique_ptr<Task> m_task;
};

} // namespace appletally::inner
