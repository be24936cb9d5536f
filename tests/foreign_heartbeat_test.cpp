// Heartbeats that another writer sends under the id of a backend.
#include "platform_node.h"

#include <catch2/catch.hpp>

using namespace appletally;
using base::Json;

TEST_CASE("a heartbeat of another writer does not move a known backend", "[platform][foreign-heartbeat]")
{
    // Guards against sending requests to a backend of another service, and against silencing the backend's own heartbeats.
    PlatformNode it;
    it.tell(inner::EndpointListRead {});
    REQUIRE(it.heartbeat("i-1", 1000, 7) == 200);
    const Json foreign[] = { { { "zone", nullptr } }, { { "zone", 5 } }, { { "service", "plug-control" } }, { { "service", nullptr } }, { { "version", "2.0" } }, { { "version", Json::array() } },
        { { "address", it.ip + ":9" } }, { { "address", "10.9.9.9:80" } }, { { "cold_remaining_ms", "soon" } }, { { "cold_remaining_ms", nullptr } }, { { "state", "gone" } }, { { "max_concurrency", 0 } },
        { { "max_concurrency", -1 } }, { { "sequence", nullptr } }, { { "sequence", 1.5 } }, { { "born", nullptr } }, { { "born", "1000" } } };
    for (const Json& changes : foreign) {
        INFO(changes.dump());
        CHECK(it.statusOf(it.post("Heartbeat", "i-1", 1000, 1'000'000, "draining", changes)) == 400);
        CHECK(it.isReady());
        CHECK(it.lastRecord().service.text == "berth-data");
        CHECK(it.lastRecord().slots == 4);
    }
    CHECK(it.heartbeat("i-1", 1000, 8) == 200);
    CHECK(it.statusOf(it.post("Heartbeat", "i-1", 1000, 9, "ready", { { "max_concurrency", 5 } })) == 200);
    CHECK(it.lastRecord().slots == 5);
    CHECK(it.statusOf(it.post("Heartbeat", "i-1", 2000, 1, "ready", { { "service", "plug-control" } })) == 200); // a later start of the backend
    CHECK(it.lastRecord().service.text == "plug-control");
}
