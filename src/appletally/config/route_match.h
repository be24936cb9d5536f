// Finds the route of a request by host, method and path. Runs once for each request that a node receives.
#pragma once

#include "appletally/config/model.h"

#include <string_view>
#include <unordered_map>

namespace appletally::config {

struct PrefixHash {
    using is_transparent = void;
    size_t operator()(std::string_view it) const { return std::hash<std::string_view> {}(it); }
};

// Routes of one host by prefix; exact methods precede "*" within one prefix.
using RoutesByPrefix = std::unordered_map<std::string, std::vector<const Route*>, PrefixHash, std::equal_to<>>;

// Built once for each snapshot, which must outlive the index.
struct RouteIndex {
    std::unordered_map<std::string, RoutesByPrefix, PrefixHash, std::equal_to<>> byHost; // "": routes of any host
};

RouteIndex buildRouteIndex(const Snapshot&);

// Routes of the requested host take precedence over those of any host; then the longest prefix with a matching method
// wins, and an exact method over "*". The path ends at a '?'. Null: no route. Costs two hash lookups for each '/' in the
// path. `host` may have a port and upper-case letters.
const Route* match(const RouteIndex&, std::string_view host, std::string_view method, std::string_view path);

// Linear search without an index, only among routes without a host. For tests and tools.
const Route* match(const Snapshot&, std::string_view method, std::string_view path);

} // namespace appletally::config
