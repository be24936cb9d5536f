// Many clients that reconnect at once to a source with outages of its own.
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

// 800 nodes lose the source at the same moment. It serves 50 a second, one after the other, and is unavailable from 5 s
// to 12 s.
struct ReconnectSimulation {
    bool limitAdmissions = true; // false: admit all clients and retry each second, as plain clients do
    int perSecond = 50;
    std::mt19937_64 random { 17 };
    std::vector<Backoff> backoffs = std::vector<Backoff>(800);
    std::vector<bool> done = std::vector<bool>(800);
    ReconnectGate gate;
    Time now {};
    Time idleAt {}; // when the source has processed all its requests
    Time allDone {};
    int requests = 0;
    int served = 0; // including nodes that have given up
    int wasted = 0;
    std::vector<Time> admissions;

    using Event = std::pair<Time, std::pair<uint64_t, std::function<void()>>>;
    struct Later {
        bool operator()(const Event& a, const Event& b) const { return std::tie(a.first, a.second.first) > std::tie(b.first, b.second.first); }
    };
    std::priority_queue<Event, std::vector<Event>, Later> events;
    uint64_t sequence = 0;

    void at(Time when, std::function<void()> what) { events.push({ when, { sequence++, std::move(what) } }); }
    bool unavailable() const { return now >= Time { 5000 } && now < Time { 12'000 }; }

    void run()
    {
        gate.perSecond = perSecond;
        at(Time { 5000 }, [this] { idleAt = Time { 12'000 }; });
        at(Time { 12'000 }, [this] { gate = { perSecond, 10, 0, now, {} }; }); // a restarted source has no reservations
        for (size_t n = 0; n < done.size(); ++n)
            at(Time { static_cast<int64_t>(random() % 20) }, [this, n] { request(n, false); });
        while (!events.empty() && now < Time { 300'000 }) {
            const Event next = events.top();
            events.pop();
            now = next.first;
            next.second.second();
        }
    }

    void request(size_t n, bool promised)
    {
        if (done[n])
            return;
        ++requests;
        if (unavailable())
            return retry(n, std::nullopt);
        const ReconnectDecision entry = limitAdmissions ? admitReconnect(gate, promised, now, random()) : ReconnectDecision { true, {} };
        if (!entry.admitted)
            return retry(n, entry.retryAfter);
        admissions.push_back(now);
        idleAt = std::max(idleAt, now) + Duration { 1000 / perSecond };
        ++served;
        const bool cut = now < Time { 5000 } && idleAt > Time { 5000 }; // the outage begins before it is served
        const bool late = idleAt - now > Duration { 2000 }; // the node has given up by then, but is served all the same
        if (cut || late) {
            ++wasted;
            at(std::min(idleAt, now + Duration { 2000 }), [this, n] { retry(n, std::nullopt); });
            return;
        }
        at(idleAt, [this, n] {
            done[n] = true;
            resetBackoff(backoffs[n]);
            allDone = now;
        });
    }

    void retry(size_t n, std::optional<Duration> retryAfter)
    {
        const Duration wait = limitAdmissions ? waitAfterFailure(backoffs[n], retryAfter, random()) : Duration { 1000 };
        at(now + wait, [this, n, retryAfter] { request(n, retryAfter.has_value()); });
    }

    // Returns the maximum number of admissions within any second.
    int maxInOneSecond() const
    {
        int most = 0;
        size_t from = 0;
        for (size_t to = 0; to < admissions.size(); ++to) {
            while (admissions[to] - admissions[from] >= Duration { 1000 })
                ++from;
            most = std::max(most, static_cast<int>(to - from) + 1);
        }
        return most;
    }
};

void show(const char* what, const ReconnectSimulation& it)
{
    const std::string text = std::string(what) + ": all done after " + std::to_string(it.allDone.ms) + " ms, done "
        + std::to_string(std::count(it.done.begin(), it.done.end(), true)) + ", requests " + std::to_string(it.requests) + ", served "
        + std::to_string(it.served) + ", wasted " + std::to_string(it.wasted) + ", max admitted within a second " + std::to_string(it.maxInOneSecond());
    UNSCOPED_INFO(text);
    if (std::getenv("SHOW"))
        std::puts(text.c_str());
}

} // namespace

TEST_CASE("800 nodes reconnect to a source that fails meanwhile", "[policy][burst]")
{
    // Guards against an overload that the clients sustain. After a power failure all nodes of a zone request the
    // configuration at once. The source could serve all in 16 s, but is unavailable for 7 s after 5 s. If all are
    // admitted at once, most time out, retry, and are served when they have given up: new versions reach no node for
    // minutes.
    ReconnectSimulation with;
    with.run();
    ReconnectSimulation plain;
    plain.limitAdmissions = false;
    plain.run();
    show("reservations", with);
    show("all at once", plain);
    CHECK(std::count(with.done.begin(), with.done.end(), true) == 800);
    CHECK(with.allDone <= Time { 12'000 + 20'000 });
    CHECK(with.maxInOneSecond() <= 50 + 10); // never more than its stated rate, in any second
    CHECK(with.wasted <= 10);
    CHECK((plain.allDone.ms >= with.allDone.ms * 3 || std::count(plain.done.begin(), plain.done.end(), true) < 800));
}

TEST_CASE("clients in their reserved slot are admitted before new ones", "[policy][burst]")
{
    // Guards against clients that are rejected repeatedly although they retry in their slot. While reservations cover a
    // quarter of a minute, other nodes restart and connect; they must not take the reserved slots.
    ReconnectGate gate { 10, 1, 1, Time { 0 }, {} };
    CHECK(admitReconnect(gate, false, Time { 0 }, 0).admitted);
    std::vector<Time> slots;
    slots.reserve(20);
    for (int n = 0; n < 20; ++n)
        slots.push_back(Time { 0 } + admitReconnect(gate, false, Time { 0 }, 0).retryAfter);
    std::vector<Time> sorted = slots;
    std::sort(sorted.begin(), sorted.end());
    CHECK(std::adjacent_find(sorted.begin(), sorted.end()) == sorted.end()); // each client has its own slot
    int refused = 0;
    for (const Time slot : slots) {
        CHECK_FALSE(admitReconnect(gate, false, slot - Duration { 1 }, 0).admitted);
        refused += admitReconnect(gate, true, slot, 0).admitted ? 0 : 1;
    }
    CHECK(refused == 0);
}

TEST_CASE("back-off grows, is randomized and is reset by a success", "[policy]")
{
    // Guards against nodes that retry all at the same time, and against long waits: a disconnected node serves an old
    // version until it retries, and after two seconds operators are notified that the new one is applied.
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

TEST_CASE("nodes without a version connect soon after control is available", "[policy][burst]")
{
    // Guards against a back-off that grows while control is starting. Power returns to all hosts at once; nodes start
    // in a tenth of a second and are refused by sources whose control processes are still reading their logs. With a
    // wait that doubled at each refusal, callers were rejected for most of a second longer than control needed.
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
    CHECK(tries <= nodes * 20); // 30 a second per node at most
}
