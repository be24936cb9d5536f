// Base types: validating JSON reader, and result codes and events compared with their pages.
#include "appletally/base/events.h"
#include "appletally/base/histogram.h"
#include "appletally/base/json_reader.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace appletally::base;

static std::string page(const std::string& name)
{
    std::ifstream in(std::string(SOURCE_FOLDER) + "/docs/" + name);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

TEST_CASE("a mistyped key in the settings is rejected with its path", "[base]")
{
    // Guards against ignoring unknown keys: with "batch_ms" in place of "batch", the default would silently stay in use.
    const JsonDocument value = parseJson(R"({"pace": {"batch_ms": 5}})").value();
    ReadProblem problem;
    JsonReader top(value, "a.json", problem);
    JsonReader pace = top.object("pace");
    pace.duration("batch", Duration { 0 }, Duration { 1000 }, Duration { 20 });
    pace.finish();
    top.finish();
    REQUIRE(problem.first);
    CHECK(problem.first->code == Code::SettingsUnknownKey);
    CHECK(problem.first->text == "a.json: pace.batch_ms: expected no such key");
}

TEST_CASE("errors for wrong types and values out of range say what was expected", "[base]")
{
    const auto problemOf = [](const char* text) {
        const JsonDocument value = parseJson(text).value();
        ReadProblem problem;
        JsonReader top(value, "a.json", problem);
        top.integer("slots", 1, 100);
        top.finish();
        return problem.first ? problem.first->text : "";
    };
    CHECK(problemOf(R"({"slots": 5})").empty());
    CHECK(problemOf(R"({"slots": "5"})") == "a.json: slots: expected a whole number from 1 to 100");
    CHECK(problemOf(R"({"slots": 101})") == "a.json: slots: expected a whole number from 1 to 100");
    CHECK(problemOf(R"({"slots": 18446744073709551615})") == "a.json: slots: expected a whole number from 1 to 100");
    CHECK(problemOf("{}") == "a.json: slots: expected a whole number from 1 to 100");
    CHECK(problemOf("[]") == "a.json: (top): expected an object");
}

TEST_CASE("addresses are IP addresses with a port", "[base]")
{
    CHECK(parseAddress("127.0.0.1:80").value() == Address { "127.0.0.1", 80 });
    for (const char* text : { "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x" })
        CHECK_FALSE(parseAddress(text));
}

TEST_CASE("every result code has its row in docs/RESULTS.md", "[base][docs]")
{
    const std::string text = page("RESULTS.md");
    std::set<int> exits;
    for (const CodeInfo& it : allCodes()) {
        std::ostringstream row;
        row << "| " << static_cast<int>(it.code) << " | " << it.name << " | " << it.httpStatus << " | " << (it.notRun ? "yes" : "no")
            << " | " << exitCode(it.code) << " | " << it.meaning << " |";
        INFO(row.str());
        CHECK(text.find(row.str()) != std::string::npos);
        CHECK(exitCode(it.code) < 126);
        if (static_cast<int>(it.code) / 100 == 1)
            CHECK(exits.insert(exitCode(it.code)).second);
    }
}

TEST_CASE("every log event has its row in docs/EVENTS.md", "[base][docs]")
{
    const std::string text = page("EVENTS.md");
    for (const EventInfo& it : allEvents()) {
        std::ostringstream row;
        row << "| " << static_cast<int>(it.event) << " | " << it.name << " | " << it.meaning << " | " << it.action << " |";
        INFO(row.str());
        CHECK(text.find(row.str()) != std::string::npos);
    }
}

TEST_CASE("a histogram's quantiles are within one bin of the exact values", "[base]")
{
    LatencyHistogram it;
    for (int n = 1; n <= 1000; ++n)
        it.add(n);
    CHECK(it.quantile(0.5) == Approx(500).epsilon(0.08));
    CHECK(it.quantile(0.99) == Approx(990).epsilon(0.08));
}
