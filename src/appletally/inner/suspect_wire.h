// Converts suspect requests between link.capnp, which control.capnp imports, and config/. Conversion only.
#pragma once

#include "appletally/config/suspect_request.h"
#include "appletally/inner/link.capnp.h"

#include <span>

namespace appletally::inner {

constexpr uint32_t maxSuspectsInMessage = 64; // further ones are ignored
constexpr uint32_t maxEndsInMessage = 32; // of one request

void write(wire::SuspectRequest::Builder, const config::SuspectRequest&);
config::SuspectRequest read(wire::SuspectRequest::Reader);

void write(capnp::List<wire::SuspectRequest>::Builder, std::span<const config::SuspectRequest>);
std::vector<config::SuspectRequest> read(capnp::List<wire::SuspectRequest>::Reader);

} // namespace appletally::inner
