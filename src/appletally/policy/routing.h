// Routing at the caller's node: which upstream of a service gets the next request.
//
// Load pattern: a few upstreams in three availability zones of which one is slow, cold or full, called from many nodes
// that don't know of each other. Without it (round robin): every upstream gets the same number of requests however
// long it takes, so one slow upstream holds a growing part of all calls, and a cold one is buried as it comes up.
//
// The choice: whose turn it is among the versions, by exact shares; then two upstreams of that version at random in the
// node's own zone and two anywhere, and of these the one that is worth most: the chance that the answer comes while it is
// worth most to the caller, less what it costs to carry it from another zone. A request that does not say until when an
// answer is worth most goes where it is expected first. Two at random instead of
// the best of all, because many nodes with the same old news would all run to the same best one.
//
// Upstreams of one service differ in speed, by a factor of three between the slowest and the quickest. Taken for equals, the
// slow ones get as much as they can hold, and their runs alone take most of the time within which an answer is worth most.
// What an upstream's own node has seen of its runs comes with each answer, so a node knows it after one.
#pragma once

#include "appletally/config/endpoint.h"
#include "appletally/config/model.h"
#include "appletally/policy/load.h"
#include "appletally/policy/outlier.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace appletally::policy {

// What an upstream's own node said of the runs of one route there.
struct ToldRun {
    double ms = 0; // the usual run lately, over all callers
    base::Time at;
};

// One upstream of the service as this node knows it.
struct Target {
    config::Endpoint endpoint;
    base::Time readySince; // when this node first saw this incarnation ready
    int inFlight = 0; // sent by this node and not answered
    Load load; // carried by the owner's last answer
    base::Time loadAt; // when that came
    int ofOthers = 0; // of that load, what was not this node's own
    double pace = 1; // moving mean of the time to an answer over the usual one of its route; 2: twice as slow
    base::Time paceAt; // of the last answer that went into it
    std::map<base::RouteName, ToldRun> runs; // bounded by the routes of the configuration
    base::Time absentUntil; // nothing goes there before; it was not found where its record says
};

// What is usual on one route, over all upstreams of the service.
struct RoutePace {
    double mean = 0; // milliseconds to an answer; 0: none yet
    double run = 0; // milliseconds at the upstream alone, as their nodes tell; 0: none yet
    double spread = 0.5; // of single runs around that: the deviation of their logarithms, a moving mean
    double kilobytes = 0; // of an answer, a moving mean
};

constexpr int64_t wholeShare = 1000; // PerMille of all

// Whose turn it is on one route. Each route has its own, or two routes that are asked in turn would send all of one to
// the old version and all of the other to the new.
using Turns = std::map<base::UpstreamVersion, int64_t>; // credits in thousandths; invariant: they add up to 0

// Switches for tests and measurements; a node leaves them as they are.
struct RoutingParts {
    bool speeds = true; // false: upstreams that are less than twice as slow as usual count as equal
    bool worth = true; // false: requests that say within what time an answer is worth most go where it is expected first
};

// What carrying answers costs where that is paid for.
struct RoutingCosts {
    double kilobyteAcrossZones = 0.015; // parts of what an answer in time is worth; 0: nothing
};

// A node's view of one service.
struct Router {
    RoutingParts parts;
    RoutingCosts costs;
    base::ZoneName zone; // the node's own
    std::map<base::HostId, Target> targets;
    std::map<base::UpstreamVersion, base::PerMille> shares; // empty: any version takes traffic
    base::UpstreamVersion standIn; // for versions with a share that have no upstream; empty: none
    std::map<base::RouteName, Turns> turns;
    uint64_t turnSeed = 0;
    std::map<base::RouteName, RoutePace> routes;
    Outliers outliers;
};

struct PickRequest {
    base::RouteName route;
    std::span<const base::HostId> excluded; // those that a retry or hedge has tried
    std::optional<base::UpstreamVersion> only; // a retry after VersionRolledBack asks for the old version
    bool mayProbe = true; // false for requests that can't be repeated: no use trying them on an ejected upstream
    std::optional<base::Duration> within {}; // an answer after this is worth less to the caller, or nothing
};

struct Pick {
    base::HostId host;
    base::UpstreamVersion version;
};

enum class AnswerKind : uint8_t {
    Good,
    Failed, // a whole answer with status 5xx, a cut or malformed one
    Refused, // not run: overloaded or draining
    Silent, // no answer within the limit, or the link broke
    Cancelled, // by us; says nothing about the upstream
    Absent, // not run: no such upstream is at its host's address, or its node cannot be reached
};

struct Answered {
    base::HostId host;
    base::RouteName route;
    AnswerKind kind = AnswerKind::Good;
    base::Duration took {}; // from sending to the whole answer
    std::optional<Load> load; // as carried; none where nothing came back
    base::Bytes size {}; // of the answer's body
    base::Duration ran {}; // of `took`, at the upstream alone; zero: not known
    base::Duration usualRun {}; // of the route there, as the upstream's own node says; zero: not known
};

// Endpoints that are new or have changed; state Gone removes one. Older (incarnation, sequence) are passed over.
void setEndpoints(Router&, std::span<const config::Endpoint>, base::Time now);

// `random` sets where in the sequence of turns this node begins, so that a thousand nodes that boot together don't
// send their first request all to the same version.
void setShares(Router&, std::span<const config::VersionShare>, uint64_t random, const base::UpstreamVersion& standIn = {});

// None: no upstream may take it; of a version that has no upstream left, the turn goes to one with at least its share,
// never to one with less: a new version on trial is not the old one's stand-in. Where that leaves none, to the service's
// stand-in, which has had all traffic before.
// A pick counts as in flight until answered() is called for it, exactly once.
std::optional<Pick> pick(Router&, const PickRequest&, base::Time now, uint64_t random);
void answered(Router&, const Answered&, base::Time now);

// An owner's node told its load of its own accord, so that what it must stop at once (it drains) needs no answer first.
void loadTold(Router&, const base::HostId&, const Load&, base::Time now);

} // namespace appletally::policy
