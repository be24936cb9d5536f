// What a configuration version says, as plain structs. A node applies one Snapshot whole or not at all.
//
// Keys of the maps repeat the name inside the value: lookups read well and the check in validate() holds both equal.
// Ordered maps, so that the same answers always give the same bytes.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <map>
#include <string>
#include <vector>

namespace appletally::config {

// Who goes first when there is not room for all. The order matters: lower is served before higher.
enum class Priority : uint8_t {
    Command, // someone waits beside a machine: plug commands, pauses, donations
    Lookup, // short reads that other services wait for: tariffs, internal route lists
    Read, // people refreshing: berth status, loaf choices
    Archive, // long, large answers: consumption archives, bake sheets
};
constexpr size_t priorityCount = 4;

// A part of a route's traffic.
struct RouteSplit {
    base::ServiceName service; // invariant: a service of the same Snapshot
    int weight = 0; // relative to the other parts; 0: none of it
    bool operator==(const RouteSplit&) const = default;
};

struct Route {
    base::RouteName name;
    base::ServiceName service; // invariant: a service of the same Snapshot
    std::string method; // "GET", "POST", ... or "*"
    std::string pathPrefix; // starts with '/'; the longest prefix wins. "/a" covers "/a" and what is below it, "/a/" only what is below
    bool idempotent = false; // false: runs at most once, and needs an Idempotency-Key to be resent
    Priority priority = Priority::Read;
    base::Duration timeout { 2000 }; // the longest that a caller waits; its own header may shorten it
    base::Duration expected { 20 }; // usual run at the upstream
    base::Bytes maxRequestBody { 64 * 1024 };
    std::vector<base::CallerId> callers; // kinds of callers named in the questionnaire; empty: anyone

    // What only a whole document can say.
    std::string host; // that callers name, in lower case and without a port; empty: any
    std::vector<RouteSplit> splits; // empty: all of it goes to `service`
    base::Duration target {}; // an answer within this is worth most to the caller; zero: not said
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
    int slots = 10; // requests that one upstream runs at once, unless it announces fewer
    int maxConnections = 100; // connections that one upstream takes
    std::vector<VersionShare> versions; // empty: any announced version takes traffic
    base::UpstreamVersion fallbackVersion; // had all traffic before; takes what no version with a share has an upstream for. Empty: none
    base::PerMille retryBudget { 100 }; // retries per thousand first tries
    bool operator==(const Service&) const = default;
};

// What counts as bad, from the questionnaire.
struct RegressionThresholds {
    base::PerMille failures { 20 }; // failures beyond the old version's that nobody accepts
    int latencyPercent = 200; // of the old version's latency at the same load; 200: twice as slow
    bool operator==(const RegressionThresholds&) const = default;
};

// A rollout under way. Finished ones are gone from the Snapshot; control keeps their history.
struct Rollout {
    base::RolloutId id;
    base::ServiceName service;
    base::UpstreamVersion from;
    base::UpstreamVersion to;
    base::PerMille share; // of `to` now; the Service's versions say the same
    base::PerMille maxTrialShare { 50 }; // as long as the evidence is thin
    base::WallTime completeBy;
    RegressionThresholds thresholds;
    bool operator==(const Rollout&) const = default;
};

struct Keeper {
    base::HostId host;
    base::Address inner; // where its node takes links
    bool operator==(const Keeper&) const = default;
};

// The nodes that keep claims of non-idempotent requests, agreed by the replicated log.
struct KeeperSet {
    base::KeeperSetNumber number; // 0: none agreed yet, so no keyed request may run
    std::vector<Keeper> members; // sorted by host
    std::vector<Keeper> previous; // not empty while the set changes: both must grant
    bool operator==(const KeeperSet&) const = default;
};

// What a deployment weighs more; the generator turns it into the pace below.
enum class OptimizationGoal : uint8_t {
    SpeedAndRollback, // Marsa Volt: convergence time and bad versions taken back
    CompletionAndBytes, // Hlyab za Vsichki: completion before first proof, and control bytes
};

struct ControlTiming {
    OptimizationGoal goal = OptimizationGoal::SpeedAndRollback;
    base::Duration batch { 20 }; // control waits this long for further changes before it sends one delta
    base::Duration report { 200 }; // nodes send evidence at most this often
    bool operator==(const ControlTiming&) const = default;
};

// What callers may send and how long they may take. Zero: the node's own settings hold.
struct CallerLimits {
    base::Bytes header; // start line and header fields of a request together
    base::Bytes body; // of a request
    base::Duration headerTime; // from a request's first byte to the end of its head
    base::Duration idleTime; // of a connection between requests
    bool operator==(const CallerLimits&) const = default;
};

// Sum of the hashes of all parts of a snapshot. Kept with it (whoever changes a part by hand clears it), so that checking a delta costs what changes and not the
// whole: 300 routes took 3 ms of a core to hash anew. Says nothing by itself: equal contents have equal sums.
struct ContentSum {
    uint64_t value = 0;
    bool known = false;
    bool operator==(const ContentSum&) const { return true; }
};

struct Snapshot {
    base::ConfigVersion version; // 0: nothing accepted yet
    std::map<base::ServiceName, Service> services;
    std::map<base::RouteName, Route> routes;
    std::map<base::RolloutId, Rollout> rollouts;
    KeeperSet keepers;
    ControlTiming timing;
    CallerLimits callerLimits;
    ContentSum sum; // invariant: where known, of all above but the version
    bool operator==(const Snapshot&) const = default;
};

// Whether a rollout moves this service's traffic now. Only then does anybody decide by evidence about it.
bool rolloutRuns(const Snapshot&, const base::ServiceName&);

} // namespace appletally::config
