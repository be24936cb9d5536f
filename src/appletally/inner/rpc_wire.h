// Conversion between the structs of control.capnp and those of config/. The schema adds no semantics.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/endpoint_registry.h"
#include "appletally/config/evidence.h"
#include "appletally/inner/cluster_key.h"
#include "appletally/inner/control.capnp.h"
#include "appletally/inner/suspect_wire.h"

#include <string>
#include <vector>

namespace appletally::inner {

// The version that a node reports as applied.
struct NodeAppliedVersion {
    base::HostId host;
    base::Incarnation incarnation;
    base::ConfigVersion version;
    base::Duration since; // time since it was applied, as reported by the node
    bool left = false;
};

// An endpoint with the heartbeat number of its writer; see config/endpoint_registry.h.
struct EndpointHeartbeat {
    config::Endpoint endpoint;
    uint64_t heartbeat = 0;
};

// What a node reports to its source, and control processes to each other.
struct NodeReport {
    std::vector<EndpointHeartbeat> endpoints;
    std::vector<NodeAppliedVersion> appliedVersions;
    std::vector<config::Evidence> evidence;
    std::vector<config::EndpointRenewal> renewals;
    bool empty() const { return endpoints.empty() && appliedVersions.empty() && evidence.empty() && renewals.empty(); }
};

// Travels beside the encoded endpoints, whose arrays have a fixed length.
struct HostSuspects {
    base::HostId host;
    std::vector<config::SuspectRequest> suspects; // never empty
};

std::vector<HostSuspects> suspectsOf(const std::vector<config::Endpoint>&);

struct HostLeaving {
    base::HostId host;
    config::LeavingUpstream leaving;
};
void write(capnp::List<rpc::HostLeaving>::Builder, std::span<const HostLeaving>);
std::vector<HostLeaving> leavingOf(const std::vector<config::Endpoint>&);
void write(capnp::List<rpc::HostSuspects>::Builder, std::span<const HostSuspects>);

void write(rpc::Failure::Builder, const base::Error&);
base::Error read(rpc::Failure::Reader);
bool failed(rpc::Failure::Reader);

void write(rpc::Cursor::Builder, const config::EndpointCursor&);
config::EndpointCursor read(rpc::Cursor::Reader);
base::Result<config::EndpointsDelta> read(rpc::EndpointsDelta::Reader); // MessageMalformed
void write(rpc::Report::Builder, const NodeReport&);
NodeReport read(rpc::Report::Reader);

std::string text(capnp::Text::Reader);
std::string bytes(capnp::Data::Reader);
capnp::Data::Reader toData(const std::string&);
template <size_t n>
capnp::Data::Reader toData(const std::array<uint8_t, n>& it) { return { it.data(), it.size() }; }

// Fails without writing unless the sizes match: nonces and proofs have a fixed size.
template <size_t n>
bool take(capnp::Data::Reader in, std::array<uint8_t, n>& out)
{
    if (in.size() != n)
        return false;
    std::copy(in.begin(), in.end(), out.begin());
    return true;
}

} // namespace appletally::inner
