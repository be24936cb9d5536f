// Endpoint records between their writers, the registry of a control process and a node's mirror.
#include "appletally/config/codec.h"
#include "appletally/config/endpoint_mirror.h"

#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::config;
using base::Code;
using base::Time;

namespace {

constexpr size_t batchSize = 100;

Endpoint endpoint(int host, uint64_t sequence, EndpointState state, const char* service = "a")
{
    return { { "h" + std::to_string(host) }, { service }, { "1.0" }, { "z" }, { "r" }, { "127.0.0.1", 9000 }, 10, state, { 1 }, { sequence } };
}

EndpointRegistry registryOf(int hosts, uint64_t id, Time now)
{
    EndpointRegistry out;
    out.id = id;
    for (int n = 0; n < hosts; ++n)
        put(out, endpoint(n, 1, EndpointState::Ready), 1, now);
    return out;
}

size_t readyIn(const EndpointMirror& mirror)
{
    size_t n = 0;
    for (const auto& [host, entry] : mirror.entries)
        n += entry.endpoint.state == EndpointState::Ready ? 1 : 0;
    return n;
}

void synchronize(EndpointMirror& mirror, const EndpointRegistry& registry, Time now)
{
    for (bool more = true; more;) {
        const EndpointsDelta delta = changesSince(registry, mirror.cursor, nullptr, batchSize);
        more = delta.more;
        CHECK(applyEndpoints(mirror, delta, now));
    }
}

} // namespace

TEST_CASE("a draining upstream does not become ready again through reordered records", "[config]")
{
    // Guards against rejected requests: an upstream announces "ready" and soon after "draining", two relays reorder the
    // records, and callers are routed to the upstream that is leaving.
    EndpointRegistry registry;
    registry.id = 1;
    CHECK(put(registry, endpoint(1, 3, EndpointState::Draining), 1, { 0 }));
    CHECK_FALSE(put(registry, endpoint(1, 2, EndpointState::Ready), 9, { 0 }));
    // A renewal of a missing record requests that record and does not extend the older one.
    CHECK_FALSE(renew(registry, { { "h1" }, { 1 }, { 4 }, 7 }, { 0 }));
    CHECK(put(registry, endpoint(1, 4, EndpointState::Gone), 7, { 0 }));
    EndpointMirror mirror;
    synchronize(mirror, registry, { 0 });
    CHECK(mirror.entries.at({ "h1" }).endpoint.state == EndpointState::Gone);
    // Another relay lags: its list must not restore the upstream.
    synchronize(mirror, registryOf(2, 2, { 0 }), { 1 });
    CHECK(mirror.entries.at({ "h1" }).endpoint.state == EndpointState::Gone);
}

TEST_CASE("a record that is not renewed expires, and a new heartbeat restores it", "[config]")
{
    EndpointRegistry registry = registryOf(4, 1, { 0 });
    EndpointMirror mirror;
    synchronize(mirror, registry, { 0 });
    const Time later = Time { 0 } + endpointLifetime;
    for (int n = 1; n < 4; ++n)
        CHECK(renew(registry, { { "h" + std::to_string(n) }, { 1 }, { 1 }, 2 }, later));
    const uint64_t before = registry.lastChange;
    CHECK(expire(registry, later) == 1);
    CHECK(registry.lastChange == before + 1); // renewals are not sent to nodes
    synchronize(mirror, registry, later);
    CHECK(readyIn(mirror) == 3);
    // An old renewal that arrives late over another relay does not restore the record.
    CHECK(renew(registry, { { "h0" }, { 1 }, { 1 }, 1 }, later));
    CHECK(registry.entries.at({ "h0" }).expired);
    CHECK(renew(registry, { { "h0" }, { 1 }, { 1 }, 2 }, later));
    synchronize(mirror, registry, later);
    CHECK(readyIn(mirror) == 4);
    CHECK(renewalsSince(registry, { 0 }).size() == 4);
}

