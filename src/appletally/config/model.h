// The content of a configuration version, as plain structs. A node applies a Snapshot as a whole or not at all.
//
// The keys of the maps repeat the name inside the value; validate() checks that both are equal. The maps are ordered, so
// that the same answers always give the same bytes.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace appletally::config {

// The order in which waiting requests run when slots are short: lower values run before higher ones.
enum class Priority : uint8_t {
    Command, // someone is waiting beside a machine: plug commands, pauses, donations
    Lookup, // short reads that other services wait for: tariffs, internal route lists
    Read, // users refreshing a page: berth status, loaf choices
    Archive, // long, large answers: consumption archives, bake sheets
};
constexpr size_t priorityCount = 4;

// A weighted part of a route's traffic.
struct RouteSplit {
    base::ServiceName service; // invariant: a service of the same Snapshot
    int weight = 0; // relative to the other parts; 0: no traffic
    bool operator==(const RouteSplit&) const = default;
};

struct Route {
    base::RouteName name;
    base::ServiceName service; // invariant: a service of the same Snapshot
    std::string method; // "GET", "POST", ... or "*"
    std::string pathPrefix; // starts with '/'; the longest prefix wins. "/a" matches "/a" and paths below it, "/a/" only paths below it
    bool idempotent = false; // false: runs at most once, and needs an Idempotency-Key to be resent
    Priority priority = Priority::Read;
    base::Duration timeout { 2000 }; // maximum wait of a caller; its own header may shorten it
    base::Duration expected { 20 }; // usual run time at the upstream
    base::Bytes maxRequestBody { 64 * 1024 };
    std::vector<base::CallerId> callers; // kinds of callers named in the questionnaire; empty: anyone

    // Can be set by a whole document only.
    std::string host; // as named by callers, in lower case and without a port; empty: any
    std::vector<RouteSplit> splits; // empty: all traffic goes to `service`
    base::Duration target {}; // target latency: a later answer is of less value to the caller; zero: none
    int maxAttempts = 3; // upstreams that one request may be sent to; with three availability zones, one in each
    bool operator==(const Route&) const = default;
};

struct VersionShare {
    base::UpstreamVersion version;
    base::PerMille share; // invariant: the shares of a service add up to 1000
    bool operator==(const VersionShare&) const = default;
};

struct Service {
    base::ServiceName name;
    std::vector<base::ServiceName> dependsOn; // invariant: services of the same Snapshot, without a cycle
    int slots = 10; // concurrent requests of one upstream, unless it announces fewer
    int maxConnections = 100; // connections that one upstream accepts
    std::vector<VersionShare> versions; // empty: any announced version takes traffic
    base::UpstreamVersion fallbackVersion; // had all traffic before; takes requests while no version with a share has an upstream. Empty: none
    base::PerMille retryBudget { 100 }; // retries per thousand first attempts
    base::Duration coldWindow {}; // an upstream is cold for this long after its start
    base::RequestRate coldRate; // that a cold upstream takes from all hosts together; 0: no limit
    bool repeatsRequestId = false; // its upstreams repeat the id of each send in the answer; one without it is broken
    bool operator==(const Service&) const = default;
};

// When a new version counts as bad compared with the old one. From the questionnaire.
struct RegressionThresholds {
    base::PerMille failures { 20 }; // failures above the old version's rate
    int latencyPercent = 200; // of the old version's latency at the same load; 200: twice as slow
    bool operator==(const RegressionThresholds&) const = default;
};

// A running rollout. Finished ones are removed from the Snapshot; control processes keep their history.
struct Rollout {
    base::RolloutId id;
    base::ServiceName service;
    base::UpstreamVersion from;
    base::UpstreamVersion to;
    base::PerMille share; // current share of `to`; equal to that in the Service's versions
    base::PerMille maxTrialShare { 50 }; // while there is little evidence
    base::WallTime completeBy;
    RegressionThresholds thresholds;
    bool operator==(const Rollout&) const = default;
};

struct Keeper {
    base::HostId host;
    base::Address inner; // where its node accepts links from other nodes
    bool operator==(const Keeper&) const = default;
};

// The nodes that hold claims of non-idempotent requests, agreed on by the replicated log.
struct KeeperSet {
    base::KeeperSetNumber number; // 0: no set agreed on yet, so no keyed request may run
    std::vector<Keeper> members; // sorted by host
    std::vector<Keeper> previous; // not empty while the set changes: both sets must grant a claim
    bool operator==(const KeeperSet&) const = default;
};

// What a deployment optimizes for; generate() derives the timing below from it.
enum class OptimizationGoal : uint8_t {
    SpeedAndRollback, // Marsa Volt: convergence time and rollback of bad versions
    CompletionAndBytes, // Hlyab za Vsichki: completion of rollouts over early evidence, and bytes of control traffic
};

struct ControlTiming {
    OptimizationGoal goal = OptimizationGoal::SpeedAndRollback;
    base::Duration batch { 20 }; // control processes wait this long for further changes before they send one delta
    base::Duration report { 200 }; // nodes send evidence at most this often
    bool operator==(const ControlTiming&) const = default;
};

// Limits of callers' requests and connections. Zero: the node's own setting applies.
struct CallerLimits {
    base::Bytes header; // start line and header fields of a request together
    base::Bytes body; // of a request
    base::Duration headerTime; // from a request's first byte to the end of its header
    base::Duration idleTime; // of a connection between requests
    bool operator==(const CallerLimits&) const = default;
};

// Sum of the hashes of all parts of a snapshot. Stored with the snapshot, so that the check of a delta hashes only the
// parts that changed: hashing 300 routes takes 3 ms of a core. Code that changes a part directly must clear it. Not
// compared by operator==, since equal contents have equal sums.
struct ContentSum {
    uint64_t value = 0;
    bool known = false;
    bool operator==(const ContentSum&) const { return true; }
};

constexpr size_t maxEvacuatedZones = 64; // more zones than any mesh has

struct Snapshot {
    base::ConfigVersion version; // 0: nothing accepted yet
    std::map<base::ServiceName, Service> services;
    std::map<base::RouteName, Route> routes;
    std::map<base::RolloutId, Rollout> rollouts;
    KeeperSet keepers;
    ControlTiming timing;
    CallerLimits callerLimits;
    std::set<base::ZoneName> evacuatedZones; // availability zones whose upstreams get no requests
    ContentSum sum; // invariant: if known, covers all members above except the version
    bool operator==(const Snapshot&) const = default;
};

// Whether a rollout of this service is running. Evidence about the service is used only then.
bool rolloutRuns(const Snapshot&, const base::ServiceName&);

} // namespace appletally::config
