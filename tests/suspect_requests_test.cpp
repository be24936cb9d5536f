// Which requests are suspected and blocked, by the ends and answers of upstreams on several hosts.
#include "appletally/policy/suspect_requests.h"

#include <catch2/catch.hpp>
#include <map>

using namespace appletally;
using namespace appletally::policy;

namespace {

const config::RequestOnVersion fatal { { 1 }, { "1.0" } };
const config::RequestOnVersion harmless { { 2 }, { "1.0" } };

// Hosts that tell each other everything at once, unless `connected` is false.
struct Hosts {
    std::map<int, SuspectRequests> hosts;
    base::Time now { 1'000'000 };
    uint64_t lastEnd = 0;
    bool connected = true;

    explicit Hosts(int count)
    {
        for (int n = 0; n < count; ++n)
            hosts[n];
    }

    void tell(const config::SuspectRequest& it)
    {
        for (auto& [n, host] : hosts) {
            const auto objection = connected ? merge(host, it, now).objection : std::nullopt;
            if (objection)
                tell(*objection);
        }
    }

    RunAtEnd begin(int host, const config::RequestOnVersion& key) { return { key, standingOf(hosts[host], key) }; }

    void end(int host, const std::vector<RunAtEnd>& runs)
    {
        for (const auto& it : onUpstreamEnded(hosts[host], runs, ++lastEnd, now))
            tell(it);
    }

    void endUnder(int host, const config::RequestOnVersion& key) { end(host, { begin(host, key) }); }

    void answer(int host, const config::RequestOnVersion& key)
    {
        if (const auto told = onAnswered(hosts[host], key, now))
            tell(*told);
    }

    Suspicion at(int host, const config::RequestOnVersion& key = fatal) { return suspicionOf(hosts[host], key, now); }
};

} // namespace

TEST_CASE("a request is blocked everywhere after three ends one after the other, on that version only", "[suspects]")
{
    Hosts it(4);
    it.endUnder(0, fatal);
    it.endUnder(1, fatal);
    CHECK(it.at(3) == Suspicion::Suspected);
    it.endUnder(2, fatal);
    CHECK(it.at(3) == Suspicion::Blocked);
    CHECK(it.at(3, { fatal.request, { "2.0" } }) == Suspicion::None);
}

TEST_CASE("upstreams that end side by side block no request until one more ends under it", "[suspects]")
{
    // Power, a crash of several hosts, or an evacuation ends upstreams together, under whatever they all ran.
    Hosts it(4);
    const std::vector<RunAtEnd> runs { it.begin(0, fatal), it.begin(1, fatal), it.begin(2, fatal), it.begin(3, fatal) };
    for (int n = 0; n < 4; ++n)
        it.end(n, { runs[static_cast<size_t>(n)] });
    CHECK(it.at(0) == Suspicion::Suspected);
    it.endUnder(0, fatal);
    CHECK(it.at(3) == Suspicion::Blocked);
}

TEST_CASE("an answer acquits, and late news of earlier ends changes nothing", "[suspects]")
{
    Hosts it(4);
    it.endUnder(0, fatal);
    const config::SuspectRequest early = *evidenceOf(it.hosts[0], fatal);
    it.endUnder(1, fatal);
    it.answer(2, fatal);
    CHECK(it.at(0) == Suspicion::None);
    it.tell(early);
    CHECK(it.at(3) == Suspicion::None);
}

TEST_CASE("a request that was answered elsewhere shortly before is not suspected", "[suspects]")
{
    // A popular read is under the end of every upstream.
    Hosts it(4);
    it.answer(3, harmless);
    it.endUnder(0, harmless);
    CHECK(it.at(0, harmless) == Suspicion::None);
    CHECK(it.at(2, harmless) == Suspicion::None);
}

TEST_CASE("a request that turns fatal is excused once, however many upstreams had answered it", "[suspects]")
{
    Hosts it(8);
    for (int n = 0; n < 8; ++n)
        it.answer(n, fatal);
    int ends = 0;
    while (it.at(7) != Suspicion::Blocked && ends < 8)
        it.endUnder(ends++, fatal);
    CHECK(ends == 4);
}

TEST_CASE("what runs beside a suspect when its upstream ends is not suspected", "[suspects]")
{
    Hosts it(4);
    it.endUnder(0, fatal);
    it.end(1, { it.begin(1, fatal), it.begin(1, harmless) });
    CHECK(it.at(0, harmless) == Suspicion::None);
    CHECK(standingOf(it.hosts[0], fatal).order == 2);
}

TEST_CASE("an end under two suspects side by side blocks neither", "[suspects]")
{
    Hosts it(4);
    for (int n = 0; n < 4; ++n)
        it.end(n, { it.begin(n, fatal), it.begin(n, harmless) });
    CHECK(it.at(0, fatal) == Suspicion::Suspected);
    CHECK(it.at(0, harmless) == Suspicion::Suspected);
}

TEST_CASE("a blocked request is tried again, later after each further end, and served again once it is answered", "[suspects]")
{
    Hosts it(4);
    for (int n = 0; n < 3; ++n)
        it.endUnder(n, fatal);
    const base::Duration first = blockedFor(it.hosts[3], fatal, it.now);
    CHECK(first > base::Duration { 10'000 });
    it.now = it.now + first;
    CHECK(it.at(3) == Suspicion::Suspected);
    it.endUnder(3, fatal);
    CHECK(blockedFor(it.hosts[0], fatal, it.now) == first * 2);
    it.now = it.now + first * 2;
    it.answer(0, fatal);
    CHECK(it.at(1) == Suspicion::None);
}

TEST_CASE("hosts that learn of ends in another order come to the same verdict", "[suspects]")
{
    Hosts it(3);
    it.connected = false;
    std::vector<config::SuspectRequest> told;
    for (int n = 0; n < 3; ++n) {
        for (const auto& news : told)
            merge(it.hosts[n], news, it.now);
        it.endUnder(n, fatal);
        told.push_back(*evidenceOf(it.hosts[n], fatal));
    }
    SuspectRequests other;
    for (const size_t n : { 2, 0, 1, 0 })
        merge(other, told[n], it.now);
    CHECK(suspicionOf(other, fatal, it.now) == Suspicion::Blocked);
    CHECK(evidenceOf(other, fatal)->ends.size() == 3);
}

TEST_CASE("memory of suspects is bounded, and old ones are forgotten", "[suspects]")
{
    SuspectRequests it;
    const base::Time now { 1'000'000 };
    for (uint64_t n = 0; n < 100'000; ++n)
        merge(it, { { { n }, { "1.0" } }, 0, { { n, 1 } } }, now);
    CHECK(it.known.size() <= 1000);
    forgetOld(it, now + base::Duration { 24 * 3600 * 1000 });
    CHECK(it.known.empty());
}
