// Settings of appletally-node: one JSON file, checked whole before anything starts.
#pragma once

#include "appletally/base/json_reader.h"
#include "appletally/base/log.h"
#include "appletally/http/caller_listener.h"
#include "appletally/inner/cluster_key.h"
#include "appletally/node/dialect.h"
#include "appletally/policy/admission.h"

#include <string>
#include <vector>

namespace appletally::node {

struct NodeSettings {
    inner::Membership membership; // cluster, key, host
    base::ZoneName zone;
    base::RegionName region;
    base::Address callers; // HTTP of callers
    base::Address inner; // links of other nodes
    base::Address announce; // HTTP of the upstream beside this node; loopback only
    base::Address operators; // state dump
    std::vector<base::Address> voters;
    std::vector<base::Address> sources; // empty: the voters
    http::ListenerLimits limits;
    Dialect dialect;
    CallFeatures features;
    policy::AdmissionParts admission;
    base::ServiceName service; // of the upstream beside this node; empty: only its announcements say
    base::Duration announcementTimeout { 3000 }; // an upstream renews its announcement every second; three missed ones mean that it is gone
    base::Duration drainTime { 2000 }; // after SIGTERM, goes on taking what still arrives while callers move on
    base::Duration gracefulShutdownTimeout { 30000 }; // after SIGTERM, ends even if requests still run
    base::Severity minSeverity = base::Severity::Info;
};

base::Result<NodeSettings> readNodeSettings(const std::string& file);

} // namespace appletally::node
