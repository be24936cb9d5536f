// Keyed requests through real nodes run at most once despite failures, and the reported outcome is correct.
#include "node_fixture.h"

#include <catch2/catch.hpp>

using namespace appletally;

namespace {

// Three nodes are keepers. "a" and "c" have an upstream of the plug control service each; callers connect to "b" and "c".
struct ThreeNodes {
    TestMesh mesh;
    TestUpstream first { mesh.loop() };
    TestUpstream second { mesh.loop() };
    TestNode& a;
    TestNode& b;
    TestNode& c;

    ThreeNodes()
        : a(mesh.addNode("a", "z1"))
        , b(mesh.addNode("b", "z2"))
        , c(mesh.addNode("c", "z3"))
    {
        mesh.announce(a, first, "ready", 10, "1.0", "plug-control");
        mesh.applyEverywhere("examples/berthgrid.json");
    }

    void addSecond()
    {
        mesh.announce(c, second, "ready", 10, "1.0", "plug-control");
        mesh.shareEndpoints();
    }

    std::shared_ptr<TestAnswer> disconnect(const TestNode& node, const std::string& key, const std::string& body = "{\"berth\":7}")
    {
        return mesh.ask(node, "POST", "/plugs/disconnect", { "Idempotency-Key: " + key, "Appletally-Caller: crew-4", "Request-Tag: " + key }, body);
    }

    int runs(const std::string& key) { return first.runsByKey[key] + second.runsByKey[key]; }
};

} // namespace

TEST_CASE("a resend of a completed request gets the recorded answer and does not run again", "[at-most-once]")
{
    // A client loses the answer to a plug disconnect and resends it through another node. A second run would disconnect the
    // next ship on that plug.
    ThreeNodes it;
    const auto answer = it.disconnect(it.b, "k1");
    REQUIRE(it.mesh.run([&] { return answer->done; }));
    REQUIRE(answer->status == 200);
    it.addSecond();
    const auto again = it.disconnect(it.c, "k1");
    REQUIRE(it.mesh.run([&] { return again->done; }));
    CHECK(again->status == 200);
    CHECK(again->body == answer->body);
    CHECK(again->headers["appletally-recorded"] == "1");
    CHECK(it.runs("k1") == 1);
}

TEST_CASE("the same key sent through two nodes at once runs once", "[at-most-once]")
{
    // A client resends a request while the first send is still running. The second must get claim-held, never not run.
    ThreeNodes it;
    it.addSecond();
    it.first.hold = it.second.hold = true;
    const auto one = it.disconnect(it.b, "k2");
    const auto two = it.disconnect(it.c, "k2");
    REQUIRE(it.mesh.run([&] { return one->done || two->done; }));
    it.first.answerHeld();
    it.second.answerHeld();
    REQUIRE(it.mesh.run([&] { return one->done && two->done; }));
    CHECK(it.runs("k2") == 1);
    const auto& refused = one->status == 200 ? two : one;
    CHECK((one->status == 200) != (two->status == 200));
    CHECK(refused->headers["appletally-not-run"].empty());
}

TEST_CASE("the owner dies during a run: a resend elsewhere does not run again", "[at-most-once]")
{
    // The owner is lost while a disconnect runs. The request may have taken effect, so neither the first send nor the resend
    // may be answered with not run, and no other upstream may receive it.
    ThreeNodes it;
    it.first.hold = true;
    const auto answer = it.disconnect(it.b, "k3");
    REQUIRE(it.mesh.run([&] { return it.first.held.size() == 1; }));
    it.mesh.removeNode("a");
    REQUIRE(it.mesh.run([&] { return answer->done; }));
    CHECK(answer->headers["appletally-not-run"].empty());
    CHECK(answer->headers["appletally-result"] == "501");
    it.addSecond();
    const auto again = it.disconnect(it.c, "k3");
    REQUIRE(it.mesh.run([&] { return again->done; }));
    CHECK(again->status != 200);
    CHECK(again->headers["appletally-not-run"].empty());
    CHECK(it.runs("k3") == 1);
}

TEST_CASE("a resend is refused as not run only if no earlier send has run", "[at-most-once]")
{
    // The answer to a disconnect is lost, the upstream drains, and the client resends the request. The resend does not run,
    // but if it were answered with not run, the client could send the request under a new key and run it twice.
    ThreeNodes it;
    const auto answer = it.disconnect(it.b, "k6");
    REQUIRE(it.mesh.run([&] { return answer->done; }));
    it.mesh.announce(it.a, it.first, "draining", 10, "1.0", "plug-control");
    const auto again = it.disconnect(it.c, "k6");
    const auto fresh = it.disconnect(it.c, "k7");
    REQUIRE(it.mesh.run([&] { return again->done && fresh->done; }));
    CHECK(again->status == 200);
    CHECK(again->headers["appletally-recorded"] == "1");
    CHECK(fresh->headers["appletally-not-run"] == "1");
    CHECK(it.runs("k6") == 1);
    CHECK(it.runs("k7") == 0);
}

