// The call path through two nodes: what callers get, and what they get when something on the way breaks.
#include "node_fixture.h"
#include "unresponsive_address.h"

#include <catch2/catch.hpp>

using namespace appletally;

namespace {

// Node "a" has the upstream; callers come to node "b".
struct Pair {
    TestMesh mesh;
    TestUpstream upstream { mesh.loop() };
    TestNode& a;
    TestNode& b;

    Pair()
        : a(mesh.addNode("a", "z1"))
        , b(mesh.addNode("b", "z2"))
    {
        mesh.announce(a, upstream, "ready");
        mesh.applyEverywhere("examples/berthgrid.json");
    }

    std::shared_ptr<TestAnswer> ask(const std::string& method, const std::string& target, const std::vector<std::string>& headers = {}, const std::string& body = "")
    {
        auto answer = mesh.ask(b, method, target, headers, body);
        REQUIRE(mesh.run([&] { return answer->done; }));
        return answer;
    }
};

} // namespace

TEST_CASE("a caller's request to any node is answered through the upstream's own node", "[node]")
{
    Pair it;
    const auto answer = it.ask("GET", "/berths/7", { "Request-Tag: t1" });
    CHECK(answer->status == 200);
    CHECK(answer->body == "t1");
    CHECK(answer->headers["appletally-result"] == "0");
    CHECK(it.upstream.runs == 1);
}

TEST_CASE("a node without a proven configuration says not ready, and that nothing ran", "[node]")
{
    TestMesh mesh;
    TestNode& node = mesh.addNode("a", "z1");
    const auto answer = mesh.ask(node, "GET", "/berths/7");
    REQUIRE(mesh.run([&] { return answer->done; }));
    CHECK(answer->status == 503);
    CHECK(answer->headers["appletally-not-run"] == "1");
}

TEST_CASE("an unknown route is refused with its code", "[node]")
{
    Pair it;
    const auto answer = it.ask("GET", "/nowhere");
    CHECK(answer->status == 404);
    CHECK(answer->headers["appletally-result"] == "401");
}

TEST_CASE("answers that are crossed at the upstream reach the callers that asked for them", "[node]")
{
    // Two agents ask at once, and the upstream answers the later request first. An agent who got the other's answer
    // would read another berth's status as its own.
    Pair it;
    it.upstream.hold = true;
    const auto first = it.mesh.ask(it.b, "GET", "/berths/1", { "Request-Tag: one" });
    REQUIRE(it.mesh.run([&] { return it.upstream.held.size() == 1; }));
    const auto second = it.mesh.ask(it.b, "GET", "/berths/2", { "Request-Tag: two" });
    REQUIRE(it.mesh.run([&] { return it.upstream.held.size() == 2; }));
    std::swap(it.upstream.held[0], it.upstream.held[1]);
    it.upstream.answerHeld();
    REQUIRE(it.mesh.run([&] { return first->done && second->done; }));
    CHECK(first->body == "one");
    CHECK(second->body == "two");
}

TEST_CASE("an archive larger than any buffer passes two nodes whole", "[node]")
{
    Pair it;
    it.upstream.bodyBytes = 8 * 1024 * 1024;
    const auto answer = it.ask("GET", "/archive/2026-11");
    CHECK(answer->status == 200);
    CHECK(answer->body.size() == it.upstream.bodyBytes);
}

TEST_CASE("an answer that is cut never passes as whole", "[node]")
{
    // The upstream dies in the middle of its answer. A short one must not reach the caller at all; of a large one the
    // caller has seen the beginning, and must see that it broke. A clerk would otherwise bill from half an archive.
    Pair it;
    it.upstream.cuts = true;
    const auto small = it.ask("GET", "/berths/7", { "Request-Tag: t" });
    CHECK(small->status >= 500);
    CHECK(small->headers["appletally-result"] != "0");
    it.upstream.bodyBytes = 2 * 1024 * 1024;
    const auto large = it.ask("GET", "/archive/2026-11");
    CHECK(large->status == 0); // no whole answer: the connection was reset
}

TEST_CASE("a draining upstream gets no new work, at once", "[node]")
{
    // The upstream says that it leaves, and the endpoint record that says so is still on its way. A request sent there
    // now would be cut when the upstream stops.
    Pair it;
    REQUIRE(it.ask("GET", "/berths/7")->status == 200);
    it.mesh.announce(it.a, it.upstream, "draining");
    const auto answer = it.ask("GET", "/berths/7");
    CHECK(answer->status == 503);
    CHECK(answer->headers["appletally-not-run"] == "1");
    CHECK(it.upstream.runs == 1);
}

