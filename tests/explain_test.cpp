// explain: the order of one request's log lines, the gaps and their causes, and the printed output.
#include "appletally/ctl/explain.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace appletally;
using ctl::CollectedLogs;
using ctl::RequestHistory;

namespace {

CollectedLogs collected(const std::string& id, const std::vector<std::string>& logs)
{
    CollectedLogs out;
    out.id = id;
    for (const std::string& it : logs) {
        std::istringstream in(it);
        ctl::collect(out, in);
    }
    return out;
}

std::vector<int> eventNumbers(const RequestHistory& history)
{
    std::vector<int> out;
    for (const ctl::LogLine& it : history.lines)
        out.push_back(it.event);
    return out;
}

const std::string caller = R"({"t":5000,"program":"appletally-node","host":"a-1","severity":"info","event":101,"name":"started","text":""}
{"t":9000,"host":"a-1","event":511,"name":"request-sent","id":"r1","upstream":"b-1","try":1,"left_ms":692}
{"t":9001,"host":"a-1","event":511,"name":"request-sent","id":"other","upstream":"b-1","try":1}
{"t":9002,"host":"a-1","event":514,"name":"request-tried-again","id":"r1","code":418,"why":"no room in time","tries":1}
{"t":9002,"host":"a-1","event":511,"name":"request-sent","id":"r1","upstream":"c-1","try":2}
{"t":9004,"host":"a-1","event":513,"name":"request-refused","id":"r1","code":418,"why":"no room in time","tries":2,"took_ms":4,"retry_after_ms":697}
)";
const std::string first = R"({"t":12007,"host":"b-1","event":522,"name":"call-refused","id":"r1","code":418,"running":6,"waiting":6}
)";
const std::string second = R"({"t":1000,"host":"c-1","event":521,"name":"call-queued","id":"r1","waiting":2}
{"t":1001,"host":"c-1","event":522,"name":"call-refused","id":"r1","code":418,"running":6,"waiting":2}
)";

} // namespace

TEST_CASE("a rejected request's lines are in causal order although the hosts' clocks differ by seconds", "[explain]")
{
    // The clock of one upstream's host is 3 s ahead and that of the other 8 s behind. Sorted by time, the first rejection
    // would come after the last line, and the second before the request was sent.
    const RequestHistory history = ctl::buildHistory(collected("r1", { second, first, caller }));
    CHECK(eventNumbers(history) == std::vector<int> { 511, 522, 514, 511, 521, 522, 513 });
    CHECK(history.lines[1].host == "b-1");
    CHECK(history.gaps.empty());
    CHECK(history.outcome == "refused and not run: no-room (418), no room in time after 4 ms and 2 attempts");
    std::ostringstream out;
    ctl::print(out, history);
    CHECK(out.str().find("a-1 +0 ms  request-sent  upstream=b-1  try=1  left_ms=692") != std::string::npos);
    CHECK(out.str().find("nothing is missing") != std::string::npos);
    const auto json = ctl::toJson(history);
    CHECK(json["lines"].size() == 7);
    CHECK(json["lines"][6]["retry_after_ms"] == 697);
}

TEST_CASE("each gap in a request's history is reported with its cause", "[explain]")
{
    // A host's log was not collected, lines were left out, or the process was killed. If the gap were not reported, the
    // request would look as if it had never been sent to that host.
    const auto gapAt = [](const std::string& log) {
        const RequestHistory history = ctl::buildHistory(collected("r1", { caller, first, log }));
        REQUIRE(history.gaps.size() == 1);
        CHECK(history.gaps[0].host == "c-1");
        return history.gaps[0].text;
    };
    CHECK(gapAt("") == "how attempt 2 ended: no log of this host was given");
    CHECK(gapAt(R"({"t":9900,"host":"c-1","event":107,"name":"log-lines-left-out","call-refused":31})") == "how attempt 2 ended: its line may be one of the 31 call-refused lines left out because of the log budget per second");
    CHECK(gapAt(R"({"t":11000,"host":"c-1","event":101,"name":"started","text":""})") == "how attempt 2 ended: its process ended and was restarted");
    CHECK(gapAt(R"({"t":8000,"host":"c-1","event":404,"name":"link-down","text":""})") == "how attempt 2 ended: its log has no such line");
    CHECK(gapAt(R"({"t":1000,"host":"c-1","event":521,"name":"call-queued","id":"r1"})") == "how attempt 2 ended: its log has no such line");
}

TEST_CASE("a request whose ingress was killed has no end, and a call without a request-sent line is still shown", "[explain]")
{
    // The ingress was killed while the upstream ran the request: the logs have the upstream's answer, but not the caller's.
    const std::string killed = R"({"t":9000,"host":"a-1","event":511,"name":"request-sent","id":"r1","upstream":"b-1","try":1}
{"t":9700,"host":"a-1","event":101,"name":"started","text":""}
)";
    const std::string ran = R"({"t":9100,"host":"b-1","event":523,"name":"call-ended","id":"r1","status":200}
)";
    const RequestHistory history = ctl::buildHistory(collected("r1", { killed, ran }));
    CHECK(history.outcome == "its end is not in these logs");
    CHECK(eventNumbers(history) == std::vector<int> { 511, 523 });
    REQUIRE(history.gaps.size() == 1);
    CHECK(history.gaps[0].text == "how the request ended: its process ended and was restarted");

    const RequestHistory alone = ctl::buildHistory(collected("r1", { ran }));
    REQUIRE(alone.gaps.size() == 1);
    CHECK(alone.gaps[0].host == "b-1");
    CHECK(eventNumbers(alone) == std::vector<int> { 523 });
}

TEST_CASE("lines of other programs and truncated lines are skipped", "[explain]")
{
    const auto logs = collected("r1", { "plain text\n{\"t\":1,\"host\":\"x\"}\n{\"t\":9000,\"host\":\"a-1\",\"event\":511\n  30.16 a-1 " + first });
    CHECK(logs.unreadable == 3);
    CHECK(logs.request.contains("b-1")); // after the prefix that a log collector adds
    CHECK_FALSE(ctl::explain({ "explain", "r1" }, false));
    CHECK_FALSE(ctl::explain({ "explain", "r1", "/no/such/file" }, false));
}
