// Finds the route of a request by host, method and path; runs once for every call that a node takes.
#pragma once

#include "appletally/config/model.h"

#include <string_view>
#include <unordered_map>

namespace appletally::config {

struct PrefixHash {
    using is_transparent = void;
    size_t operator()(std::string_view it) const { return std::hash<std::string_view> {}(it); }
};

// Routes of one host by prefix; of one prefix the exact methods stand before "*".
using RoutesByPrefix = std::unordered_map<std::string, std::vector<const Route*>, PrefixHash, std::equal_to<>>;

// Built once for each snapshot, which must outlive it.
struct RouteIndex {
    std::unordered_map<std::string, RoutesByPrefix, PrefixHash, std::equal_to<>> byHost; // "": routes of any host
};

RouteIndex buildRouteIndex(const Snapshot&);

// Routes of the host that the caller named go before those of any host; then the longest prefix that has the method
// wins; an exact method goes before "*". A '?' ends the path. Null: no route. Costs two hash lookups for each '/' in the
// path. `host` may have a port and capitals.
const Route* match(const RouteIndex&, std::string_view host, std::string_view method, std::string_view path);

// Without an index and only among routes of any host: for tests and tools, since it looks at every route.
const Route* match(const Snapshot&, std::string_view method, std::string_view path);

} // namespace appletally::config
