// Settings of appletally-node: one JSON file, validated completely before anything starts.
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
    base::Address callers; // HTTP for callers
    base::Address inner; // links from other nodes
    base::Address announce; // HTTP for the upstream beside this node; loopback only
    base::Address operators; // state dump
    std::vector<base::Address> voters;
    std::vector<base::Address> sources; // of configuration; empty: the voters
    uint64_t memoryBytes = 512'000'000; // that this process may use; large request bodies are bounded by it
    http::ListenerLimits limits;
    Dialect dialect;
    CallFeatures features;
    policy::AdmissionOptions admission;
    base::ServiceName service; // of the upstream beside this node; empty: known only from its announcements
    base::Duration announcementTimeout { 3000 }; // an upstream renews its announcement every second; it is removed after three missed renewals
    base::Duration drainTime { 2000 }; // after SIGTERM, new requests are served for so long while callers move to other nodes
    base::Duration gracefulShutdownTimeout { 30000 }; // after SIGTERM, the process exits even if requests are still active
    base::Severity minSeverity = base::Severity::Info;
};

base::Result<NodeSettings> readNodeSettings(const std::string& file);

} // namespace appletally::node
