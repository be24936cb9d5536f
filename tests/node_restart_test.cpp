// What a node's next process must not be taken for.
#include "platform_node.h"

#include <catch2/catch.hpp>

using namespace appletally;

TEST_CASE("a node that starts after its clock was set back is not taken for its previous process", "[platform][restart]")
{
    // Guards against an upstream out of service for a minute, until control drops the record of the process before.
    PlatformNode it;
    it.tell(inner::EndpointListRead {});
    REQUIRE(it.heartbeat("i-1", 1000, 7) == 200);
    config::Endpoint held = it.restart();
    held.incarnation.value += uint64_t { 5000 } << 16; // as it was written five seconds later
    const bool heardLate = GENERATE(false, true);
    if (!heardLate)
        it.tell(inner::EndpointsChanged { { held } });
    it.tell(inner::EndpointListRead {});
    REQUIRE(it.heartbeat("i-1", 1000, 8) == 200);
    if (heardLate)
        it.tell(inner::EndpointsChanged { { held } });
    CHECK(held.incarnation < it.lastRecord().incarnation);
    CHECK(it.isReady());

    const base::Incarnation own = it.lastRecord().incarnation;
    held.incarnation.value = own.value + 1; // another process with this host's name does the same
    it.tell(inner::EndpointsChanged { { held } });
    CHECK(it.heartbeat("i-1", 1000, 9) == 200);
    CHECK(it.lastRecord().incarnation == own);
}