TEST_CASE("an upstream that stopped listening gives a refusal that is true", "[node]")
{
    // The upstream's process died and its announcement has not run out yet; its port refuses. Nothing can have run.
    Pair it;
    it.mesh.announce(it.a, it.upstream, "ready", 10, "1.0", "plug-control");
    it.mesh.shareEndpoints();
    evhttp_free(it.upstream.http);
    it.upstream.http = evhttp_new(it.mesh.loop());
    const auto answer = it.ask("POST", "/plugs/connect", { "Idempotency-Key: k1" }, "{}");
    CHECK(answer->status == 503);
    CHECK(answer->headers["appletally-not-run"] == "1");
}

TEST_CASE("the owner's node dies while a read runs: the caller learns that the outcome is unknown or gets another upstream", "[node]")
{
    // A host loses power in the middle of a request. With one upstream there is nobody else to ask.
    Pair it;
    it.upstream.hold = true;
    const auto answer = it.mesh.ask(it.b, "GET", "/berths/7", { "Request-Tag: t" });
    REQUIRE(it.mesh.run([&] { return it.upstream.held.size() == 1; }));
    it.mesh.removeNode("a");
    REQUIRE(it.mesh.run([&] { return answer->done; }));
    CHECK(answer->status >= 500);
    CHECK(answer->headers["appletally-result"] != "0");
}

TEST_CASE("a node that is asked to stop finishes what runs and cuts nothing", "[node]")
{
    // A host is rebooted for an update while a slow read runs. A cut here would be an outage that somebody planned.
    Pair it;
    it.upstream.hold = true;
    const auto answer = it.mesh.ask(it.b, "GET", "/berths/7", { "Request-Tag: t" });
    REQUIRE(it.mesh.run([&] { return it.upstream.held.size() == 1; }));
    bool stopped = false;
    it.a.node->stop([&] { stopped = true; });
    const auto late = it.mesh.ask(it.b, "GET", "/berths/8");
    REQUIRE(it.mesh.run([&] { return late->done; }));
    CHECK(late->headers["appletally-not-run"] == "1");
    // Past its draining the node takes no connection any more; what runs still keeps it.
    std::shared_ptr<TestAnswer> next;
    do {
        next = it.mesh.ask(it.a, "GET", "/berths/9");
        REQUIRE(it.mesh.run([&] { return next->done; }));
    } while (next->status != 0);
    CHECK_FALSE(stopped);
    it.upstream.answerHeld();
    REQUIRE(it.mesh.run([&] { return answer->done && stopped; }));
    CHECK(answer->status == 200);
    CHECK(answer->body == "t");
}

TEST_CASE("a stop that cannot wait any longer gives those who wait a final answer", "[node]")
{
    // A host is rebooted while its node's callers wait for answers that are stuck on a crowded line. The platform kills the
    // node after some seconds; a crew whose connection just ends does not know what became of its request.
    TestMesh mesh;
    TestUpstream upstream(mesh.loop());
    TestNode& owner = mesh.addNode("a", "z1");
    mesh.stopBound = { 400 };
    TestNode& stopping = mesh.addNode("b", "z2");
    mesh.announce(owner, upstream, "ready");
    mesh.applyEverywhere("examples/berthgrid.json");
    upstream.hold = true;
    const auto answer = mesh.ask(stopping, "GET", "/berths/7");
    REQUIRE(mesh.run([&] { return upstream.held.size() == 1; }));
    bool stopped = false;
    stopping.node->stop([&] { stopped = true; });
    REQUIRE(mesh.run([&] { return answer->done && stopped; }));
    CHECK(answer->status == 502);
    CHECK(answer->headers["appletally-result"] == "501");
    CHECK(answer->headers["appletally-not-run"] != "1");
}

