// A request under which upstreams have ended, as nodes tell each other of it.
//
// Copies may be late, reordered or duplicated: the higher round wins, and within a round the ends are united.
#pragma once

#include "appletally/base/ids.h"

#include <vector>

namespace appletally::config {

// The same request on the same software version. What ends one version may run on another.
struct RequestOnVersion {
    base::RequestDigest request;
    base::UpstreamVersion version;
    auto operator<=>(const RequestOnVersion&) const = default;
};

// The end of one upstream process while it ran the request.
struct UpstreamEnd {
    uint64_t id = 0; // random
    uint8_t order = 0; // from 1; one more than that of the ends known when the run began, so that ends side by side have the same
    bool operator==(const UpstreamEnd&) const = default;
};

struct SuspectRequest {
    RequestOnVersion key;
    uint32_t round = 0; // a complete answer begins a new one
    std::vector<UpstreamEnd> ends; // in this round; empty: not suspected any more
    bool operator==(const SuspectRequest&) const = default;
};

} // namespace appletally::config
