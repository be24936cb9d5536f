// Longest-prefix matching on whole path segments.
#include "appletally/config/route_match.h"

#include <algorithm>
#include <cctype>

namespace appletally::config {

namespace {

    std::string_view withoutQuery(std::string_view path) { return path.substr(0, path.find('?')); }

    bool methodMatches(const Route& route, std::string_view method) { return route.method == "*" || route.method == method; }

    const Route* findByMethod(const std::vector<const Route*>& routes, std::string_view method)
    {
        auto it = std::find_if(routes.begin(), routes.end(), [&](const Route* route) { return methodMatches(*route, method); });
        return it == routes.end() ? nullptr : *it;
    }

    // "/plugs" matches "/plugs" and "/plugs/4", but not "/plugsets".
    bool prefixMatches(std::string_view prefix, std::string_view path)
    {
        if (prefix.ends_with('/'))
            return path.starts_with(prefix);
        return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
    }

} // namespace

RouteIndex buildRouteIndex(const Snapshot& snapshot)
{
    RouteIndex out;
    for (const auto& [name, route] : snapshot.routes)
        out.byHost[route.host][route.pathPrefix].push_back(&route);
    for (auto& [host, byPrefix] : out.byHost) {
        for (auto& [prefix, routes] : byPrefix)
            std::stable_partition(routes.begin(), routes.end(), [](const Route* it) { return it->method != "*"; });
    }
    return out;
}

static std::string hostName(std::string_view host)
{
    std::string out(host.substr(0, host.find(':')));
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

// "/a/b", then "/a/", "/a", "/".
static std::string_view nextShorter(std::string_view prefix)
{
    if (prefix.size() > 1 && prefix.ends_with('/'))
        return prefix.substr(0, prefix.size() - 1);
    return prefix.substr(0, prefix.rfind('/') + 1);
}

static const Route* findLongestPrefix(const RoutesByPrefix& routes, std::string_view method, std::string_view path)
{
    for (std::string_view prefix = path; !prefix.empty(); prefix = nextShorter(prefix)) {
        if (auto it = routes.find(prefix); it != routes.end()) {
            if (const Route* route = findByMethod(it->second, method))
                return route;
        }
        if (prefix == "/")
            break;
    }
    return nullptr;
}

const Route* match(const RouteIndex& index, std::string_view host, std::string_view method, std::string_view path)
{
    path = withoutQuery(path);
    if (!path.starts_with('/'))
        return nullptr;
    for (const std::string& it : { hostName(host), std::string() }) {
        const auto routes = index.byHost.find(it);
        const Route* route = routes == index.byHost.end() ? nullptr : findLongestPrefix(routes->second, method, path);
        if (route)
            return route;
    }
    return nullptr;
}

const Route* match(const Snapshot& snapshot, std::string_view method, std::string_view path)
{
    path = withoutQuery(path);
    const Route* best = nullptr;
    for (const auto& [name, route] : snapshot.routes) {
        if (!route.host.empty() || !methodMatches(route, method) || !prefixMatches(route.pathPrefix, path))
            continue;
        const bool longer = !best || route.pathPrefix.size() > best->pathPrefix.size();
        const bool moreSpecific = best && route.pathPrefix.size() == best->pathPrefix.size() && best->method == "*";
        if (longer || moreSpecific)
            best = &route;
    }
    return best;
}

} // namespace appletally::config
