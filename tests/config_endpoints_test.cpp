// Endpoint records between their writers, control's registry and a node's mirror.
#include "appletally/config/codec.h"
#include "appletally/config/endpoint_mirror.h"

#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::config;
using base::Code;
using base::Time;

namespace {

constexpr size_t batch = 100;

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

void feed(EndpointMirror& mirror, const EndpointRegistry& registry, Time now)
{
    for (bool more = true; more;) {
        const EndpointsDelta delta = changesSince(registry, mirror.cursor, nullptr, batch);
        more = delta.more;
        CHECK(applyEndpoints(mirror, delta, now));
    }
}

} // namespace

TEST_CASE("a draining upstream does not become ready again through records that cross", "[config]")
{
    // An upstream says "ready" and a moment later "draining"; the two cross on the way over two relays. Were the
    // older one taken, callers would be sent to an upstream that is leaving, and their requests would be refused.
    EndpointRegistry registry;
    registry.id = 1;
    CHECK(put(registry, endpoint(1, 3, EndpointState::Draining), 1, { 0 }));
    CHECK_FALSE(put(registry, endpoint(1, 2, EndpointState::Ready), 9, { 0 }));
    // A renewal of a record that never came asks for it instead of stretching the one that is held.
    CHECK_FALSE(renew(registry, { { "h1" }, { 1 }, { 4 }, 7 }, { 0 }));
    CHECK(put(registry, endpoint(1, 4, EndpointState::Gone), 7, { 0 }));
    EndpointMirror mirror;
    feed(mirror, registry, { 0 });
    CHECK(mirror.entries.at({ "h1" }).endpoint.state == EndpointState::Gone);
    // Another relay lags: its list must not bring the upstream back.
    feed(mirror, registryOf(2, 2, { 0 }), { 1 });
    CHECK(mirror.entries.at({ "h1" }).endpoint.state == EndpointState::Gone);
}

TEST_CASE("a record that is not renewed is gone, and a sign of life brings it back", "[config]")
{
    EndpointRegistry registry = registryOf(4, 1, { 0 });
    EndpointMirror mirror;
    feed(mirror, registry, { 0 });
    const Time later = Time { 0 } + endpointLifetime;
    for (int n = 1; n < 4; ++n)
        CHECK(renew(registry, { { "h" + std::to_string(n) }, { 1 }, { 1 }, 2 }, later));
    const uint64_t before = registry.lastChange;
    CHECK(expire(registry, later) == 1);
    CHECK(registry.lastChange == before + 1); // renewals are no news for nodes
    feed(mirror, registry, later);
    CHECK(readyIn(mirror) == 3);
    // A renewal that went round over another relay is no sign of life.
    CHECK(renew(registry, { { "h0" }, { 1 }, { 1 }, 1 }, later));
    CHECK(registry.entries.at({ "h0" }).ranOut);
    CHECK(renew(registry, { { "h0" }, { 1 }, { 1 }, 2 }, later));
    feed(mirror, registry, later);
    CHECK(readyIn(mirror) == 4);
    CHECK(renewalsSince(registry, { 0 }).size() == 4);
}

TEST_CASE("a herd of nodes that lost control is not taken out of service", "[config]")
{
    // A switch fails between control and half of the racks. Their upstreams serve on, and callers reach them; expired
    // all at once, the other half would get all of the load.
    EndpointRegistry registry = registryOf(20, 1, { 0 });
    const Time later = Time { 0 } + endpointLifetime;
    for (int n = 0; n < 10; ++n)
        renew(registry, { { "h" + std::to_string(n) }, { 1 }, { 1 }, 2 }, later);
    CHECK(expire(registry, later) == 0);
    // Few at once are believed, and after the longest hold all.
    for (int n = 10; n < 16; ++n)
        renew(registry, { { "h" + std::to_string(n) }, { 1 }, { 1 }, 2 }, later);
    CHECK(expire(registry, later) == 4);
    CHECK(expire(registry, later + longestHold) == 16);
}

TEST_CASE("a source that has just restarted does not empty its nodes", "[config]")
{
    // All control processes restart. The first one to answer knows nothing yet; a node that believed it would refuse
    // every caller until all other nodes have announced themselves again.
    EndpointMirror mirror;
    feed(mirror, registryOf(20, 1, { 0 }), { 0 });
    EndpointRegistry restarted = registryOf(3, 2, { 100 });
    feed(mirror, restarted, { 100 });
    CHECK(readyIn(mirror) == 20);
    for (int n = 3; n < 19; ++n)
        put(restarted, endpoint(n, 1, EndpointState::Ready), 1, { 4000 });
    feed(mirror, restarted, { 4000 });
    CHECK(dropDoubted(mirror, { 100 }, { 8099 }).empty());
    const auto dropped = dropDoubted(mirror, { 100 }, { 8100 });
    REQUIRE(dropped.size() == 1);
    CHECK(dropped[0].host == base::HostId { "h19" });
}

TEST_CASE("subscribers get only their services, in batches, and hear of a host that leaves one", "[config]")
{
    EndpointRegistry registry = registryOf(5, 1, { 0 });
    put(registry, endpoint(9, 1, EndpointState::Ready, "b"), 1, { 0 });
    const std::set<base::ServiceName> onlyA = { { "a" } };
    EndpointMirror mirror;
    const EndpointsDelta first = changesSince(registry, {}, &onlyA, 3);
    CHECK((first.whole && first.more && first.endpoints.size() == 3));
    CHECK(applyEndpoints(mirror, first, { 0 }));
    CHECK(applyEndpoints(mirror, first, { 0 }).error().code == Code::VersionTooOld);
    const EndpointsDelta second = changesSince(registry, mirror.cursor, &onlyA, 3);
    CHECK((!second.whole && !second.more && second.endpoints.size() == 2));
    put(registry, endpoint(4, 2, EndpointState::Ready, "b"), 1, { 0 });
    CHECK(applyEndpoints(mirror, changesSince(registry, second.to, &onlyA, 3), { 0 }).error().code == Code::DeltaMismatch);
    CHECK(applyEndpoints(mirror, second, { 0 }));
    const EndpointsDelta moved = changesSince(registry, mirror.cursor, &onlyA, 3);
    REQUIRE(moved.endpoints.size() == 1);
    CHECK(moved.endpoints[0].service == base::ServiceName { "b" });
}

TEST_CASE("a subscriber that was away while tombstones were dropped starts anew, in pages", "[config]")
{
    // Without it the node would keep an upstream that left while it was away, and send it work for good.
    EndpointRegistry registry = registryOf(9, 1, { 0 });
    EndpointMirror mirror;
    feed(mirror, registry, { 0 });
    put(registry, endpoint(0, 2, EndpointState::Gone), 1, { 0 });
    for (int n = 1; n < 9; ++n)
        renew(registry, { { "h" + std::to_string(n) }, { 1 }, { 1 }, 2 }, { 60'000 });
    expire(registry, { 60'000 });
    CHECK_FALSE(registry.entries.contains({ "h0" }));
    int pages = 0;
    for (bool more = true; more && pages < 20; ++pages) {
        const EndpointsDelta page = changesSince(registry, mirror.cursor, nullptr, 3);
        CHECK(page.whole == (pages == 0));
        more = page.more;
        CHECK(applyEndpoints(mirror, page, { 60'000 }));
    }
    CHECK(pages == 3);
    CHECK(dropDoubted(mirror, { 60'000 }, { 68'000 }).size() == 1);
    CHECK(readyIn(mirror) == 8);
}
