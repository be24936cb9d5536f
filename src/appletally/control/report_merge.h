// Reports that wait to be sent: of each record only the newest, so that a slow peer costs no more memory than the
// records that there are.
#pragma once

#include "appletally/inner/rpc_wire.h"

#include <map>
#include <tuple>

namespace appletally::control {

struct PendingReport {
    using EvidenceKey = std::tuple<base::HostId, base::Incarnation, base::ServiceName, base::RouteName, base::UpstreamVersion>;
    std::map<base::HostId, inner::EndpointHeartbeat> endpoints;
    std::map<base::HostId, config::EndpointRenewal> renewals;
    std::map<base::HostId, inner::NodeAppliedVersion> inForce;
    std::map<EvidenceKey, config::Evidence> evidence;
    bool empty() const { return endpoints.empty() && inForce.empty() && evidence.empty() && renewals.empty(); }
};

void add(PendingReport&, const inner::NodeReport&);
inner::NodeReport toReport(const PendingReport&);

} // namespace appletally::control
