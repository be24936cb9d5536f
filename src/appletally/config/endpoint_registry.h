// The endpoints known to a control process, and their changes since a subscriber's last read.
//
// Each record has one writer, the node beside the upstream. Records may arrive in any order and any number of times; the
// higher (incarnation, sequence) wins. A record that is not renewed expires and becomes a tombstone, so that subscribers
// are notified; the writer's next heartbeat restores it. The leaving of an upstream outlives the record that told of it:
// the later one is kept whatever the order of records.
//
// The sequence numbers contents: records of equal (incarnation, sequence) have equal content. A renewal without a change
// has a heartbeat number of its own. If renewals raised the sequence, a relay that missed a record but received the
// renewal after it would reject that record as old, and a draining upstream would stay "ready" there.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/config/endpoint.h"

#include <map>
#include <set>
#include <vector>

namespace appletally::config {

// How far a subscriber has read. Change numbers of different registries, or of one before and after a restart, are not
// comparable; `registry` distinguishes them.
struct EndpointCursor {
    uint64_t registry = 0;
    uint64_t change = 0; // 0: nothing read yet
    uint64_t since = 0; // the registry's last change when the list was last restarted
    bool operator==(const EndpointCursor&) const = default;
};

// One batch for one subscriber.
struct EndpointsDelta {
    EndpointCursor from; // the subscriber's position before this batch; ignored with `restartsList`
    EndpointCursor to; // its position after this batch
    bool restartsList = false; // endpoints that this batch and the following ones do not repeat are unconfirmed
    bool more = false; // request the next batch at once
    std::vector<Endpoint> endpoints; // state Gone: remove it
};

// Renews a record that has not changed; relays forward it to each other.
struct EndpointRenewal {
    base::HostId host;
    base::Incarnation incarnation;
    base::Sequence sequence;
    uint64_t heartbeat = 0; // counted by the writer within one sequence number
};

// Tombstones outlive every older record that may still be in flight: records are renewed every two seconds, and a
// subscriber that was disconnected for longer restarts its list.
constexpr base::Duration tombstoneLifetime { 60'000 };

// If more records than this expire at once, the links of the control processes broke rather than a fifth of all
// upstreams; without a pause, many nodes waiting to reconnect would be taken out of service everywhere. Other nodes
// detect dead nodes by their own links, so keeping the records costs little. In small meshes three may always expire.
constexpr int64_t maxExpiredPercent = 20;
constexpr int64_t maxExpiredInSmallMesh = 3;
constexpr base::Duration maxExpiryPause { 600'000 }; // after this, records expire whatever their number

bool expiryIsPaused(int64_t expired, int64_t live);

struct RegistryEntry {
    Endpoint endpoint;
    uint64_t heartbeat = 0; // highest received
    base::Time renewed; // when the latest record or renewal arrived, or when the record expired
    bool expired = false; // sent to subscribers as gone; a renewal restores it
    uint64_t change = 0; // number of the last change that subscribers must receive
    std::set<base::ServiceName> previousServices; // served by the host before; their subscribers must learn that it left
};

struct EndpointRegistry {
    uint64_t id = 0; // random for each start of the process
    std::map<base::HostId, RegistryEntry> entries;
    std::map<uint64_t, base::HostId> byChange; // invariant: one for each entry, by its `change`
    uint64_t lastChange = 0;
    uint64_t lastDroppedChange = 0; // highest change of a dropped tombstone; a subscriber that has read less restarts its list
};

// Returns whether the registry changed: a later record, or a renewal. Records from the writer carry its heartbeat
// number, those from another relay 0, which renews nothing.
bool put(EndpointRegistry&, const Endpoint&, uint64_t heartbeat, base::Time now);

// False: the record itself is missing and needed first.
bool renew(EndpointRegistry&, const EndpointRenewal&, base::Time now);
std::vector<EndpointRenewal> renewalsSince(const EndpointRegistry&, base::Time since);

// Number of ready upstreams by version of a service.
using ReadyByVersion = std::map<base::UpstreamVersion, size_t>;
std::map<base::ServiceName, ReadyByVersion> readyUpstreams(const EndpointRegistry&);
ReadyByVersion readyUpstreams(const EndpointRegistry&, const base::ServiceName&);

// Turns expired records into tombstones and drops old tombstones. Returns how many records expired now.
size_t expire(EndpointRegistry&, base::Time now);

// `services`: null for all. A subscriber whose set of services grows starts from an empty cursor.
EndpointsDelta changesSince(const EndpointRegistry&, EndpointCursor, const std::set<base::ServiceName>* services, size_t maxEndpoints);

} // namespace appletally::config
