// Clients that look for a source over crowded links and past hosts without power.
#include "appletally/policy/source_race.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace appletally;
using namespace appletally::policy;
using base::Duration;
using base::Time;

namespace {

constexpr Duration sentAgainAfter { 1000 }; // what the kernel waits before it sends a lost connect again
constexpr Duration limit { 1200 }; // of one connect

struct Client {
    std::vector<Time> powerAt; // of each source's host
    Duration delay; // of a connect over the client's crowded link
    std::optional<Duration> giveUpAfter; // set: one try after the other, each with this limit
    SourceRace race {};
    std::mt19937_64 random { 5 };
    size_t mostUnderWay = 0;

    struct Try {
        size_t source = 0;
        Time began;
    };

    bool connected(const Try& it, Time now) const
    {
        for (const Time sent : { it.began, it.began + sentAgainAfter }) {
            if (sent >= powerAt[it.source] && now - sent >= delay)
                return true;
        }
        return false;
    }

    // When a connection stands; empty: not within ten seconds.
    std::optional<Time> find()
    {
        std::vector<Try> tries;
        race.sources.resize(powerAt.size());
        for (auto& it : race.sources)
            it.backoff.urgent = true;
        for (Time now { 0 }; now < Time { 10'000 }; now = now + Duration { 1 }) {
            if (std::any_of(tries.begin(), tries.end(), [&](const Try& it) { return connected(it, now); }))
                return now;
            std::erase_if(tries, [&](const Try& it) {
                const bool over = now - it.began >= giveUpAfter.value_or(limit);
                if (over)
                    onAttemptFailed(race, it.source, std::nullopt, now, random());
                return over;
            });
            if (giveUpAfter && !tries.empty())
                continue;
            if (const auto source = startNextAttempt(race, now, random()))
                tries.push_back({ *source, now });
            mostUnderWay = std::max(mostUnderWay, tries.size());
        }
        return std::nullopt;
    }
};

const Time never { 1'000'000 };

} // namespace

// Guards against: a node with a crowded link that gives each source up too soon, for ever, and keeps an old version.
TEST_CASE("a client finds a source in the time of one connect, however long that takes", "[policy][reconnect]")
{
    for (const int64_t delay : { 3, 140, 200, 700, 1100 }) {
        for (size_t dead = 0; dead < 6; ++dead) {
            CAPTURE(delay, dead);
            std::vector<Time> powerAt(6);
            std::fill_n(powerAt.begin(), dead, never);
            Client client { powerAt, { delay }, {} };
            const auto found = client.find();
            REQUIRE(found);
            CHECK(*found <= Time { delay + static_cast<int64_t>(dead) * besideAfter.ms + 10 });
            CHECK(client.mostUnderWay <= mostTries);
            Client plain { powerAt, { delay }, besideAfter };
            CHECK(plain.find().has_value() == (Duration { delay } < besideAfter));
        }
    }
}

// Guards against: a node that waits a second for a connect that was lost while the source's host had no power.
TEST_CASE("a client finds sources that get power while it looks", "[policy][reconnect]")
{
    for (const size_t sources : { 1, 3, 6 }) {
        for (int64_t power = 0; power < 3000; power += 50) {
            CAPTURE(sources, power);
            Client client { std::vector<Time>(sources, Time { power }), { 3 }, {} };
            const auto found = client.find();
            REQUIRE(found);
            CHECK(*found - Time { power } <= Duration { 500 });
        }
    }
}

// Guards against: a herd that connects to every source at once because the first is a little slow.
TEST_CASE("tries beside a slow one begin one after the other and end with the race", "[policy][reconnect]")
{
    SourceRace race;
    race.sources.resize(12);
    std::vector<Time> began;
    for (Time now { 0 }; now < Time { 5000 }; now = std::max(nextAttemptAt(race, now), now + Duration { 1 })) {
        while (startNextAttempt(race, now, 7))
            began.push_back(now);
    }
    REQUIRE(began.size() == mostTries);
    for (size_t n = 1; n < began.size(); ++n)
        CHECK(began[n] - began[n - 1] == besideAfter);

    endRace(race);
    CHECK(std::none_of(race.sources.begin(), race.sources.end(), [](const RaceSource& it) { return it.tries != 0 || it.notBefore > Time {}; }));

    const auto source = startNextAttempt(race, { 6000 }, 7);
    REQUIRE(source);
    onAttemptFailed(race, *source, SourceRejection { { 400 } }, { 6001 }, 7);
    CHECK(race.sources[*source].hasReservation);
    CHECK(race.sources[*source].notBefore == Time { 6401 });
    const auto next = startNextAttempt(race, { 6001 }, *source); // refused at once: another one has its turn at once
    REQUIRE(next);
    CHECK(next != source);
}

// Guards against: a client that returns to an isolated source at the moment that it named, before others have been tried.
TEST_CASE("isolated sources are tried once the others had their chance", "[policy][reconnect]")
{
    SourceRace race;
    race.sources.resize(3);
    beginSearch(race, { 1000 });
    onAttemptFailed(race, 0, SourceRejection { { 300 }, true }, { 1000 }, 7);
    onAttemptFailed(race, 1, SourceRejection { { 300 }, true }, { 1400 }, 7);
    CHECK(startNextAttempt(race, { 1800 }, 0) == 2);
    onAttemptFailed(race, 2, std::nullopt, { 1850 }, 0);
    CHECK(startNextAttempt(race, { 1900 }, 0) == 2);
    endRace(race);
    onAttemptFailed(race, 2, SourceRejection { { 5000 } }, { 1950 }, 7);
    CHECK_FALSE(startNextAttempt(race, { 2999 }, 0));
    CHECK(nextAttemptAt(race, { 2999 }) == Time { 3000 });
    CHECK(startNextAttempt(race, { 3000 }, 0) == 0);
    CHECK(race.sources[0].hasReservation);
}

// Guards against: clients without any source where all of them are isolated.
TEST_CASE("where all sources are isolated each is tried at the moment that it named", "[policy][reconnect]")
{
    SourceRace race;
    race.sources.resize(2);
    beginSearch(race, { 1000 });
    onAttemptFailed(race, 0, SourceRejection { { 300 }, true }, { 1000 }, 7);
    onAttemptFailed(race, 1, SourceRejection { { 300 }, true }, { 1100 }, 7);
    CHECK_FALSE(startNextAttempt(race, { 1299 }, 0));
    CHECK(startNextAttempt(race, { 1300 }, 0) == 0);
}

// Guards against: an isolated source that lets a client in for a promise made in an outage long past.
TEST_CASE("what a source promised ends with the search", "[policy][reconnect]")
{
    SourceRace race;
    race.sources.resize(2);
    beginSearch(race, { 1000 });
    onAttemptFailed(race, 0, SourceRejection { { 300 }, true }, { 1000 }, 7);
    beginSearch(race, { 15'000 });
    CHECK_FALSE(race.sources[0].hasReservation);
    CHECK_FALSE(race.sources[0].isolated);
    CHECK(startNextAttempt(race, { 15'000 }, 0) == 0);
}
