// The endpoints that a control process knows, and what changed since a subscriber's last word.
//
// Each record has one writer, the node beside the upstream; records travel in any order and any number of times, and
// the later (incarnation, sequence) wins. A record that is not renewed expires here and becomes a tombstone, so that
// subscribers hear of it; the writer's next sign of life brings it back.
//
// The sequence counts contents: equal (incarnation, sequence), equal content. A sign of life without news is a renewal,
// counted by its own beat. Were renewals to raise the sequence, a relay that missed a record but heard the renewal after
// it would refuse that record as old, and an upstream that is draining would stay "ready" there.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/config/endpoint.h"

#include <map>
#include <set>
#include <vector>

namespace appletally::config {

// How far a subscriber has read. Change numbers of two registries, or of one before and after a restart, have nothing
// in common; `registry` tells them apart.
struct EndpointCursor {
    uint64_t registry = 0;
    uint64_t change = 0; // 0: nothing read yet
    uint64_t since = 0; // the last change when the list was last started anew
    bool operator==(const EndpointCursor&) const = default;
};

// One batch for one subscriber.
struct EndpointsDelta {
    EndpointCursor from; // where the subscriber stood; not looked at where `whole`
    EndpointCursor to; // where it stands after this batch
    bool restartsList = false; // starts the list anew: what this batch and the next do not repeat is in doubt
    bool more = false; // ask again at once
    std::vector<Endpoint> endpoints; // state Gone: forget it
};

// The sign of life of a record that has not changed, as relays pass it on to each other.
struct EndpointRenewal {
    base::HostId host;
    base::Incarnation incarnation;
    base::Sequence sequence;
    uint64_t heartbeat = 0; // counted by the writer within one sequence
};

// Tombstones outlive every older record that may still be on its way: records are renewed every two seconds, and a
// subscriber that was away for longer starts anew.
constexpr base::Duration tombstoneLifetime { 60'000 };

// When more records than this run out at once, it is control's links that broke and not a fifth of all upstreams: a
// herd of nodes that waits to be let in again would else be taken out of service everywhere. Callers notice truly dead
// nodes by their own links, so holding the records costs little; three at least, for small meshes.
constexpr int64_t maxExpiredPercent = 20;
constexpr int64_t maxExpiredInSmallMesh = 3;
constexpr base::Duration maxExpiryPause { 600'000 }; // then they go whatever their number

bool expiryIsPaused(int64_t expired, int64_t live);

struct RegistryEntry {
    Endpoint endpoint;
    uint64_t heartbeat = 0; // highest that came
    base::Time renewed; // when the latest record or renewal came, or when it ran out
    bool expired = false; // shown as gone to subscribers; a renewal brings it back
    uint64_t change = 0; // of the last change that subscribers must hear of
    std::set<base::ServiceName> previousServices; // services that the host served before: their subscribers must hear that it left
};

struct EndpointRegistry {
    uint64_t id = 0; // random for each start of the process
    std::map<base::HostId, RegistryEntry> entries;
    std::map<uint64_t, base::HostId> byChange; // invariant: one for each entry, by its `change`
    uint64_t lastChange = 0;
    uint64_t lastDroppedChange = 0; // highest change of a dropped tombstone: who has read less must start anew
};

// Whether it was news: later than what is held, or a sign of life. From the writer with its beat, from another relay
// with beat 0, which renews nothing.
bool put(EndpointRegistry&, const Endpoint&, uint64_t heartbeat, base::Time now);

// False where the record itself is needed first.
bool renew(EndpointRegistry&, const EndpointRenewal&, base::Time now);
std::vector<EndpointRenewal> renewalsSince(const EndpointRegistry&, base::Time since);

// How many ready upstreams run each version of a service.
using ReadyByVersion = std::map<base::UpstreamVersion, size_t>;
std::map<base::ServiceName, ReadyByVersion> readyUpstreams(const EndpointRegistry&);
ReadyByVersion readyUpstreams(const EndpointRegistry&, const base::ServiceName&);

// Turns what ran out into tombstones and drops old tombstones. Returns how many records ran out now.
size_t expire(EndpointRegistry&, base::Time now);

// `services`: null for all. A subscriber whose set grows starts from an empty cursor.
EndpointsDelta changesSince(const EndpointRegistry&, EndpointCursor, const std::set<base::ServiceName>* services, size_t maxEndpoints);

} // namespace appletally::config
