// Which ends of runs count as ends of the upstream, and make their requests suspect.
#include "node_fixture.h"

#include <catch2/catch.hpp>

using namespace appletally;

namespace {

struct EndingUpstream {
    TestMesh mesh;
    TestUpstream upstream { mesh.loop() };
    TestNode& node;

    EndingUpstream()
        : node(mesh.addNode("a", "z1"))
    {
        mesh.announce(node, upstream, "ready");
        mesh.applyEverywhere("examples/berthgrid.json");
        upstream.hold = true;
    }

    std::shared_ptr<TestAnswer> beginRead()
    {
        auto out = mesh.ask(node, "GET", "/berths/7");
        REQUIRE(mesh.run([&] { return upstream.held.size() == 1; }));
        return out;
    }

    size_t suspects()
    {
        node.fromControl.send(inner::DumpRequested { 1 });
        event_base_loop(mesh.loop(), EVLOOP_NONBLOCK);
        return base::Json::parse(std::get<inner::DumpAnswered>(node.toControl.back()).json)["suspects"].size();
    }
};

} // namespace

TEST_CASE("a request under which the upstream's process ended is suspect until it is answered", "[node][suspects]")
{
    EndingUpstream it;
    const auto lost = it.beginRead();
    it.upstream.held.clear();
    it.upstream.stopListening();
    REQUIRE(it.mesh.run([&] { return lost->done; }));
    CHECK(lost->status >= 500);
    CHECK(it.suspects() == 1);
    it.upstream.hold = false;
    it.upstream.listenAgain();
    std::shared_ptr<TestAnswer> next;
    REQUIRE(it.mesh.run([&] {
        if (!next || (next->done && next->status != 200))
            next = it.mesh.ask(it.node, "GET", "/berths/7");
        return next->status == 200;
    }));
    CHECK(it.suspects() == 0);
}

TEST_CASE("a request whose answer an upstream lost that goes on is not suspect", "[node][suspects]")
{
    EndingUpstream it;
    const auto lost = it.beginRead();
    evhttp_connection_free(evhttp_request_get_connection(it.upstream.held[0]));
    it.upstream.held.clear();
    it.upstream.hold = false;
    REQUIRE(it.mesh.run([&] { return lost->done; }));
    CHECK(it.suspects() == 0);
}

TEST_CASE("a request that still runs when a draining upstream ends is not suspect", "[node][suspects]")
{
    EndingUpstream it;
    const auto lost = it.beginRead();
    it.mesh.announce(it.node, it.upstream, "draining");
    it.upstream.held.clear();
    it.upstream.stopListening();
    REQUIRE(it.mesh.run([&] { return lost->done; }));
    CHECK(it.suspects() == 0);
}
