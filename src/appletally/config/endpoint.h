// One upstream as its own node announces it. Endpoints churn and stay out of the replicated log.
//
// Each record has one writer, the node beside the upstream. The later (incarnation, sequence) wins, so that records
// may cross, double or arrive late; one that is not renewed expires.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

namespace appletally::config {

enum class EndpointState : uint8_t {
    Starting, // announced, not yet to be given work
    Ready,
    Draining, // finishes what it has; gets no new work
    Gone,
};

struct Endpoint {
    base::HostId host; // key: one upstream per host
    base::ServiceName service;
    base::UpstreamVersion version; // software version of the upstream
    base::ZoneName zone;
    base::RegionName region;
    base::Address inner; // where the host's node takes links from other nodes
    int slots = 0; // announced ceiling of requests at once
    EndpointState state = EndpointState::Starting;
    base::Incarnation incarnation; // start of the node that writes the record
    base::Sequence sequence; // counts that node's records
};

// How long a record lives without renewal, and how often it is renewed. Callers notice a dead node from its broken or
// silent link long before; this only bounds how long a dead record is carried. Three renewals may be lost.
constexpr base::Duration endpointLifetime { 8000 };
constexpr base::Duration endpointRenewalInterval { 2000 };

} // namespace appletally::config
