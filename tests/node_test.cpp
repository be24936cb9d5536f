// The call path through two nodes: answers to callers, also when a part of the path fails.
#include "node_fixture.h"
#include "unresponsive_address.h"

#include <catch2/catch.hpp>

using namespace appletally;

namespace {

// Node "a" has the upstream; callers connect to node "b".
struct NodePair {
    TestMesh mesh;
    TestUpstream upstream { mesh.loop() };
    TestNode& a;
    TestNode& b;

    NodePair()
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

TEST_CASE("a request to any node is answered through the owner of the upstream", "[node]")
{
    NodePair it;
    const auto answer = it.ask("GET", "/berths/7", { "Request-Tag: t1" });
    CHECK(answer->status == 200);
    CHECK(answer->body == "t1");
    CHECK(answer->headers["appletally-result"] == "0");
    CHECK(it.upstream.runs == 1);
}

TEST_CASE("a node without a proven configuration answers not ready and not run", "[node]")
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
    NodePair it;
    const auto answer = it.ask("GET", "/nowhere");
    CHECK(answer->status == 404);
    CHECK(answer->headers["appletally-result"] == "401");
}

TEST_CASE("answers sent out of order by the upstream reach the right callers", "[node]")
{
    // Two requests are active, and the upstream answers the later one first. If answers were mixed up, a caller would read
    // the status of another berth as its own.
    NodePair it;
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

TEST_CASE("an answer larger than any buffer passes two nodes completely", "[node]")
{
    NodePair it;
    it.upstream.bodyBytes = 8 * 1024 * 1024;
    const auto answer = it.ask("GET", "/archive/2026-11");
    CHECK(answer->status == 200);
    CHECK(answer->body.size() == it.upstream.bodyBytes);
}

TEST_CASE("a truncated answer is never passed on as complete", "[node]")
{
    // The upstream fails while it sends its answer. A small one must not reach the caller at all; a large one is streamed, so
    // the caller's connection must be reset. Otherwise the caller would process a partial archive as complete.
    NodePair it;
    it.upstream.truncatesAnswers = true;
    const auto small = it.ask("GET", "/berths/7", { "Request-Tag: t" });
    CHECK(small->status >= 500);
    CHECK(small->headers["appletally-result"] != "0");
    it.upstream.bodyBytes = 2 * 1024 * 1024;
    const auto large = it.ask("GET", "/archive/2026-11");
    CHECK(large->status == 0); // no complete answer: the connection was reset
}

TEST_CASE("a draining upstream immediately gets no new calls", "[node]")
{
    // The upstream reports that it drains, but the endpoint record has not arrived yet. A request sent there now would be
    // aborted when the upstream stops.
    NodePair it;
    REQUIRE(it.ask("GET", "/berths/7")->status == 200);
    it.mesh.announce(it.a, it.upstream, "draining");
    const auto answer = it.ask("GET", "/berths/7");
    CHECK(answer->status == 503);
    CHECK(answer->headers["appletally-not-run"] == "1");
    CHECK(it.upstream.runs == 1);
}

TEST_CASE("a refused connection to the upstream is reported as not run", "[node]")
{
    // The upstream process has died, its announcement has not expired yet, and its port refuses connections. Nothing can
    // have run.
    NodePair it;
    it.mesh.announce(it.a, it.upstream, "ready", 10, "1.0", "plug-control");
    it.mesh.shareEndpoints();
    evhttp_free(it.upstream.http);
    it.upstream.http = evhttp_new(it.mesh.loop());
    const auto answer = it.ask("POST", "/plugs/connect", { "Idempotency-Key: k1" }, "{}");
    CHECK(answer->status == 503);
    CHECK(answer->headers["appletally-not-run"] == "1");
}

TEST_CASE("the owner dies while a read runs: the caller gets outcome unknown or another upstream's answer", "[node]")
{
    // A host loses power during a request. With a single upstream there is no retry elsewhere.
    NodePair it;
    it.upstream.hold = true;
    const auto answer = it.mesh.ask(it.b, "GET", "/berths/7", { "Request-Tag: t" });
    REQUIRE(it.mesh.run([&] { return it.upstream.held.size() == 1; }));
    it.mesh.removeNode("a");
    REQUIRE(it.mesh.run([&] { return answer->done; }));
    CHECK(answer->status >= 500);
    CHECK(answer->headers["appletally-result"] != "0");
}

TEST_CASE("a stopping node finishes active requests", "[node]")
{
    // A host is rebooted for an update while a slow read runs. An aborted read would make every planned reboot an outage.
    NodePair it;
    it.upstream.hold = true;
    const auto answer = it.mesh.ask(it.b, "GET", "/berths/7", { "Request-Tag: t" });
    REQUIRE(it.mesh.run([&] { return it.upstream.held.size() == 1; }));
    bool stopped = false;
    it.a.node->stop([&] { stopped = true; });
    const auto late = it.mesh.ask(it.b, "GET", "/berths/8");
    REQUIRE(it.mesh.run([&] { return late->done; }));
    CHECK(late->headers["appletally-not-run"] == "1");
    // After draining the node accepts no connections, but stays up for the active request.
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

TEST_CASE("at the graceful shutdown timeout, waiting callers get a final answer", "[node]")
{
    // A host is rebooted while callers of its node wait for answers delayed on a congested link, and the platform kills the node
    // after some seconds. A caller whose connection just closes does not learn that the outcome is unknown.
    TestMesh mesh;
    TestUpstream upstream(mesh.loop());
    TestNode& owner = mesh.addNode("a", "z1");
    mesh.gracefulShutdownTimeout = { 400 };
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

TEST_CASE("no request is rejected because a host's address now belongs to another service's host", "[node]")
{
    // A host is lost, and a new host of another service gets its address before the old record has expired. Its node correctly
    // answers that it has no such upstream. Callers were refused for seconds while other upstreams of the service were idle,
    // and the idle slots of the new node attracted more requests.
    NodePair it;
    TestUpstream other(it.mesh.loop());
    TestNode& c = it.mesh.addNode("c", "z2");
    it.mesh.announce(c, other, "ready", 10, "1.0", "plug-control");
    it.mesh.applyEverywhere("examples/berthgrid.json");
    config::Endpoint old;
    old.host = { "lost" };
    old.service = { "berth-data" };
    old.version = { "1.0" };
    old.zone = { "z2" }; // the callers' own zone
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
    CHECK(dump["ingress"]["counts"]["retried"] <= 2); // the host is not selected again after its refusal
}

TEST_CASE("evidence is sent to control only during a rollout, and includes earlier answers", "[node][rollout]")
{
    // Nodes reported evidence for all services, also without a rollout, and control replicated it between its processes: most
    // of the traffic between zones served no decision. A rollout that starts later still needs the old version's history.
    NodePair it;
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

TEST_CASE("a request to an unresponsive host is quickly retried elsewhere", "[node]")
{
    // A host loses power, and its record expires only after seconds. A node without a link to it sends a request there and
    // gets no response, not even a refusal. The caller waited for a second or until its deadline while an upstream was idle.
    NodePair it;
    UnresponsiveAddress unresponsiveAddress;
    config::Endpoint unresponsive;
    for (const inner::FromNode& message : it.a.toControl) {
        if (const auto* announced = std::get_if<inner::EndpointAnnounced>(&message))
            unresponsive = announced->endpoint;
    }
    unresponsive.host = { "dark" };
    unresponsive.zone = { "z2" }; // the callers' own zone
    unresponsive.inner = unresponsiveAddress.address;
    it.b.fromControl.send(inner::EndpointsChanged { { unresponsive } });
    const base::Time since = base::steadyNow();
    int others = 0;
    for (int n = 0; n < 6; ++n)
        others += it.ask("GET", "/berths/7")->status == 200 ? 1 : 0;
    CHECK(others == 6);
    CHECK(base::steadyNow() - since < base::Duration { 900 });
}

TEST_CASE("requests that arrive before the configuration are served once it is applied", "[node]")
{
    // All processes restart, and a node listens before control has proved which version it may apply, though control is
    // reachable. Its callers were refused and retried half a second later, all at once and with little time left.
    TestMesh mesh;
    TestNode& a = mesh.addNode("a", "z1");
    TestUpstream upstream { mesh.loop() };
    mesh.announce(a, upstream, "ready");
    const auto ask = [&](const char* left) { return mesh.ask(a, "GET", "/berths/7", { std::string("Appletally-Timeout-Ms: ") + left }); };

    const auto withoutSource = ask("4000"); // no source of configuration is reachable, so the request must not wait
    REQUIRE(mesh.run([&] { return withoutSource->done; }));
    CHECK(withoutSource->status == 503);

    a.fromControl.send(inner::ControlReachable { true });
    event_base_loop(mesh.loop(), EVLOOP_NONBLOCK);
    const auto early = ask("4000");
    const auto urgent = ask("400");
    REQUIRE(mesh.run([&] { return urgent->done; })); // an eighth of its timeout has passed
    CHECK(urgent->status == 503);
    CHECK(urgent->headers["appletally-not-run"] == "1");
    CHECK_FALSE(early->done);
    mesh.applyEverywhere("examples/berthgrid.json");
    REQUIRE(mesh.run([&] { return early->done; }));
    CHECK(early->status == 200);
    CHECK(upstream.runs == 1);
}