TEST_CASE("many nodes that lose their control links at once are not taken out of service", "[config]")
{
    // Guards against overload: a switch fails between the control processes and half of the racks, whose upstreams are
    // still reachable for callers. If all of them expired, the other half would get all of the load.
    EndpointRegistry registry = registryOf(20, 1, { 0 });
    const Time later = Time { 0 } + endpointLifetime;
    for (int n = 0; n < 10; ++n)
        renew(registry, { { "h" + std::to_string(n) }, { 1 }, { 1 }, 2 }, later);
    CHECK(expire(registry, later) == 0);
    // A few records expire at once; after the maximum pause all do.
    for (int n = 10; n < 16; ++n)
        renew(registry, { { "h" + std::to_string(n) }, { 1 }, { 1 }, 2 }, later);
    CHECK(expire(registry, later) == 4);
    CHECK(expire(registry, later + maxExpiryPause) == 16);
}

TEST_CASE("a source that has just restarted does not empty its nodes", "[config]")
{
    // Guards against rejecting every caller: all control processes restart, and the first one to answer knows no
    // endpoints until the other nodes have announced themselves again.
    EndpointMirror mirror;
    synchronize(mirror, registryOf(20, 1, { 0 }), { 0 });
    EndpointRegistry restarted = registryOf(3, 2, { 100 });
    synchronize(mirror, restarted, { 100 });
    CHECK(readyIn(mirror) == 20);
    for (int n = 3; n < 19; ++n)
        put(restarted, endpoint(n, 1, EndpointState::Ready), 1, { 4000 });
    synchronize(mirror, restarted, { 4000 });
    CHECK(expireUnconfirmed(mirror, { 100 }, { 8099 }).empty());
    const auto dropped = expireUnconfirmed(mirror, { 100 }, { 8100 });
    REQUIRE(dropped.size() == 1);
    CHECK(dropped[0].host == base::HostId { "h19" });
}

TEST_CASE("subscribers get only their services, in batches, and learn of a host that leaves one", "[config]")
{
    EndpointRegistry registry = registryOf(5, 1, { 0 });
    put(registry, endpoint(9, 1, EndpointState::Ready, "b"), 1, { 0 });
    const std::set<base::ServiceName> onlyA = { { "a" } };
    EndpointMirror mirror;
    const EndpointsDelta first = changesSince(registry, {}, &onlyA, 3);
    CHECK((first.restartsList && first.more && first.endpoints.size() == 3));
    CHECK(applyEndpoints(mirror, first, { 0 }));
    CHECK(applyEndpoints(mirror, first, { 0 }).error().code == Code::VersionTooOld);
    const EndpointsDelta second = changesSince(registry, mirror.cursor, &onlyA, 3);
    CHECK((!second.restartsList && !second.more && second.endpoints.size() == 2));
    put(registry, endpoint(4, 2, EndpointState::Ready, "b"), 1, { 0 });
    CHECK(applyEndpoints(mirror, changesSince(registry, second.to, &onlyA, 3), { 0 }).error().code == Code::DeltaMismatch);
    CHECK(applyEndpoints(mirror, second, { 0 }));
    const EndpointsDelta moved = changesSince(registry, mirror.cursor, &onlyA, 3);
    REQUIRE(moved.endpoints.size() == 1);
    CHECK(moved.endpoints[0].service == base::ServiceName { "b" });
}

TEST_CASE("a subscriber that was disconnected while tombstones were dropped restarts its list, in pages", "[config]")
{
    // Guards against sending requests to a removed upstream forever: it left while the node was disconnected.
    EndpointRegistry registry = registryOf(9, 1, { 0 });
    EndpointMirror mirror;
    synchronize(mirror, registry, { 0 });
    put(registry, endpoint(0, 2, EndpointState::Gone), 1, { 0 });
    for (int n = 1; n < 9; ++n)
        renew(registry, { { "h" + std::to_string(n) }, { 1 }, { 1 }, 2 }, { 60'000 });
    expire(registry, { 60'000 });
    CHECK_FALSE(registry.entries.contains({ "h0" }));
    int pages = 0;
    for (bool more = true; more && pages < 20; ++pages) {
        const EndpointsDelta page = changesSince(registry, mirror.cursor, nullptr, 3);
        CHECK(page.restartsList == (pages == 0));
        more = page.more;
        CHECK(applyEndpoints(mirror, page, { 60'000 }));
    }
    CHECK(pages == 3);
    CHECK(expireUnconfirmed(mirror, { 60'000 }, { 68'000 }).size() == 1);
    CHECK(readyIn(mirror) == 8);
}
