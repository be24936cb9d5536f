// Large and short answers of one host over its network link, at several rates and distances.
#include "appletally/policy/answer_pacing.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

using namespace appletally;
using base::Duration;
using base::Time;

namespace {

constexpr policy::ConnectionNumber near { 1 };
constexpr policy::ConnectionNumber far { 2 };

// A link that transmits in order, in steps of a tenth of a millisecond, and acknowledgements that return after a delay.
struct Link {
    double bytesPerMs = 750;
    double nearMs = 1; // round trip
    double farMs = 3;
    bool paced = true;

    struct Sent {
        policy::AnswerId id;
        uint64_t bytes = 0;
        double shortSentAt = -1; // of a short answer
    };
    policy::AnswerPacing pacing;
    std::deque<Sent> queue;
    double transmitted = 0; // of the first in the queue
    std::multimap<double, Sent> acknowledgements;
    std::vector<double> shortDelays; // milliseconds from ready to transmitted
    uint64_t largeBytes = 0; // transmitted
    uint64_t allBytes = 0;
    double now = 0;
    uint64_t lastCall = 0;

    Time clock() const { return { static_cast<int64_t>(now) }; }

    void offerLarge(policy::ConnectionNumber to, uint64_t bytes)
    {
        const policy::AnswerId id { to, ++lastCall };
        if (!paced)
            return queue.push_back({ id, bytes });
        beginAnswer(pacing, id, bytes);
        bytesReady(pacing, id, bytes);
        endAnswer(pacing, id);
    }
    void offerShort(uint64_t bytes) { queue.push_back({ {}, bytes, now }); }

    void step()
    {
        constexpr double stepMs = 0.1;
        now += stepMs;
        while (!acknowledgements.empty() && acknowledgements.begin()->first <= now) {
            const Sent it = acknowledgements.begin()->second;
            acknowledgements.erase(acknowledgements.begin());
            bytesAcknowledged(pacing, it.id, it.bytes, clock());
        }
        while (const auto piece = paced ? nextPiece(pacing, clock()) : std::nullopt)
            queue.push_back({ piece->answer, piece->bytes });
        transmitted += stepMs * bytesPerMs;
        while (!queue.empty() && transmitted >= static_cast<double>(queue.front().bytes)) {
            const Sent it = queue.front();
            queue.pop_front();
            transmitted -= static_cast<double>(it.bytes);
            allBytes += it.bytes;
            if (it.shortSentAt >= 0) {
                shortDelays.push_back(now - it.shortSentAt);
                continue;
            }
            largeBytes += it.bytes;
            if (paced)
                acknowledgements.insert({ now + (it.id.connection == near ? nearMs : farMs), it });
        }
        if (queue.empty())
            transmitted = 0;
    }

