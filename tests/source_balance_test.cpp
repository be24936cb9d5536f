// Subscribers shared among sources: after a start of all, after losses, at 1,000 and 2,500 nodes.
#include "appletally/policy/source_balance.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace appletally;
using namespace appletally::policy;

namespace {

// Sources in five availability zones that act every 200 ms on what the others reported in the step before.
struct Mesh {
    struct Node {
        base::ZoneName zone;
        size_t source = 0;
    };
    std::vector<Node> nodes;
    std::vector<bool> up; // one for each source
    std::mt19937_64 random { 3 };
    size_t movedInStep = 0;
    size_t maxMovedInStep = 0;

    Mesh(size_t nodeCount, size_t sourceCount)
        : nodes(nodeCount)
        , up(sourceCount, true)
    {
        for (size_t n = 0; n < nodeCount; ++n)
            nodes[n].zone = zoneOf(n);
    }

    static base::ZoneName zoneOf(size_t n) { return { std::string(1, static_cast<char>('a' + n % 5)) }; }

    std::vector<SourceLoad> loads() const
    {
        std::vector<SourceLoad> out;
        for (size_t n = 0; n < up.size(); ++n) {
            const auto count = std::count_if(nodes.begin(), nodes.end(), [&](const Node& it) { return it.source == n; });
            out.push_back({ { std::to_string(n) }, zoneOf(n), static_cast<size_t>(count) });
        }
        return out;
    }

    void step()
    {
        const std::vector<SourceLoad> before = loads();
        movedInStep = 0;
        for (size_t source = 0; source < up.size(); ++source) {
            if (!up[source])
                continue;
            std::vector<SourceLoad> others;
            for (size_t n = 0; n < up.size(); ++n) {
                if (n != source && up[n])
                    others.push_back(before[n]);
            }
            std::vector<SubscriberPlace> subscribers;
            for (size_t n = 0; n < nodes.size(); ++n) {
                if (nodes[n].source == source)
                    subscribers.push_back({ n, nodes[n].zone });
            }
            for (const Handover& it : chooseHandovers(before[source], others, subscribers, random())) {
                nodes[it.subscriber].source = std::stoul(it.to.text);
                ++movedInStep;
            }
        }
        maxMovedInStep = std::max(maxMovedInStep, movedInStep);
    }

    void run(int steps)
    {
        for (int n = 0; n < steps; ++n)
            step();
    }

    // Clients of a lost source connect to any of the others.
    void lose(size_t source)
    {
        up[source] = false;
        for (Node& it : nodes) {
            while (!up[it.source])
                it.source = random() % up.size();
        }
    }

    void checkBalanced() const
    {
        const auto running = static_cast<size_t>(std::count(up.begin(), up.end(), true));
        const double mean = static_cast<double>(nodes.size()) / static_cast<double>(running);
        for (const SourceLoad& it : loads()) {
            if (!up[std::stoul(it.source.text)])
                continue;
            INFO("source " << it.source.text << " has " << it.subscribers << " of " << nodes.size());
            CHECK(static_cast<double>(it.subscribers) <= 1.25 * mean);
            CHECK(static_cast<double>(it.subscribers) >= 0.75 * mean);
        }
    }
};

constexpr int fiveSeconds = 25; // steps

} // namespace

// Guards against one control process that serves every node because it was ready first.
TEST_CASE("subscribers that all found the same source are shared within five seconds, a part at a time", "[policy][reconnect]")
{
    for (const auto& [nodes, sources] : std::vector<std::pair<size_t, size_t>> { { 1000, 10 }, { 2500, 14 }, { 5000, 14 } }) {
        CAPTURE(nodes, sources);
        Mesh mesh(nodes, sources);
        mesh.run(fiveSeconds);
        mesh.checkBalanced();
        CHECK(mesh.maxMovedInStep <= nodes / 4);
        const auto atHome = std::count_if(mesh.nodes.begin(), mesh.nodes.end(), [](const auto& it) { return it.zone == Mesh::zoneOf(it.source); });
        CHECK(static_cast<size_t>(atHome) >= nodes * 3 / 4); // with 14 sources, four zones have three and one has two
        mesh.run(1);
        CHECK(mesh.movedInStep == 0); // it has settled
    }
}

// Guards against a fleet that stays unbalanced after the source with most subscribers is lost, and after it has returned.
TEST_CASE("the loss and the return of a source leave the others balanced", "[policy][reconnect]")
{
    for (const auto& [nodes, sources] : std::vector<std::pair<size_t, size_t>> { { 1000, 10 }, { 2500, 14 } }) {
        CAPTURE(nodes, sources);
        Mesh mesh(nodes, sources);
        mesh.run(3);
        mesh.lose(0); // while it still has most of them
        mesh.run(fiveSeconds);
        mesh.checkBalanced();
        mesh.up[0] = true;
        mesh.run(fiveSeconds);
        mesh.checkBalanced();
        CHECK(mesh.movedInStep == 0);
        for (size_t n = 0; n < sources / 2; ++n)
            mesh.lose(n);
        mesh.run(fiveSeconds);
        mesh.checkBalanced();
    }
}

// Guards against subscribers that are passed to and fro in a small mesh, and against a move that no source can take.
TEST_CASE("a few subscribers are not moved for a difference of one, nor without another source", "[policy][reconnect]")
{
    const std::vector<SubscriberPlace> three { { 1, { "a" } }, { 2, { "b" } }, { 3, {} } };
    CHECK(chooseHandovers({ { "x" }, { "a" }, 3 }, {}, three, 0).empty());
    CHECK(chooseHandovers({ { "x" }, { "a" }, 3 }, std::vector<SourceLoad> { { { "y" }, { "b" }, 2 } }, three, 0).empty());
    const auto moves = chooseHandovers({ { "x" }, { "a" }, 3 }, std::vector<SourceLoad> { { { "y" }, { "b" }, 0 } }, three, 0);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].subscriber == 2); // that of the other source's zone
    CHECK(moves[0].to.text == "y");
}
