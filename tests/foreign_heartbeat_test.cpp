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

TEST_CASE("a heartbeat with a sequence or a start far ahead does not silence the backend for good", "[platform][foreign-heartbeat]")
{
    // Guards against a living backend that stays out of service because of one message of another writer.
    PlatformNode it;
    it.mesh.announcementTimeout = { 800 };
    it.restart();
    it.tell(inner::EndpointListRead {});
    REQUIRE(it.heartbeat("i-1", 1000, 7) == 200);
    SECTION("a sequence far ahead") { CHECK(it.heartbeat("i-1", 1000, 1'000'000) == 200); }
    SECTION("a start far ahead, of another id") { CHECK(it.heartbeat("i-9", 9'000'000'000'000, 1) == 200); }
    REQUIRE(it.mesh.run([&] { return !it.isReady(); }));
    CHECK(it.heartbeat("i-1", 1000, 8) == 200);
    CHECK_FALSE(it.isReady()); // it may be a late one
    it.mesh.runFor(base::Duration { 550 });
    CHECK(it.heartbeat("i-1", 1000, 9) == 200);
    CHECK(it.isReady());
    CHECK(it.heartbeat("i-1", 1000, 10) == 200);
    CHECK(it.isReady());
}

TEST_CASE("a backend that has left is not brought back by two late heartbeats once its announcement has expired", "[platform][foreign-heartbeat]")
{
    // Guards against taking what a backend sent before it left for a backend that another writer has silenced.
    PlatformNode it;
    it.mesh.announcementTimeout = { 300 };
    it.restart();
    it.tell(inner::EndpointListRead {});
    REQUIRE(it.heartbeat("i-1", 1000, 7) == 200);
    const std::string call = GENERATE("Deregister", "Heartbeat");
    it.post(call, "i-1", 1000, 9, "draining");
    REQUIRE(it.mesh.run([&] { return !it.isReady(); }));
    it.mesh.runFor(base::Duration { 600 });
    CHECK(it.heartbeat("i-1", 1000, 6) == 200);
    it.mesh.runFor(base::Duration { 550 });
    CHECK(it.heartbeat("i-1", 1000, 8) == 200);
    CHECK_FALSE(it.isReady());
}

TEST_CASE("a backend whose leaving an earlier process acknowledged is not brought back by two late heartbeats", "[platform][foreign-heartbeat][leaving]")
{
    // Guards against the same in the node's next process, where no announcement says that the backend drains.
    PlatformNode it;
    it.tell(inner::EndpointListRead {});
    REQUIRE(it.heartbeat("i-1", 1000, 7) == 200);
    const std::string call = GENERATE("Deregister", "Heartbeat");
    it.post(call, "i-1", 1000, 9, "draining");
    REQUIRE(it.mesh.run([&] { return !it.isReady(); }));
    const config::Endpoint held = it.restart();
    it.tell(inner::EndpointsChanged { { held } });
    it.tell(inner::EndpointListRead {});
    CHECK(it.heartbeat("i-0", 900, 3) == 200); // of one before it
    it.mesh.runFor(base::Duration { 550 });
    CHECK(it.heartbeat("i-0", 900, 4) == 200);
    CHECK(it.heartbeat("i-1", 1000, 6) == 200);
    it.mesh.runFor(base::Duration { 550 });
    CHECK(it.heartbeat("i-1", 1000, 8) == 200);
    CHECK_FALSE(it.isReady());
    CHECK(it.heartbeat("i-2", 2000, 1) == 200);
    CHECK(it.isReady());
}

TEST_CASE("heartbeats that cannot be read are refused, and the backend goes on", "[platform][foreign-heartbeat]")
{
    // Guards against a node that ends, or stops to follow its backend, because of one odd message of another writer.
    PlatformNode it;
    it.tell(inner::EndpointListRead {});
    REQUIRE(it.heartbeat("i-1", 1000, 7) == 200);
    const std::string sound = R"({"service":"berth-data","zone":"z1","version":"1.0","max_concurrency":4,"state":"draining","cold_remaining_ms":0,"born":1000,)";
    const std::string odd[] = { std::string(60'000, '['), sound + R"("sequence":1e400})", sound + R"("sequence":18446744073709551616,"address":")" + it.ip + R"(:8080"})", sound + R"("sequence":8,"address":")" + it.ip + R"(:99999"})",
        sound + R"("sequence":8,"address":")" + it.ip + R"(:-1"})", "{}", "null", "\xff\xfe", "" };
    for (const std::string& body : odd) {
        INFO(body.substr(0, 200));
        CHECK(it.statusOf(it.mesh.ask(it.toPort, "POST", "/-/Instances.Heartbeat/i-1", {}, body)) == 400);
        CHECK(it.isReady());
    }
    CHECK(it.heartbeat("i-1", 1000, 8) == 200);
    CHECK(it.isReady());
}