    double shortDelayAt(double q)
    {
        std::sort(shortDelays.begin(), shortDelays.end());
        return shortDelays.empty() ? 0 : shortDelays[static_cast<size_t>(q * static_cast<double>(shortDelays.size() - 1))];
    }
};

// Archives of 90 KB at `load` of the link's rate beside short answers of 3 KB at a fifth of it, for ten seconds.
void play(Link& it, double load)
{
    std::mt19937_64 random { 7 };
    std::exponential_distribution<> nextLarge(load * it.bytesPerMs / 90'000);
    std::exponential_distribution<> nextShort(0.2 * it.bytesPerMs / 3'000);
    double large = nextLarge(random);
    double little = nextShort(random);
    while (it.now < 10'000) {
        for (; large < it.now; large += nextLarge(random))
            it.offerLarge(random() % 2 ? near : far, 90'000);
        for (; little < it.now; little += nextShort(random))
            it.offerShort(3'000);
        it.step();
    }
}

} // namespace

// Guards against lookups that miss their deadline on a narrow link because archives are transmitted first.
TEST_CASE("short answers wait little on a link that large answers fill", "[policy][pacing]")
{
    for (const double load : { 0.6, 0.75, 1.2 }) {
        Link paced;
        Link plain;
        plain.paced = false;
        play(paced, load);
        play(plain, load);
        INFO("load " << load << ": 95 of 100 within " << paced.shortDelayAt(0.95) << " ms, unpaced " << plain.shortDelayAt(0.95) << "; bytes " << paced.allBytes << ", unpaced " << plain.allBytes);
        CHECK(paced.shortDelayAt(0.95) <= 100); // half of the shortest target latency
        CHECK(plain.shortDelayAt(0.95) >= 200);
        CHECK(static_cast<double>(paced.allBytes) >= 0.97 * static_cast<double>(plain.allBytes));
    }
}

// Guards against a pace that wastes a wide link or a long one.
TEST_CASE("large answers fill a link of any rate and distance", "[policy][pacing]")
{
    for (const double bytesPerMs : { 750.0, 12'500.0, 125'000.0 }) {
        for (const double farMs : { 1.0, 3.0, 25.0 }) {
            Link it;
            it.bytesPerMs = bytesPerMs;
            it.farMs = farMs;
            const auto aSecond = static_cast<uint64_t>(bytesPerMs * 1000);
            for (uint64_t offered = 0; offered < 2 * aSecond; offered += 90'000)
                it.offerLarge(far, 90'000);
            while (it.now < 500) // the window grows at first
                it.step();
            const uint64_t before = it.largeBytes;
            while (it.now < 1500)
                it.step();
            const uint64_t inASecond = it.largeBytes - before;
            INFO(bytesPerMs << " bytes a ms, round trip " << farMs << " ms: " << inASecond << " bytes in a second");
            CHECK(static_cast<double>(inASecond) >= 0.95 * static_cast<double>(aSecond));
        }
    }
}

// Guards against one receiver without acknowledgements that holds up the answers of all others.
TEST_CASE("a stalled connection does not hold up large answers on others", "[policy][pacing]")
{
    Link it;
    it.farMs = 1e9;
    for (int n = 0; n < 4; ++n)
        it.offerLarge(far, 90'000);
    for (int n = 0; n < 4; ++n)
        it.offerLarge(near, 91'000);
    while (it.now < 1000) // twice what the second four need by themselves
        it.step();
    const auto left = std::count_if(it.pacing.answers.begin(), it.pacing.answers.end(), [](const auto& entry) { return entry.first.connection == near; });
    CHECK(left == 0);
}

// Guards against bytes that count as on the way for ever, so that large answers stop.
TEST_CASE("cancelled answers and closed connections free the window", "[policy][pacing]")
{
    policy::AnswerPacing it;
    uint64_t call = 0;
    const auto fill = [&](policy::ConnectionNumber to) {
        const policy::AnswerId id { to, ++call };
        beginAnswer(it, id, 1'000'000);
        bytesReady(it, id, 1'000'000);
        while (nextPiece(it, Time {})) { }
        return id;
    };
    const auto first = fill(near);
    REQUIRE(it.onTheWay > 0);
    removeAnswer(it, first);
    CHECK(it.onTheWay == 0);
    fill(near);
    fill(far);
    removeConnection(it, near);
    removeConnection(it, far);
    CHECK(it.onTheWay == 0);
    CHECK(it.answers.empty());
    bytesAcknowledged(it, first, policy::pieceBytes, Time { 5 });
    CHECK(it.onTheWay == 0);
}

// Guards against many callers who wait for one very large answer.
TEST_CASE("of several large answers the one with the fewest bytes left goes first", "[policy][pacing]")
{
    policy::AnswerPacing it;
    const policy::AnswerId big { near, 1 };
    const policy::AnswerId small { far, 2 };
    beginAnswer(it, big, 500'000);
    beginAnswer(it, small, 60'000);
    bytesReady(it, big, 500'000);
    CHECK(nextPiece(it, Time {})->answer == big); // the other one has nothing to send yet
    bytesReady(it, small, 60'000);
    CHECK(nextPiece(it, Time {})->answer == small);
}

// Guards against an answer without a length that is never finished, since its upstream paused when all before was delivered.
TEST_CASE("an answer of unknown length goes on after all of its first bytes are delivered", "[policy][pacing]")
{
    policy::AnswerPacing it;
    const policy::AnswerId id { near, 1 };
    beginAnswer(it, id, 0);
    bytesReady(it, id, policy::pieceBytes);
    REQUIRE(nextPiece(it, Time {}));
    bytesAcknowledged(it, id, policy::pieceBytes, Time { 2 });
    CHECK_FALSE(nextPiece(it, Time { 2 }));
    bytesReady(it, id, 100);
    const auto rest = nextPiece(it, Time { 900 });
    REQUIRE(rest);
    CHECK(rest->bytes == 100);
    endAnswer(it, id);
    bytesAcknowledged(it, id, 100, Time { 902 });
    CHECK_FALSE(nextPiece(it, Time { 902 }));
    CHECK(it.answers.empty());
}
