// Calls at a node while its upstream is replaced by another process, ends, or returns.
#include "fixed_seed.h"
#include "node_fixture.h"

#include <catch2/catch.hpp>
#include <random>

using namespace appletally;

namespace {

// Two upstream processes of one service that can stand beside node "a".
struct ReplacedUpstream {
    TestMesh mesh;
    TestUpstream previous { mesh.loop() };
    TestUpstream next { mesh.loop() };
    TestNode& node;

    ReplacedUpstream()
        : node(mesh.addNode("a", "z1"))
    {
        announce(previous, 2);
        mesh.applyEverywhere("examples/berthgrid.json");
        previous.hold = true;
    }

    void announce(const TestUpstream& upstream, int slots, const std::string& version = "1.0", const std::string& service = "plug-control")
    {
        mesh.announce(node, upstream, "ready", slots, version, service);
    }

    std::shared_ptr<TestAnswer> command(const std::string& name) { return mesh.ask(node, "POST", "/plugs/connect/" + name, { "Request-Tag: " + name }); }

    std::vector<std::shared_ptr<TestAnswer>> commands(size_t n)
    {
        std::vector<std::shared_ptr<TestAnswer>> out;
        for (size_t i = 0; i < n; ++i)
            out.push_back(command("c" + std::to_string(i)));
        return out;
    }
};

} // namespace

TEST_CASE("commands that wait for a replaced upstream run on the next one", "[node][upstream-replacement]")
{
    // Guards against ending the runs of the previous process while admission still starts calls on it: they pointed to freed
    // memory, held slots of the next process, and ended the node at their deadline.
    ReplacedUpstream it;
    const auto running = it.commands(2);
    REQUIRE(it.mesh.run([&] { return it.previous.held.size() == 2; }));
    const auto waiting = it.commands(2);
    it.mesh.runFor(base::Duration { 30 });
    it.announce(it.next, 2);
    REQUIRE(it.mesh.run([&] { return waiting[0]->done && waiting[1]->done && running[0]->done && running[1]->done; }));
    CHECK(waiting[0]->status == 200);
    CHECK(waiting[1]->status == 200);
    CHECK(running[0]->headers["appletally-result"] == "501");
    CHECK(it.previous.held.size() == 2);
    CHECK(it.next.runs == 2);
}

TEST_CASE("commands that wait for a replaced upstream do not run on one of another version or service", "[node][upstream-replacement]")
{
    // Guards against running a request on an upstream for which the configuration did not choose it.
    const auto [version, service] = GENERATE(std::pair("2.0", "plug-control"), std::pair("1.0", "berth-data"));
    ReplacedUpstream it;
    const auto running = it.commands(2);
    REQUIRE(it.mesh.run([&] { return it.previous.held.size() == 2; }));
    const auto waiting = it.command("waiting");
    it.mesh.runFor(base::Duration { 30 });
    it.announce(it.next, 2, version, service);
    REQUIRE(it.mesh.run([&] { return waiting->done; }));
    CHECK(waiting->status == 503);
    CHECK(waiting->headers["appletally-not-run"] == "1");
    CHECK(it.next.runs == 0);
}

TEST_CASE("requests end with an answer whatever order their upstream is replaced, leaves and returns in", "[node][upstream-replacement]")
{
    // Guards against runs that lose their connection without an end, and against calls started on an upstream that is gone.
    const uint64_t seed = GENERATE(range<uint64_t>(1, 9));
    std::mt19937_64 random(seed);
    ReplacedUpstream it;
    std::vector<std::shared_ptr<TestAnswer>> all;
    for (int step = 0; step < 60; ++step) {
        TestUpstream& upstream = random() % 2 ? it.previous : it.next;
        const int slots = 1 + static_cast<int>(random() % 3);
        switch (random() % 8) {
        case 0:
            it.announce(upstream, slots);
            break;
        case 1:
            it.announce(upstream, slots, "2.0");
            break;
        case 2:
            it.mesh.announce(it.node, upstream, "draining", slots, "1.0", "plug-control");
            break;
        case 3:
            it.node.node->onUpstreamLeft();
            break;
        case 4:
            upstream.hold = !upstream.hold;
            break;
        case 5:
            upstream.answerHeld();
            break;
        case 6:
            all.push_back(it.mesh.ask(it.node, "GET", "/plugs/" + std::to_string(step)));
            break;
        default:
            all.push_back(it.command(std::to_string(step)));
        }
        it.mesh.runFor(base::Duration { static_cast<int64_t>(random() % 4) });
    }
    INFO("seed " << seed);
    CHECK(it.mesh.run([&] { return std::all_of(all.begin(), all.end(), [](const auto& answer) { return answer->done; }); }));
    CHECK(std::all_of(all.begin(), all.end(), [](const auto& answer) { return answer->status > 0; }));
}
