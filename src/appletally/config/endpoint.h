// An upstream as announced by its own node. Endpoints change often and are not part of the replicated log.
//
// Each record has one writer, the node beside the upstream. The higher (incarnation, sequence) wins, so that records
// may be reordered, duplicated or late. A record that is not renewed expires.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/config/suspect_request.h"

#include <optional>
#include <string>
#include <vector>

namespace appletally::config {

enum class EndpointState : uint8_t {
    Starting, // announced; takes no requests yet
    Ready,
    Draining, // finishes its running requests; takes no new ones
    Gone,
};

// An upstream process of which its node has acknowledged that it leaves. Other processes keep it, because the node's next
// process may receive messages that the upstream sent before.
struct LeavingUpstream {
    std::string id;
    uint64_t startedAtMs = 0; // 0: not known
    uint64_t sequence = 0; // of its message; earlier ones of the same start are void
    bool operator==(const LeavingUpstream&) const = default;
};

constexpr uint64_t afterAllMessages = UINT64_MAX; // LeavingUpstream::sequence of one that has deregistered

// Of the leavings that two records of a host name, the one that voids more messages. A record without a leaving takes none
// back: its writer may have restarted and not know it.
std::optional<LeavingUpstream> laterLeaving(const std::optional<LeavingUpstream>&, const std::optional<LeavingUpstream>&);

struct Endpoint {
    base::HostId host; // key: one upstream per host
    base::ServiceName service;
    base::UpstreamVersion version; // software version of the upstream
    base::ZoneName zone;
    base::RegionName region;
    base::Address inner; // where the host's node takes links from other nodes
    int slots = 0; // announced maximum of concurrent requests
    EndpointState state = EndpointState::Starting;
    base::Incarnation incarnation; // start of the node that writes the record
    base::Sequence sequence; // numbers that node's records
    std::vector<SuspectRequest> suspects; // as this host has seen or acquitted them; bounded, empty in calm
    std::optional<LeavingUpstream> leaving; // the last one at this host; kept while its successor runs
};

// How long a record lives without renewal, and how often it is renewed. Up to three renewals may be lost. Other nodes
// detect a dead node much earlier by its broken or silent link; this only limits how long its record is kept.
constexpr base::Duration endpointLifetime { 8000 };
constexpr base::Duration endpointRenewalInterval { 2000 };

} // namespace appletally::config