TEST_CASE("a host whose address has another service's upstream now turns nobody away", "[node]")
{
    // A host is lost with its upstream, and a new host of another service gets its address before the old record has run
    // out. Its node says truly that it has no such upstream; members are refused for seconds while others of their service
    // idle, and the new node's idle slots draw more of them.
    Pair it;
    TestUpstream other(it.mesh.loop());
    TestNode& c = it.mesh.addNode("c", "z2");
    it.mesh.announce(c, other, "ready", 10, "1.0", "plug-control");
    it.mesh.applyEverywhere("examples/berthgrid.json");
    config::Endpoint old;
    old.host = { "lost" };
    old.service = { "berth-data" };
    old.version = { "1.0" };
    old.zone = { "z2" }; // the callers' own
    old.inner = c.addresses.inner;
    old.slots = 10;
    old.incarnation = { 1 };
    old.sequence = { 1 };
    it.b.fromControl.send(inner::EndpointsChanged { { old } });
    for (int n = 0; n < 20; ++n)
        CHECK(it.ask("GET", "/berths/7")->status == 200);
    it.b.fromControl.send(inner::DumpRequested { 1 });
    REQUIRE(it.mesh.run([&] { return std::holds_alternative<inner::DumpAnswered>(it.b.toControl.back()); }));
    const auto dump = base::Json::parse(std::get<inner::DumpAnswered>(it.b.toControl.back()).json);
    CHECK(dump["ingress"]["counts"]["retried"] <= 2); // it is left alone once it has said so
}

TEST_CASE("evidence goes to control only while a rollout decides by it, and then with its history", "[node][rollout]")
{
    // Nobody notices a rollout in a service that has none. Yet each node went on telling how every answer had gone, control
    // passed it on between all of its processes, and operators paid for links between zones that carried little else. A
    // rollout that begins later still compares with all that the old version did before.
    Pair it;
    const auto reported = [&] {
        uint64_t answers = 0;
        for (const inner::FromNode& message : it.a.toControl) {
            const auto* seen = std::get_if<inner::EvidenceCollected>(&message);
            for (const config::Evidence& each : seen ? seen->evidence : std::vector<config::Evidence> {})
                answers = std::max(answers, each.answers + each.coldAnswers);
        }
        return answers;
    };
    for (int n = 0; n < 3; ++n)
        it.ask("GET", "/berths/7");
    const base::Time since = base::steadyNow();
    REQUIRE(it.mesh.run([&] { return base::steadyNow() - since > base::Duration { 500 }; }));
    CHECK(reported() == 0);

    it.mesh.rollout = { "berth-data", "1.0", "2.0", 50 };
    it.mesh.applyEverywhere("examples/berthgrid.json");
    CHECK(it.mesh.run([&] { return reported() == 3; }));
}

TEST_CASE("a request to a host without power is tried elsewhere at once", "[node]")
{
    // A host loses power; its record runs out after seconds. A node that has no link to it yet sends a request there: nothing
    // comes back, not even a refusal, and the caller waited for a second or until its time was over beside an idle upstream.
    Pair it;
    UnresponsiveAddress deaf;
    config::Endpoint dark;
    for (const inner::FromNode& message : it.a.toControl) {
        if (const auto* announced = std::get_if<inner::EndpointAnnounced>(&message))
            dark = announced->endpoint;
    }
    dark.host = { "dark" };
    dark.zone = { "z2" }; // where the caller is
    dark.inner = deaf.address;
    it.b.fromControl.send(inner::EndpointsChanged { { dark } });
    const base::Time since = base::steadyNow();
    int others = 0;
    for (int n = 0; n < 6; ++n)
        others += it.ask("GET", "/berths/7")->status == 200 ? 1 : 0;
    CHECK(others == 6);
    CHECK(base::steadyNow() - since < base::Duration { 900 });
}

TEST_CASE("requests that come while the configuration is on its way are served with it", "[node]")
{
    // All processes start again. A node listens before control has proved which version it may have, and control answers already.
    // Its callers were refused, came back half a second later with most of their time gone, and all at once.
    TestMesh mesh;
    TestNode& a = mesh.addNode("a", "z1");
    TestUpstream upstream { mesh.loop() };
    mesh.announce(a, upstream, "ready");
    const auto ask = [&](const char* left) { return mesh.ask(a, "GET", "/berths/7", { std::string("Appletally-Timeout-Ms: ") + left }); };

    const auto alone = ask("4000"); // no source of configuration answers: nobody knows whether one ever will
    REQUIRE(mesh.run([&] { return alone->done; }));
    CHECK(alone->status == 503);

    a.fromControl.send(inner::ControlReachable { true });
    event_base_loop(mesh.loop(), EVLOOP_NONBLOCK);
    const auto early = ask("4000");
    const auto urgent = ask("400");
    REQUIRE(mesh.run([&] { return urgent->done; })); // an eighth of its time is over
    CHECK(urgent->status == 503);
    CHECK(urgent->headers["appletally-not-run"] == "1");
    CHECK_FALSE(early->done);
    mesh.applyEverywhere("examples/berthgrid.json");
    REQUIRE(mesh.run([&] { return early->done; }));
    CHECK(early->status == 200);
    CHECK(upstream.runs == 1);
}
