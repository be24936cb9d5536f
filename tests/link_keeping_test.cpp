// Links between nodes that meet rarely or often, at 1,000 and 2,500 nodes.
#include "appletally/policy/link_keeping.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <vector>

using namespace appletally;
using base::Duration;
using base::Time;

namespace {

struct Usage {
    double meanLinks = 0; // of one node
    double handshakes = 0; // per call, after the first minute
};

// One node that calls `upstreams` others at random for five minutes, `perSecond` calls in all.
Usage simulate(size_t upstreams, double perSecond, const std::function<Duration(uint64_t)>& idleTime)
{
    struct Link {
        uint64_t uses = 0; // 0: none
        Time lastUsed;
    };
    std::vector<Link> links(upstreams);
    std::mt19937_64 random { 5 };
    std::bernoulli_distribution calls(perSecond / 100);
    constexpr Duration step { 10 };
    constexpr Time end { 300'000 };
    uint64_t total = 0;
    uint64_t opened = 0;
    uint64_t linkSteps = 0;
    for (Time now {}; now < end; now = now + step) {
        if (calls(random)) {
            Link& it = links[random() % upstreams];
            const bool counts = now >= Time { 60'000 };
            total += counts;
            opened += counts && it.uses == 0;
            ++it.uses;
            it.lastUsed = now;
        }
        for (Link& it : links) {
            if (it.uses != 0 && now - it.lastUsed > idleTime(it.uses))
                it = {};
            linkSteps += it.uses != 0;
        }
    }
    return { static_cast<double>(linkSteps) * step.ms / end.ms, static_cast<double>(opened) / static_cast<double>(total) };
}

Duration aMinute(uint64_t) { return { 60'000 }; }

} // namespace

// Guards against links and heartbeats for every pair of nodes: two nodes of a large fleet meet once in minutes.
TEST_CASE("a node of a large fleet keeps few links", "[policy][links]")
{
    for (const size_t upstreams : { 1000, 2500 }) {
        const Usage kept = simulate(upstreams, 1.9, policy::linkIdleTime);
        const Usage fixed = simulate(upstreams, 1.9, aMinute);
        INFO(upstreams << " upstreams: " << kept.meanLinks << " links, with a fixed time " << fixed.meanLinks);
        CHECK(kept.meanLinks <= 8);
        CHECK(fixed.meanLinks >= 80);
        CHECK(kept.handshakes <= fixed.handshakes + 0.15);
    }
}

// Guards against calls that wait for a handshake although their nodes call each other all the time.
TEST_CASE("links between nodes that call each other regularly are kept", "[policy][links]")
{
    for (const auto& [upstreams, perSecond] : std::vector<std::pair<size_t, double>> { { 9, 16 }, { 48, 48 }, { 100, 48 } }) {
        const Usage kept = simulate(upstreams, perSecond, policy::linkIdleTime);
        INFO(upstreams << " upstreams, " << perSecond << " calls a second: " << kept.handshakes << " handshakes a call");
        CHECK(kept.handshakes <= 0.01);
    }
}
