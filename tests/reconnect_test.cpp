// Herds that come back to a source with outages of its own.
#include "appletally/policy/reconnect.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace appletally;
using namespace appletally::policy;
using base::Duration;
using base::Time;

namespace {

// 800 nodes lose the source in one moment. It serves 50 a second, one after the other, and is away from 5 s to 12 s.
struct Herd {
    bool module = true; // false: let everybody in, ask again each second, as plain clients do
    int perSecond = 50;
    std::mt19937_64 random { 17 };
    std::vector<Backoff> backoffs = std::vector<Backoff>(800);
    std::vector<bool> done = std::vector<bool>(800);
    ReconnectGate gate;
    Time now {};
    Time free {}; // when the source is through with all that it was asked
    Time allDone {};
    int asked = 0;
    int served = 0; // also for nodes that have left
    int wasted = 0;
    std::vector<Time> letIn;

    using Event = std::pair<Time, std::pair<uint64_t, std::function<void()>>>;
    struct Later {
        bool operator()(const Event& a, const Event& b) const { return std::tie(a.first, a.second.first) > std::tie(b.first, b.second.first); }
    };
    std::priority_queue<Event, std::vector<Event>, Later> events;
    uint64_t sequence = 0;

    void at(Time when, std::function<void()> what) { events.push({ when, { sequence++, std::move(what) } }); }
    bool away() const { return now >= Time { 5000 } && now < Time { 12'000 }; }

    void run()
    {
        gate.perSecond = perSecond;
        at(Time { 5000 }, [this] { free = Time { 12'000 }; });
        at(Time { 12'000 }, [this] { gate = { perSecond, 10, 0, now, {} }; }); // a restarted source has forgotten its places
        for (size_t n = 0; n < done.size(); ++n)
            at(Time { static_cast<int64_t>(random() % 20) }, [this, n] { ask(n, false); });
        while (!events.empty() && now < Time { 300'000 }) {
            const Event next = events.top();
            events.pop();
            now = next.first;
            next.second.second();
        }
    }

    void ask(size_t n, bool promised)
    {
        if (done[n])
            return;
        ++asked;
        if (away())
            return again(n, std::nullopt);
        const ReconnectDecision entry = module ? admitReconnect(gate, promised, now, random()) : ReconnectDecision { true, {} };
        if (!entry.admitted)
            return again(n, entry.retryAfter);
        letIn.push_back(now);
        free = std::max(free, now) + Duration { 1000 / perSecond };
        ++served;
        const bool cut = now < Time { 5000 } && free > Time { 5000 }; // the outage comes before its turn
        const bool late = free - now > Duration { 2000 }; // it has given up by then, but is served all the same
        if (cut || late) {
            ++wasted;
            at(std::min(free, now + Duration { 2000 }), [this, n] { again(n, std::nullopt); });
            return;
        }
        at(free, [this, n] {
            done[n] = true;
            resetBackoff(backoffs[n]);
            allDone = now;
        });
    }

    void again(size_t n, std::optional<Duration> told)
    {
        const Duration wait = module ? waitAfterFailure(backoffs[n], told, random()) : Duration { 1000 };
        at(now + wait, [this, n, told] { ask(n, told.has_value()); });
    }

    // The most that were let in within any second.
    int mostInOneSecond() const
    {
        int most = 0;
        size_t from = 0;
        for (size_t to = 0; to < letIn.size(); ++to) {
            while (letIn[to] - letIn[from] >= Duration { 1000 })
                ++from;
            most = std::max(most, static_cast<int>(to - from) + 1);
        }
        return most;
    }
};

void show(const char* what, const Herd& it)
{
    const std::string text = std::string(what) + ": all done after " + std::to_string(it.allDone.ms) + " ms, done "
        + std::to_string(std::count(it.done.begin(), it.done.end(), true)) + ", asked " + std::to_string(it.asked) + ", served "
        + std::to_string(it.served) + ", wasted " + std::to_string(it.wasted) + ", most let in within a second " + std::to_string(it.mostInOneSecond());
    UNSCOPED_INFO(text);
    if (std::getenv("SHOW"))
        std::puts(text.c_str());
}

} // namespace

TEST_CASE("800 nodes come back to a source that goes away in the middle", "[policy][burst]")
{
    // A zone's power returns. All its nodes ask the source for the configuration at once; it could serve all of them in
    // 16 s, but after 5 s it is away itself for 7 s. Let in all at once, most wait in vain, ask again, and are served
    // when they have left: new versions reach nobody for minutes.
    Herd with;
    with.run();
    Herd plain;
    plain.module = false;
    plain.run();
    show("places", with);
    show("all at once", plain);
    CHECK(std::count(with.done.begin(), with.done.end(), true) == 800);
    CHECK(with.allDone <= Time { 12'000 + 20'000 });
    CHECK(with.mostInOneSecond() <= 50 + 10); // never asked for more than it said, in any second
    CHECK(with.wasted <= 10);
    CHECK((plain.allDone.ms >= with.allDone.ms * 3 || std::count(plain.done.begin(), plain.done.end(), true) < 800));
}

TEST_CASE("those who come at their place go before those who come first", "[policy][burst]")
{
    // While the herd's places run for a quarter of a minute, other nodes restart and ask. If these took the places, those
    // who did as they were told would be told again and again.
    ReconnectGate gate { 10, 1, 1, Time { 0 }, {} };
    CHECK(admitReconnect(gate, false, Time { 0 }, 0).admitted);
    std::vector<Time> places;
    places.reserve(20);
    for (int n = 0; n < 20; ++n)
        places.push_back(Time { 0 } + admitReconnect(gate, false, Time { 0 }, 0).retryAfter);
    std::vector<Time> sorted = places;
    std::sort(sorted.begin(), sorted.end());
    CHECK(std::adjacent_find(sorted.begin(), sorted.end()) == sorted.end()); // each has its own
    int refused = 0;
    for (const Time place : places) {
        CHECK_FALSE(admitReconnect(gate, false, place - Duration { 1 }, 0).admitted);
        refused += admitReconnect(gate, true, place, 0).admitted ? 0 : 1;
    }
    CHECK(refused == 0);
}

TEST_CASE("back-off grows, is spread and ends with a success", "[policy]")
{
    // A source that is away is not asked by all nodes in step, nor given up for long: a node that is cut off serves an old
    // version until it asks again, and operators are told after two seconds that the new one is in force.
    Backoff it;
    int64_t longest = 0;
    for (uint64_t n = 0; n < 50; ++n) {
        const Duration wait = waitAfterFailure(it, std::nullopt, n * 7919 * 104729);
        CHECK(wait.ms >= 1);
        CHECK(wait.ms <= 1000);
        longest = std::max(longest, wait.ms);
    }
    CHECK(longest >= 500);
    CHECK(waitAfterFailure(it, Duration { 350 }, 3) == Duration { 350 });
    CHECK(waitAfterFailure(it, std::nullopt, 99).ms <= 100);
    ReconnectGate far { 1, 1, 0, Time { 0 }, Time { 0 } + Duration { 60'000 } };
    const Duration beyond = admitReconnect(far, false, Time { 0 }, 12'345).retryAfter;
    CHECK(beyond >= Duration { 30'000 });
    CHECK(beyond <= Duration { 60'000 });
}

TEST_CASE("nodes that have nothing yet find control soon after it is there", "[policy][burst]")
{
    // Power returns to all hosts at once. Nodes are up in a tenth of a second and are refused by sources whose control
    // processes still read their logs. Each refusal doubled a node's wait, so that callers were turned away for most of a
    // second longer than control needed.
    std::mt19937_64 random { 23 };
    const Time listens { 700 };
    std::vector<int64_t> late;
    int tries = 0;
    constexpr int nodes = 800;
    for (int n = 0; n < nodes; ++n) {
        Backoff it;
        it.urgent = true;
        Time at { static_cast<int64_t>(random() % 20) };
        for (; at < listens; ++tries)
            at = at + waitAfterFailure(it, std::nullopt, random());
        late.push_back((at - listens).ms);
    }
    std::sort(late.begin(), late.end());
    CHECK(late[late.size() / 2] <= 50);
    CHECK(late.back() <= 100);
    CHECK(tries <= nodes * 20); // 30 a second and node at most
}
