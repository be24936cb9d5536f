// What upstreams say of themselves in their answers: which values are read, and what follows for callers.
#include "node_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace appletally;

namespace {

// Node "a" has the upstream; callers connect to both nodes.
struct Service {
    TestMesh mesh;
    TestUpstream upstream { mesh.loop() };
    TestNode& a = mesh.addNode("a", "z1");
    TestNode& b = mesh.addNode("b", "z2");

    Service()
    {
        mesh.announce(a, upstream, "ready");
        mesh.applyEverywhere("examples/berthgrid.json");
    }

    std::vector<std::shared_ptr<TestAnswer>> askMany(int count)
    {
        std::vector<std::shared_ptr<TestAnswer>> out;
        out.reserve(static_cast<size_t>(count));
        for (int n = 0; n < count; ++n)
            out.push_back(mesh.ask(n % 2 == 0 ? a : b, "GET", "/berths/" + std::to_string(n), { "Appletally-Timeout-Ms: 1000" }));
        REQUIRE(mesh.run([&] { return std::all_of(out.begin(), out.end(), [](const auto& it) { return it->done; }); }));
        return out;
    }
};

} // namespace

TEST_CASE("an upstream that names a limit gets no more requests than that from all nodes together", "[node][overload]")
{
    // Guards against an upstream in need that gets as many requests as before, because only its slots count.
    Service it;
    it.upstream.headers["Appletally-Limit"] = "20";
    REQUIRE(it.askMany(1)[0]->status == 200);
    const base::Time since = base::steadyNow();
    const auto answers = it.askMany(60);
    const double seconds = static_cast<double>((base::steadyNow() - since).ms) / 1000;
    CHECK(it.upstream.runs - 1 <= 1.5 * 20 * seconds + 5);
    CHECK(it.upstream.runs > 2);
    for (const auto& answer : answers) {
        CHECK((answer->status == 200 || answer->status == 503));
        CHECK((answer->status == 200 || (answer->headers["appletally-not-run"] == "1" && answer->headers.contains("retry-after"))));
    }

    it.upstream.headers.clear();
    it.mesh.run([&, at = base::steadyNow()] { return base::steadyNow() - at >= base::Duration { 200 }; });
    REQUIRE(it.askMany(1)[0]->status == 200);
    for (const auto& answer : it.askMany(60))
        CHECK(answer->status == 200);
}

TEST_CASE("an upstream that says in an answer that it leaves gets no new requests", "[node]")
{
    // Guards against requests to an upstream that leaves and whose announcement was lost, or arrives late.
    Service it;
    it.upstream.headers["Appletally-Leaving"] = "1";
    REQUIRE(it.askMany(1)[0]->status == 200);
    it.mesh.announce(it.a, it.upstream, "ready");
    for (const auto& answer : it.askMany(4)) {
        CHECK(answer->status == 503);
        CHECK(answer->headers["appletally-not-run"] == "1");
    }
    CHECK(it.upstream.runs == 1);

    TestUpstream next(it.mesh.loop());
    it.mesh.announce(it.a, next, "ready");
    it.mesh.shareEndpoints();
    CHECK(it.askMany(1)[0]->status == 200);
}

TEST_CASE("an upstream that left takes requests again once it has restarted under its id", "[node]")
{
    // Guards against an upstream process that gets no requests for what its predecessor said, or that gets some for a late
    // announcement of the process that leaves.
    Service it;
    node::Announcement announcement { { "berth-data" }, { "1.0" }, it.upstream.address, 10, config::EndpointState::Ready, "i-1", 1 };
    it.a.node->announce(announcement);
    it.upstream.headers["Appletally-Leaving"] = "1";
    REQUIRE(it.askMany(1)[0]->status == 200);
    it.upstream.headers.clear();
    it.a.node->onUpstreamLeft();
    it.a.node->announce(announcement);
    it.mesh.shareEndpoints();
    CHECK(it.askMany(1)[0]->status == 503);
    announcement.startedAtMs = 2;
    it.a.node->announce(announcement);
    it.mesh.shareEndpoints();
    CHECK(it.askMany(1)[0]->status == 200);
}

TEST_CASE("values of upstream notices that cannot be read are ignored", "[node]")
{
    // Guards against a limit of nothing, or of a wrong size, read from a damaged header field.
    const node::Dialect names;
    for (const char* text : { "", " ", "abc", "-1", "+5", "1e3", "0x10", "nan", "inf", ".5", "5.", "1.2.3", "20, 30", "12345678901234567" }) {
        const node::UpstreamNotices it = node::readNotices({ { names.limit, text } }, names);
        INFO("limit " << text);
        CHECK(!it.limit);
        CHECK(it.limitUnreadable);
    }
    CHECK(node::readNotices({ { names.limit, "20" }, { names.limit, "20" } }, names).limitUnreadable);
    CHECK(node::readNotices({ { "appletally-limit", " 6.2\t" } }, names).limit == 6.2);
    CHECK(node::readNotices({ { names.limit, "0" } }, names).limit == 0.0);
    for (const char* text : { "0", "true", "11", "" }) {
        const node::UpstreamNotices it = node::readNotices({ { names.leaving, text } }, names);
        CHECK(!it.leaving);
        CHECK(it.leavingUnreadable);
    }
    CHECK(node::readNotices({ { names.leaving, "1" } }, names).leaving);
    const node::UpstreamNotices none = node::readNotices({ { "Server-Limit", "1" } }, names);
    CHECK((!none.limit && !none.limitUnreadable && !none.leavingUnreadable));
}
