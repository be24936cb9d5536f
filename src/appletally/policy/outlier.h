// Outlier detection: an ingress ejects failing upstreams for a while, as a whole or on one route, or a whole version on
// one route.
//
// Load pattern: one upstream whose store is gone answers every request at once with an error, and so looks idle. Or a
// new version fails on one route only. Without this the failing upstream attracts more traffic than the good ones, and
// a failure on one route either persists or costs the upstream all its other routes.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <map>
#include <utility>

namespace appletally::policy {

// Recent results of one host, host and route, or version and route.
struct Health {
    double failureRate = 0; // moving share of failed answers, 0 to 1
    int answers = 0; // counted up to what an ejection and its reset need
    bool ejected = false;
    base::Time probeAt; // while ejected: one request may probe from then on
    bool probing = false; // the probe is in flight
    int ejections = 0; // in a row; each doubles the ejection time
};

struct Subject {
    base::HostId host;
    base::UpstreamVersion version;
    base::RouteName route;
};

struct Outliers {
    std::map<base::HostId, Health> hosts;
    std::map<std::pair<base::HostId, base::RouteName>, Health> hostRoutes;
    std::map<std::pair<base::UpstreamVersion, base::RouteName>, Health> versionRoutes;
};

enum class HostStatus : uint8_t {
    Active,
    ProbeDue, // ejected, but one request may probe; claim it with beginProbe()
    Ejected,
};

HostStatus statusOf(const Outliers&, const Subject&, base::Time now); // of the host in general and on this route
bool isVersionEjected(const Outliers&, const base::UpstreamVersion&, const base::RouteName&, base::Time now);
void beginProbe(Outliers&, const Subject&, base::Time now);

// Results of the other upstreams that could take this route.
struct PeerHealth {
    int hosts = 0;
    int ejected = 0; // of them, ejected already
    double failureRate = 0; // mean moving share of their failed answers on this route
};
double failureRateOf(const Outliers&, const Subject&); // of this host on this route

// A host is ejected only if the others are healthy: if all fail, a shared dependency is down, and each ejection adds to
// the load of the rest. Never more than a third is ejected. Returns true if something was ejected.
bool observe(Outliers&, const Subject&, bool failed, const PeerHealth&, base::Time now);
void cancelProbe(Outliers&, const Subject&); // a probe ended without a result
void removeHost(Outliers&, const base::HostId&);

} // namespace appletally::policy