TEST_CASE("without a majority of keepers a request is refused and does not run", "[at-most-once]")
{
    // Two of three hosts fail together. Without a majority of keepers it is unknown whether the key has run, so nothing may
    // run under it.
    ThreeNodes it;
    it.mesh.announce(it.c, it.second, "ready", 10, "1.0", "plug-control");
    it.mesh.removeNode("a");
    it.mesh.removeNode("b");
    const auto answer = it.disconnect(it.c, "k4");
    REQUIRE(it.mesh.run([&] { return answer->done; }));
    CHECK(answer->status >= 500);
    CHECK(it.runs("k4") == 0);
}

TEST_CASE("a key that is reused for a different request is refused", "[at-most-once]")
{
    // A client's key counter restarts, and an old key arrives with a request for another berth. The recorded answer would
    // wrongly report that this berth was disconnected.
    ThreeNodes it;
    const auto answer = it.disconnect(it.b, "k5");
    REQUIRE(it.mesh.run([&] { return answer->done; }));
    const auto other = it.disconnect(it.b, "k5", "{\"berth\":8}");
    REQUIRE(it.mesh.run([&] { return other->done; }));
    CHECK(other->status == 422);
    CHECK(it.runs("k5") == 1);
}

TEST_CASE("the owner stops a failing new version, and the old version serves its requests", "[rollout]")
{
    // A new version fails every request. A decision by control takes hundreds of milliseconds. The owner sees every answer and
    // refuses calls as not run after a few failures, so the ingress sends them to the old version.
    TestMesh mesh;
    TestUpstream good(mesh.loop());
    TestUpstream bad(mesh.loop());
    bad.status = 500;
    TestNode& a = mesh.addNode("a", "z1");
    TestNode& b = mesh.addNode("b", "z1");
    TestNode& c = mesh.addNode("c", "z1");
    mesh.announce(a, good, "ready", 10, "1.0");
    mesh.announce(b, bad, "ready", 10, "2.0");
    mesh.rollout = { "berth-data", "1.0", "2.0", 500 };
    mesh.applyEverywhere("examples/berthgrid.json");
    int failed = 0;
    int answered = 0;
    for (int n = 0; n < 300; ++n) {
        const auto answer = mesh.ask(c, "GET", "/berths/" + std::to_string(n));
        REQUIRE(mesh.run([&] { return answer->done; }));
        ++(answer->status == 200 ? answered : failed);
    }
    INFO("failed " << failed << ", runs of the bad version " << bad.runs);
    CHECK(bad.runs < 60);
    CHECK(answered >= 240);
    const int before = bad.runs;
    const auto answer = mesh.ask(c, "GET", "/berths/last");
    REQUIRE(mesh.run([&] { return answer->done; }));
    CHECK(answer->status == 200);
    CHECK(bad.runs == before);
}

TEST_CASE("a new version is stopped for failures of its own, not for those it shares with the old one", "[rollout]")
{
    // A store that both versions use fails: stopping the new version would end the rollout without cause. In the second pass
    // only the new version fails, and without control every answer is lost until the owner stops it.
    for (const bool bothFail : { true, false }) {
        TestMesh mesh;
        TestUpstream old(mesh.loop());
        TestUpstream fresh(mesh.loop());
        TestNode& a = mesh.addNode("a", "z1");
        TestNode& b = mesh.addNode("b", "z1");
        TestNode& c = mesh.addNode("c", "z1");
        mesh.announce(a, old, "ready", 10, "1.0");
        mesh.announce(b, fresh, "ready", 10, "2.0");
        mesh.rollout = { "berth-data", "1.0", "2.0", 200 };
        mesh.applyEverywhere("examples/berthgrid.json");
        const auto ask = [&](int count) {
            for (int n = 0; n < count; ++n) {
                const auto answer = mesh.ask(c, "GET", "/berths/" + std::to_string(n));
                REQUIRE(mesh.run([&] { return answer->done; }));
            }
        };
        ask(200); // both succeed: the new version is past its slow start, and the old one's baseline is known
        fresh.status = 500;
        old.status = bothFail ? 500 : 200;
        const int before = fresh.runs;
        ask(200);
        b.fromControl.send(inner::DumpRequested { 1 });
        event_base_loop(mesh.loop(), EVLOOP_NONBLOCK);
        const auto versions = base::Json::parse(std::get<inner::DumpAnswered>(b.toControl.back()).json)["owner"]["versions"];
        INFO(versions.dump());
        INFO("both fail " << bothFail << ", runs of the new version " << fresh.runs - before);
        if (bothFail)
            CHECK(fresh.runs - before >= 20);
        else
            CHECK(fresh.runs - before <= 8); // without the old version's baseline it takes 19
    }
}
