// Memory for answers of pipelined requests whose callers do not read them.
#include "appletally/policy/answer_memory.h"

#include <catch2/catch.hpp>

using namespace appletally;

namespace {

constexpr uint64_t kilobyte = 1000;
constexpr uint64_t limit = 11'000 * kilobyte; // an eighth of the smallest process
constexpr uint64_t answerBytes = 256 * 1024;

} // namespace

TEST_CASE("callers that read no answers get no more reads started than there is memory for", "[policy]")
{
    // Guards against a process that is killed over its limit because each of many callers has a few answers.
    policy::AnswerMemory all;
    int started = 0;
    for (int caller = 0; caller < 100; ++caller) {
        policy::AnswerMemory own;
        for (int n = 0; n < 20 && policy::hasRoomBehindOthers(own, all, answerBytes, limit); ++n, ++started) {
            own.expected += answerBytes;
            all.expected += answerBytes;
        }
        CHECK(own.expected <= limit / policy::callersPerAnswerMemory);
    }
    CHECK(started > 30);
    CHECK(all.expected <= limit);
}

TEST_CASE("one caller that reads no answers leaves room for the reads of others", "[policy]")
{
    policy::AnswerMemory stuck { limit / policy::callersPerAnswerMemory, 0 };
    const policy::AnswerMemory all = stuck;
    CHECK_FALSE(policy::hasRoomBehindOthers(stuck, all, 0, limit));
    CHECK(policy::hasRoomBehindOthers({}, all, answerBytes, limit));
    CHECK_FALSE(policy::hasRoomBehindOthers({}, { limit, 0 }, 0, limit));
}
