// Which upstreams a caller's node leaves out for a while because they fail: as a whole, on one route, or a whole
// version on one route.
//
// Load pattern: one upstream whose store is gone answers every request at once with an error, and looks idle for it. A
// new version fails on one route only. Without this the failing one draws more traffic than the good ones, and a
// failure on one route is either suffered or costs the upstream all its other routes.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"

#include <map>
#include <utility>

namespace appletally::policy {

// How one subject has answered lately.
struct Health {
    double failureRate = 0; // moving share of failed answers, 0 to 1
    int answers = 0; // counted up to what an ejection needs
    bool ejected = false;
    base::Time probeAt; // while ejected: one request may go there from then on
    bool probing = false; // that request is under way
    int ejections = 0; // in a row; each doubles the time out
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
    ProbeDue, // out, but one request may try; take it with beginProbe()
    Ejected,
};

HostStatus statusOf(const Outliers&, const Subject&, base::Time now); // of the host in general and on this route
bool isVersionEjected(const Outliers&, const base::UpstreamVersion&, const base::RouteName&, base::Time now);
void beginProbe(Outliers&, const Subject&, base::Time now);

// How the other upstreams that could take this route do.
struct PeerHealth {
    int hosts = 0;
    int ejected = 0; // of them, ejected already
    double failureRate = 0; // mean moving share of their failed answers on this route
};
double failureRateOf(const Outliers&, const Subject&); // of this host on this route

// A host is ejected only where the others do well: if all fail, what they depend on is down, and each one less makes
// it worse for the rest. Never more than a third is out. Returns true where something was ejected.
bool observe(Outliers&, const Subject&, bool failed, const PeerHealth&, base::Time now);
void cancelProbe(Outliers&, const Subject&); // a probe ended without telling anything
void removeHost(Outliers&, const base::HostId&);

} // namespace appletally::policy
