// Clients that search for a source over congested links and past hosts without power.
#include "appletally/policy/source_race.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace appletally;
using namespace appletally::policy;
using base::Duration;
using base::Time;

namespace {

constexpr Duration retransmitAfter { 1000 }; // time after which the kernel retransmits a lost connect
constexpr Duration connectTimeout { 1200 }; // of one connect

struct Client {
    std::vector<Time> powerAt; // time at which each source's host gets power
    Duration delay; // of a connect over the client's congested link
    std::optional<Duration> attemptTimeout; // if set: one attempt after the other, each with this timeout
    SourceRace race {};
    std::mt19937_64 random { 5 };
    size_t maxInProgress = 0;

    struct Attempt {
        size_t source = 0;
        Time startedAt;
    };

    bool connected(const Attempt& it, Time now) const
    {
        for (const Time sent : { it.startedAt, it.startedAt + retransmitAfter }) {
            if (sent >= powerAt[it.source] && now - sent >= delay)
                return true;
        }
        return false;
    }

    // Time of the first connection; empty: none within ten seconds.
    std::optional<Time> find()
    {
        std::vector<Attempt> attempts;
        race.sources.resize(powerAt.size());
        for (auto& it : race.sources)
            it.backoff.urgent = true;
        for (Time now { 0 }; now < Time { 10'000 }; now = now + Duration { 1 }) {
            if (std::any_of(attempts.begin(), attempts.end(), [&](const Attempt& it) { return connected(it, now); }))
                return now;
            std::erase_if(attempts, [&](const Attempt& it) {
                const bool over = now - it.startedAt >= attemptTimeout.value_or(connectTimeout);
                if (over)
                    onAttemptFailed(race, it.source, std::nullopt, now, random());
                return over;
            });
            if (attemptTimeout && !attempts.empty())
                continue;
            if (const auto source = startNextAttempt(race, now, random()))
                attempts.push_back({ *source, now });
            maxInProgress = std::max(maxInProgress, attempts.size());
        }
        return std::nullopt;
    }
};

const Time never { 1'000'000 };

} // namespace

// Guards against a node with a congested link that abandons each source too soon, indefinitely, and keeps an old
// version.
TEST_CASE("a client connects within the time of one connect, however long that is", "[policy][reconnect]")
{
    for (const int64_t delay : { 3, 140, 200, 700, 1100 }) {
        for (size_t dead = 0; dead < 6; ++dead) {
            CAPTURE(delay, dead);
            std::vector<Time> powerAt(6);
            std::fill_n(powerAt.begin(), dead, never);
            Client client { powerAt, { delay }, {} };
            const auto found = client.find();
            REQUIRE(found);
            CHECK(*found <= Time { delay + static_cast<int64_t>(dead) * staggerDelay.ms + 10 });
            CHECK(client.maxInProgress <= maxConcurrentAttempts);
            Client plain { powerAt, { delay }, staggerDelay };
            CHECK(plain.find().has_value() == (Duration { delay } < staggerDelay));
        }
    }
}

// Guards against a node that waits a second for a connect that was lost while the source's host had no power.
TEST_CASE("a client finds sources whose hosts get power during the search", "[policy][reconnect]")
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

// Guards against many clients that connect to every source at once because the first is slightly slow.
TEST_CASE("attempts beside a slow one are staggered and end with the race", "[policy][reconnect]")
{
    SourceRace race;
    race.sources.resize(12);
    std::vector<Time> startedAt;
    for (Time now { 0 }; now < Time { 5000 }; now = std::max(nextAttemptAt(race, now), now + Duration { 1 })) {
        while (startNextAttempt(race, now, 7))
            startedAt.push_back(now);
    }
    REQUIRE(startedAt.size() == maxConcurrentAttempts);
    for (size_t n = 1; n < startedAt.size(); ++n)
        CHECK(startedAt[n] - startedAt[n - 1] == staggerDelay);

    endRace(race);
    CHECK(std::none_of(race.sources.begin(), race.sources.end(), [](const RaceSource& it) { return it.attempts != 0 || it.notBefore > Time {}; }));

    const auto source = startNextAttempt(race, { 6000 }, 7);
    REQUIRE(source);
    onAttemptFailed(race, *source, SourceRejection { { 400 } }, { 6001 }, 7);
    CHECK(race.sources[*source].hasReservation);
    CHECK(race.sources[*source].notBefore == Time { 6401 });
    const auto next = startNextAttempt(race, { 6001 }, *source); // rejected immediately: another source is next without delay
    REQUIRE(next);
    CHECK(next != source);
}

// Guards against a client that returns to an isolated source at the time it named, before other sources have been
// tried.
TEST_CASE("isolated sources are tried after the others", "[policy][reconnect]")
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

// Guards against clients without any source where all of them are isolated.
TEST_CASE("if all sources are isolated each is tried at the time it named", "[policy][reconnect]")
{
    SourceRace race;
    race.sources.resize(2);
    beginSearch(race, { 1000 });
    onAttemptFailed(race, 0, SourceRejection { { 300 }, true }, { 1000 }, 7);
    onAttemptFailed(race, 1, SourceRejection { { 300 }, true }, { 1100 }, 7);
    CHECK_FALSE(startNextAttempt(race, { 1299 }, 0));
    CHECK(startNextAttempt(race, { 1300 }, 0) == 0);
}

// Guards against an isolated source that admits a client for a reservation made in an earlier outage.
TEST_CASE("reservations of a source end with the search", "[policy][reconnect]")
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
