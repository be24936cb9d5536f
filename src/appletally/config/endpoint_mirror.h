// A node's copy of the endpoints, updated by one source at a time and by another one after a reconnect.
//
// A source that has just restarted knows few endpoints. If its first list replaced the node's copy, all callers would be
// rejected for lack of upstreams. So an endpoint that a new list does not repeat is only marked as unconfirmed, and is
// removed after the time within which its writer must have renewed it.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/endpoint_registry.h"

#include <map>
#include <optional>
#include <vector>

namespace appletally::config {

struct MirrorEntry {
    Endpoint endpoint; // state Gone: kept as a tombstone, so that an older record from another source does not restore it
    std::optional<base::Time> unconfirmedSince; // when a new list of the source started; empty: the list contains it
    base::Time removedAt; // valid in state Gone only
};

struct EndpointMirror {
    EndpointCursor cursor; // where to continue reading from the source; reset it when the set of services grows
    std::map<base::HostId, MirrorEntry> entries;
};

// Returns the endpoints that changed. On an error nothing has changed:
//   VersionTooOld    duplicated or late; harmless
//   DeltaMismatch  an earlier delta is missing; request again from `cursor`
base::Result<std::vector<Endpoint>> applyEndpoints(EndpointMirror&, const EndpointsDelta&, base::Time now);

// Removes endpoints that were unconfirmed for endpointLifetime and returns them in state Gone. To be called only while a
// source is linked: without one nothing is known and all endpoints stay. Pauses as expiryIsPaused() says.
std::vector<Endpoint> expireUnconfirmed(EndpointMirror&, base::Time linkedSince, base::Time now);

} // namespace appletally::config
