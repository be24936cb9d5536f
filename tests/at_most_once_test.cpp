// A plug command through real nodes: it runs at most once, whatever breaks, and what the caller is told is true.
#include "node_fixture.h"

#include <catch2/catch.hpp>

using namespace appletally;

namespace {

// Three nodes keep claims. "a" and "c" have an upstream of the plug control service each; callers come to "b" and "c".
struct Three {
    TestMesh mesh;
    TestUpstream first { mesh.loop() };
    TestUpstream second { mesh.loop() };
    TestNode& a;
    TestNode& b;
    TestNode& c;

    Three()
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

TEST_CASE("a resend of a finished command gets the first answer and does not run again", "[at-most-once]")
{
    // A crew's tablet loses the answer to a plug disconnect and sends it again, through another node. Run twice, it
    // would cut the cooling of the next ship on that plug.
    Three it;
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
    // An impatient client sends the command again while the first is still running. The second is told that the key is
    // held, never that nothing ran.
    Three it;
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

TEST_CASE("the owner's node dies while a command runs: a resend elsewhere does not run it again", "[at-most-once]")
{
    // The host beside the plug loses its node in the middle of a disconnect. The command may have reached the plug, so
    // neither the first caller nor the resend may be told that it did not run, and no other upstream may get it.
    Three it;
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

TEST_CASE("a refusal of a resend says not run only if no earlier send has run", "[at-most-once]")
{
    // The answer to a disconnect is lost, the upstream drains, and the crew sends the command again. This send runs
    // nowhere; a refusal that says so would be read as leave to send the command under a new key.
    Three it;
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

TEST_CASE("with two of three keepers gone a command is refused and has truly not run", "[at-most-once]")
{
    // Two hosts fail together. Without a majority nobody can know whether the key ran, so nothing may run under it.
    Three it;
    it.mesh.announce(it.c, it.second, "ready", 10, "1.0", "plug-control");
    it.mesh.removeNode("a");
    it.mesh.removeNode("b");
    const auto answer = it.disconnect(it.c, "k4");
    REQUIRE(it.mesh.run([&] { return answer->done; }));
    CHECK(answer->status >= 500);
    CHECK(it.runs("k4") == 0);
}

TEST_CASE("one key with two different requests: the second is refused", "[at-most-once]")
{
    // A client's counter starts over and an old key comes with a command for another berth. The first one's answer
    // would tell the crew that this berth was disconnected.
    Three it;
    const auto answer = it.disconnect(it.b, "k5");
    REQUIRE(it.mesh.run([&] { return answer->done; }));
    const auto other = it.disconnect(it.b, "k5", "{\"berth\":8}");
    REQUIRE(it.mesh.run([&] { return other->done; }));
    CHECK(other->status == 422);
    CHECK(it.runs("k5") == 1);
}

TEST_CASE("a bad new version is stopped by the node beside it, and callers are served by the old one", "[rollout]")
{
    // A new version fails on every request. Until control has heard and agreed, hundreds of milliseconds pass; the node
    // beside it sees each answer, and after a few its refusals are "not run", which the caller's node takes to the old one.
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

TEST_CASE("a new version is not stopped for what fails the old one as well, and is for what does not", "[rollout]")
{
    // A store that both versions use goes away: stopping the new one would blame it for nothing, and the move would end.
    // In the second half only the new one fails, and with control away every answer until it is stopped is lost.
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
        ask(200); // both well: the new one is past its warm-up, and the old one's baseline is known
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
            CHECK(fresh.runs - before <= 8); // without the old one's baseline it takes nineteen
    }
}
