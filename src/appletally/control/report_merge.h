// Reports queued for sending. Only the newest state of each record is kept, so the queue of a slow peer is bounded by the
// number of records.
#pragma once

#include "appletally/inner/rpc_wire.h"

#include <map>
#include <tuple>

namespace appletally::control {

struct PendingReport {
    using EvidenceKey = std::tuple<base::HostId, base::Incarnation, base::ServiceName, base::RouteName, base::UpstreamVersion>;
    std::map<base::HostId, inner::EndpointHeartbeat> endpoints;
    std::map<base::HostId, config::EndpointRenewal> renewals;
    std::map<base::HostId, inner::NodeAppliedVersion> appliedVersions;
    std::map<EvidenceKey, config::Evidence> evidence;
    bool empty() const { return endpoints.empty() && appliedVersions.empty() && evidence.empty() && renewals.empty(); }
};

void add(PendingReport&, const inner::NodeReport&);
inner::NodeReport toReport(const PendingReport&);

} // namespace appletally::control
