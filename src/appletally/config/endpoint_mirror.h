// The endpoints as a node holds them, fed by one source at a time and by another after a reconnect.
//
// A source that has just restarted knows few endpoints. Taken at its word, its first list would empty the node and all
// callers would be refused for want of upstreams; so what a new list does not repeat is only in doubt, and goes after
// the time within which its writer must have renewed it.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/endpoint_registry.h"

#include <map>
#include <optional>
#include <vector>

namespace appletally::config {

struct MirrorEntry {
    Endpoint endpoint; // state Gone: kept, so that an older record from another source does not bring it back
    std::optional<base::Time> doubted; // since when the source's list lacks it
    base::Time goneAt; // only where it is gone
};

struct EndpointMirror {
    EndpointCursor cursor; // what to ask the source from; set it empty where the set of services grows
    std::map<base::HostId, MirrorEntry> entries;
};

// Returns what is news for the node's task. On an error nothing has changed:
//   VersionTooOld    doubled or overtaken; harmless
//   DeltaMismatch    one before it is missing; ask from `cursor`
base::Result<std::vector<Endpoint>> applyEndpoints(EndpointMirror&, const EndpointsDelta&, base::Time now);

// While the source is linked: drops what was in doubt for too long, returns it as Gone. Not to be called without a
// source: then nothing is known, and what is held stays. The hold of expiryIsHeld() applies.
std::vector<Endpoint> dropDoubted(EndpointMirror&, base::Time linkedSince, base::Time now);

} // namespace appletally::config
