// Merges reports by keeping the newest state of each record.
#include "appletally/control/report_merge.h"

namespace appletally::control {

void add(PendingReport& pending, const inner::NodeReport& report)
{
    for (const inner::EndpointHeartbeat& it : report.endpoints) {
        inner::EndpointHeartbeat& known = pending.endpoints[it.endpoint.host];
        if (std::tuple(it.endpoint.incarnation, it.endpoint.sequence, it.heartbeat) >= std::tuple(known.endpoint.incarnation, known.endpoint.sequence, known.heartbeat))
            known = it;
    }
    for (const config::EndpointRenewal& it : report.renewals) {
        config::EndpointRenewal& known = pending.renewals[it.host];
        if (std::tuple(it.incarnation, it.sequence, it.heartbeat) >= std::tuple(known.incarnation, known.sequence, known.heartbeat))
            known = it;
    }
    for (const inner::NodeAppliedVersion& it : report.appliedVersions) {
        inner::NodeAppliedVersion& known = pending.appliedVersions[it.host];
        if (std::tuple(it.incarnation, it.version) >= std::tuple(known.incarnation, known.version))
            known = it;
    }
    for (const config::Evidence& it : report.evidence) {
        config::Evidence& known = pending.evidence[{ it.host, it.incarnation, it.service, it.route, it.version }];
        if (it.answers + it.coldAnswers >= known.answers + known.coldAnswers) // counters only grow
            known = it;
    }
}

inner::NodeReport toReport(const PendingReport& pending)
{
    inner::NodeReport out;
    for (const auto& [key, it] : pending.endpoints)
        out.endpoints.push_back(it);
    for (const auto& [key, it] : pending.renewals)
        out.renewals.push_back(it);
    for (const auto& [key, it] : pending.appliedVersions)
        out.appliedVersions.push_back(it);
    for (const auto& [key, it] : pending.evidence)
        out.evidence.push_back(it);
    return out;
}

} // namespace appletally::control
