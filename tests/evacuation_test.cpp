// Evacuated availability zones and cold upstreams as callers and upstreams of nodes see them.
#include "node_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace appletally;

namespace {

constexpr int evacuatedCode = static_cast<int>(base::Code::ZoneEvacuated);

// An upstream in each of two zones.
struct TwoZones {
    TestMesh mesh;
    TestUpstream first { mesh.loop() };
    TestUpstream second { mesh.loop() };
    TestNode& a = mesh.addNode("a", "z1");
    TestNode& b = mesh.addNode("b", "z2");

    TwoZones()
    {
        mesh.announce(a, first, "ready");
        mesh.announce(b, second, "ready");
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

    void pass(int64_t ms)
    {
        mesh.run([&, at = base::steadyNow()] { return base::steadyNow() - at >= base::Duration { ms }; });
    }
};

} // namespace

TEST_CASE("callers of an evacuated zone are served from the other zones", "[node][evacuation]")
{
    // Guards against requests that reach a zone that is about to lose power, and against callers there that lose service.
    TwoZones it;
    it.mesh.evacuatedZones = { { "z1" } };
    it.mesh.applyEverywhere("examples/berthgrid.json");
    for (const auto& answer : it.askMany(40))
        CHECK(answer->status == 200);
    CHECK(it.first.runs == 0);
    CHECK(it.second.runs == 40);
    it.mesh.evacuatedZones = {};
    it.mesh.applyEverywhere("examples/berthgrid.json");
    for (const auto& answer : it.askMany(40))
        CHECK(answer->status == 200);
    CHECK(it.first.runs > 0);
}

TEST_CASE("a service whose upstreams are all in evacuated zones refuses at once", "[node][evacuation]")
{
    // Guards against callers that wait until their deadline for a zone that takes no requests.
    TwoZones it;
    it.mesh.evacuatedZones = { { "z1" }, { "z2" } };
    it.mesh.applyEverywhere("examples/berthgrid.json");
    const base::Time since = base::steadyNow();
    for (const auto& answer : it.askMany(6)) {
        CHECK(answer->status == 503);
        CHECK(answer->headers["appletally-not-run"] == "1");
        CHECK(answer->headers.contains("retry-after"));
    }
    CHECK(base::steadyNow() - since < base::Duration { 500 });
    CHECK(it.first.runs + it.second.runs == 0);
}

TEST_CASE("a node that has not heard of an evacuation is refused by the owner, and sends elsewhere", "[node][evacuation]")
{
    // Guards against requests that nodes which were cut off send into an evacuated zone.
    TwoZones it;
    it.mesh.applyEverywhere("examples/berthgrid.json");
    it.mesh.nodes().at("b")->node->announce({ { "berth-data" }, { "1.0" }, it.second.address, 10, config::EndpointState::Draining, "", 0 });
    it.mesh.evacuatedZones = { { "z1" } };
    const auto only = it.mesh.snapshotFor("examples/berthgrid.json");
    it.a.fromControl.send(inner::SnapshotReleased { only });
    it.pass(20);
    const auto answer = it.mesh.ask(it.b, "GET", "/berths/1", { "Appletally-Timeout-Ms: 1000" });
    REQUIRE(it.mesh.run([&] { return answer->done; }));
    CHECK((answer->status == 421 || answer->status == 503));
    CHECK(answer->headers["appletally-not-run"] == "1");
    CHECK(answer->headers["appletally-result"] == std::to_string(evacuatedCode));
    CHECK(it.first.runs == 0);
}

TEST_CASE("requests that run in a zone as it is evacuated end there, and those that wait are refused", "[node][evacuation]")
{
    // Guards against commands that are broken off half-way, and against queued ones that start after the evacuation.
    TwoZones it;
    it.mesh.announce(it.a, it.first, "ready", 1);
    it.mesh.announce(it.b, it.second, "draining");
    it.mesh.applyEverywhere("examples/berthgrid.json");
    it.first.hold = true;
    const auto running = it.mesh.ask(it.a, "GET", "/berths/1", { "Appletally-Timeout-Ms: 2000", "Appletally-Caller: x" });
    REQUIRE(it.mesh.run([&] { return it.first.runs == 1; }));
    const auto waiting = it.mesh.ask(it.a, "GET", "/berths/2", { "Appletally-Timeout-Ms: 2000", "Appletally-Caller: y" });
    it.pass(50);
    it.mesh.evacuatedZones = { { "z1" } };
    it.mesh.applyEverywhere("examples/berthgrid.json");
    const base::Time ordered = base::steadyNow();
    REQUIRE(it.mesh.run([&] { return waiting->done; }));
    CHECK(base::steadyNow() - ordered < base::Duration { 500 });
    CHECK(waiting->headers["appletally-not-run"] == "1");
    CHECK(!running->done);
    it.first.answerHeld();
    REQUIRE(it.mesh.run([&] { return running->done; }));
    CHECK(running->status == 200);
    CHECK(it.first.runs == 1);
}

TEST_CASE("an upstream that is cold gets no more than its rate from all nodes together", "[node][cold]")
{
    // Guards against an upstream that crashes because each of many nodes takes it for warm, or gives it a slot.
    TwoZones it;
    it.mesh.coldRate = { 20'000 };
    it.mesh.coldWindow = { 1000 };
    it.mesh.announce(it.b, it.second, "draining");
    it.mesh.applyEverywhere("examples/berthgrid.json");
    node::Announcement announcement { { "berth-data" }, { "1.0" }, it.first.address, 10, config::EndpointState::Ready, "i-1", 1, {}, base::Duration { 800 } };
    it.a.node->announce(announcement);
    it.mesh.shareEndpoints();
    CHECK(it.a.node->metrics().find("# TYPE appletally_upstream_cold gauge\nappletally_upstream_cold 1\n") != std::string::npos);
    const int before = it.first.runs;
    const base::Time since = base::steadyNow();
    it.askMany(60);
    const double seconds = static_cast<double>((base::steadyNow() - since).ms) / 1000;
    CHECK(it.first.runs - before <= 20 * seconds + 3);
    CHECK(it.first.runs > before);

    it.pass(850);
    for (const auto& answer : it.askMany(30))
        CHECK(answer->status == 200);

    announcement.coldRemaining = base::Duration { 600 }; // cold again in the same process
    it.a.node->announce(announcement);
    const int warm = it.first.runs;
    const base::Time again = base::steadyNow();
    it.askMany(60);
    CHECK(it.first.runs - warm <= 20 * static_cast<double>((base::steadyNow() - again).ms) / 1000 + 3);
}

TEST_CASE("an upstream that could not be reached counts as cold until it says otherwise", "[node][cold]")
{
    // Guards against the full rate between the restart of an upstream and its first announcement.
    TwoZones it;
    it.mesh.coldRate = { 10'000 };
    it.mesh.coldWindow = { 2000 };
    it.mesh.announce(it.b, it.second, "draining");
    it.mesh.applyEverywhere("examples/berthgrid.json");
    node::Announcement announcement { { "berth-data" }, { "1.0" }, it.first.address, 10, config::EndpointState::Ready, "i-1", 1, {}, base::Duration {} };
    it.a.node->announce(announcement);
    it.mesh.shareEndpoints();
    for (const auto& answer : it.askMany(20))
        CHECK(answer->status == 200);
    it.first.stopListening();
    it.askMany(4);
    it.first.listenAgain();
    it.pass(600); // callers' nodes send to it again
    const int before = it.first.runs;
    const base::Time since = base::steadyNow();
    it.askMany(60);
    CHECK(it.first.runs - before <= 10 * static_cast<double>((base::steadyNow() - since).ms) / 1000 + 3);
    it.pass(600);
    it.a.node->announce(announcement);
    for (const auto& answer : it.askMany(20))
        CHECK(answer->status == 200);
}

TEST_CASE("an upstream that does not say whether it is cold counts as cold for its window", "[node][cold]")
{
    // Guards against the full rate for an upstream that announced itself before its node had a configuration.
    TwoZones it;
    it.mesh.coldRate = { 10'000 };
    it.mesh.coldWindow = { 700 };
    it.mesh.announce(it.b, it.second, "draining");
    it.mesh.applyEverywhere("examples/berthgrid.json");
    const base::Time since = base::steadyNow();
    it.askMany(40);
    CHECK(it.first.runs <= 10 * static_cast<double>((base::steadyNow() - since).ms) / 1000 + 3);
    it.pass(750);
    for (const auto& answer : it.askMany(20))
        CHECK(answer->status == 200);
}

TEST_CASE("a node that restarts beside a cold upstream holds its rate from the first request on", "[node][cold]")
{
    // Guards against a node that has forgotten with its restart that the upstream is cold, or does not know the rate yet.
    TwoZones it;
    it.mesh.coldRate = { 10'000 };
    it.mesh.coldWindow = { 2000 };
    it.mesh.applyEverywhere("examples/berthgrid.json");
    it.mesh.removeNode("a");
    TestNode& restarted = it.mesh.addNode("a", "z1");
    const auto announce = [&] { restarted.node->announce({ { "berth-data" }, { "1.0" }, it.first.address, 10, config::EndpointState::Ready, "i-1", 1, {}, base::Duration { 1500 } }); };
    announce();
    it.mesh.shareEndpoints();
    it.mesh.nodes().at("b")->node->announce({ { "berth-data" }, { "1.0" }, it.second.address, 10, config::EndpointState::Draining, "", 0 });
    const int before = it.first.runs;
    for (int n = 0; n < 5; ++n) { // the restarted node has no configuration, so it does not know the rate
        const auto answer = it.mesh.ask(it.b, "GET", "/berths/1", { "Appletally-Timeout-Ms: 500" });
        REQUIRE(it.mesh.run([&] { return answer->done; }));
        CHECK(answer->status == 503);
        CHECK(answer->headers["appletally-not-run"] == "1");
    }
    CHECK(it.first.runs == before);
    it.mesh.applyEverywhere("examples/berthgrid.json");
    announce();
    const base::Time since = base::steadyNow();
    std::vector<std::shared_ptr<TestAnswer>> answers;
    answers.reserve(40);
    for (int n = 0; n < 40; ++n)
        answers.push_back(it.mesh.ask(it.b, "GET", "/berths/" + std::to_string(n), { "Appletally-Timeout-Ms: 700" }));
    REQUIRE(it.mesh.run([&] { return std::all_of(answers.begin(), answers.end(), [](const auto& answer) { return answer->done; }); }));
    CHECK(it.first.runs > before);
    CHECK(it.first.runs - before <= 10 * static_cast<double>((base::steadyNow() - since).ms) / 1000 + 3);
}
