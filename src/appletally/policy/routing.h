// Routing at the ingress: which upstream of a service gets the next request.
//
// Load pattern: a few upstreams in three availability zones of which one is slow, cold or full, called from many nodes
// that don't coordinate. Without it (round robin) every upstream gets the same number of requests however long it
// takes, so one slow upstream holds a growing part of all calls, and a cold one is overloaded as it starts.
//
// The choice: first the version, by exact shares; then the best of two upstreams of that version at random in the
// node's own zone and two anywhere. Best is the highest expected value: the probability of an answer within the target
// latency, less the cost of carrying it from another zone. A request without a target latency goes where its answer is
// expected first. Random candidates instead of the best of all, because many nodes with the same outdated load reports
// would all pick the same one.
//
// Upstreams of one service differ in speed, by a factor of three between the slowest and the fastest. Treated as equal,
// the slow ones get as much as they can hold, and their runs alone take most of the target latency. Each answer carries
// the run time that the upstream's owner observed, so one answer is enough to know it.
#pragma once

#include "appletally/config/endpoint.h"
#include "appletally/config/model.h"
#include "appletally/policy/load.h"
#include "appletally/policy/outlier.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace appletally::policy {

// Run time of one route at one upstream, as reported by its owner.
struct ReportedRun {
    double ms = 0; // usual recent run, over all callers
    base::Time at;
};

// One upstream of the service as this node knows it.
struct Target {
    config::Endpoint endpoint;
    base::Time readySince; // when this node first saw this incarnation ready
    int inFlight = 0; // sent by this node and not answered
    Load load; // carried by the owner's last answer
    base::Time loadAt; // when that arrived
    int otherLoad = 0; // the part of that load that was not sent by this node
    double latencyRatio = 1; // moving mean of the time to an answer over the usual one of its route; 2: twice as slow
    base::Time latencyRatioAt; // of the last answer that updated latencyRatio
    std::map<base::RouteName, ReportedRun> runs; // bounded by the routes of the configuration
    base::Time absentUntil; // no requests before this time; the upstream was not found at its registered host
};

// Usual latency of one route, over all upstreams of the service.
struct RouteLatency {
    double mean = 0; // milliseconds to an answer; 0: none yet
    double run = 0; // milliseconds at the upstream alone, as reported by the owners; 0: none yet
    double spread = 0.5; // standard deviation of the logarithm of single runs over the usual run, a moving mean
    double kilobytes = 0; // of an answer, a moving mean
};

constexpr int64_t totalShare = 1000; // the sum of all shares, in thousandths

// Smooth weighted round robin over the versions of one route. Each route has its own credits: with common ones, two
// routes called alternately would send all requests of one to the old version and all of the other to the new.
using VersionCredits = std::map<base::UpstreamVersion, int64_t>; // credits in thousandths; invariant: they add up to 0

// Switches for tests and measurements; a node keeps the defaults.
struct RoutingOptions {
    bool useRunTimes = true; // false: upstreams that are less than twice as slow as usual count as equal
    bool useRates = true; // false: an upstream that takes a limited rate counts as one of few slots
    bool useTargetLatency = true; // false: requests with a target latency also go where their answer is expected first
};

// The cost of traffic between availability zones.
struct RoutingCosts {
    double kilobyteAcrossZones = 0.015; // as a part of the value of an answer in time; 0: free
};

// A node's view of one service.
struct Router {
    RoutingOptions options;
    RoutingCosts costs;
    base::ZoneName zone; // the node's own
    std::set<base::ZoneName> evacuatedZones; // their targets get no requests
    std::map<base::HostId, Target> targets;
    std::map<base::UpstreamVersion, base::PerMille> shares; // empty: any version takes traffic
    base::UpstreamVersion fallbackVersion; // for versions with a share that have no upstream; empty: none
    std::map<base::RouteName, VersionCredits> versionCredits;
    uint64_t creditSeed = 0;
    std::map<base::RouteName, RouteLatency> routes;
    Outliers outliers;
};

struct PickRequest {
    base::RouteName route;
    std::span<const base::HostId> excluded; // hosts of earlier attempts of a retry or hedge
    std::optional<base::UpstreamVersion> onlyVersion; // a retry after VersionRolledBack requests the old version
    bool mayProbe = true; // false for requests that can't be repeated: they must not probe an ejected upstream
    std::optional<base::Duration> targetLatency {}; // an answer after this is late and of less value, or none, to the caller
    std::optional<base::RequestDigest> suspect {}; // under which upstreams have ended: all nodes pick the same upstream for it, which runs it once at a time
};

struct Pick {
    base::HostId host;
    base::UpstreamVersion version;
};

enum class AnswerKind : uint8_t {
    Good,
    Failed, // a complete answer with status 5xx, a truncated or malformed one
    Refused, // not run: overloaded or draining
    Silent, // no answer within the timeout, or the link broke
    Cancelled, // by this node; says nothing about the upstream
    Absent, // not run: no such upstream at its host's address, or its node cannot be reached
};

struct AnswerReport {
    base::HostId host;
    base::RouteName route;
    AnswerKind kind = AnswerKind::Good;
    base::Duration elapsed {}; // from sending to the complete answer
    std::optional<Load> load; // carried by the answer; none without an answer
    base::Bytes size {}; // of the answer's body
    base::Duration runTime {}; // the part of `elapsed` at the upstream alone; zero: unknown
    base::Duration usualRun {}; // of the route there, as reported by the owner; zero: unknown
};

// New or changed endpoints; state Gone removes one. Older (incarnation, sequence) are ignored.
void setEndpoints(Router&, std::span<const config::Endpoint>, base::Time now);

// `random` sets the position in the sequence of versions at which this node starts, so that a thousand nodes that boot
// together don't all send their first request to the same version.
void setShares(Router&, std::span<const config::VersionShare>, uint64_t random, const base::UpstreamVersion& fallbackVersion = {});

// None: no upstream can take the request. If a version has no upstream left, its requests go to a version with at least
// its share, never to one with less: a new version on trial must not replace the old one. If there is none, they go to
// the fallback version, which had all traffic before. A pick counts as in flight until answered() is called for it,
// exactly once.
std::optional<Pick> pick(Router&, const PickRequest&, base::Time now, uint64_t random);
void answered(Router&, const AnswerReport&, base::Time now);

// An owner reported its load without a request, so that a draining owner gets no more requests from this node before
// its next answer.
void loadReported(Router&, const base::HostId&, const Load&, base::Time now);

} // namespace appletally::policy
