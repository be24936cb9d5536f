// Documents with thousands of resources: log encoding, decoding and change descriptions.
#include "appletally/config/codec.h"
#include "appletally/config/delta.h"
#include "appletally/config/state_machine.h"

#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::config;
using base::Code;

namespace {

Route routeOf(int n)
{
    Route out;
    out.name = { "route-" + std::to_string(n) };
    out.service = { "plug-control" };
    out.method = "*";
    out.host = "berths.example";
    out.pathPrefix = "/part" + std::to_string(n) + "/";
    out.target = { 400 };
    out.maxAttempts = 2;
    out.splits = { { { "plug-control" }, 9 }, { { "berth-data" }, 1 } };
    out.callers = { { "crew" } };
    return out;
}

SubmitDocument documentOf(int routes)
{
    SubmitDocument out;
    out.id = { { 1 }, { 0 }, "digest" };
    for (int n = 0; n < routes; ++n)
        out.change.routes.push_back({ routeOf(n), "{\"host\":\"berths.example\",\"n\":" + std::to_string(n) + "}" });
    for (const char* name : { "berth-data", "plug-control" }) {
        Service service;
        service.name = { name };
        out.change.services.push_back({ service, "{}" });
    }
    return out;
}

} // namespace

// Guards against storing and replicating large documents uncompressed.
TEST_CASE("a large command is compressed in the log and decodes to the same value", "[config]")
{
    const Command command = documentOf(1200);
    const std::string plain = encode(command);
    const std::string logged = encodeForLog(command);
    CHECK(logged.size() * 5 < plain.size());
    const auto back = decodeCommand(logged);
    REQUIRE(back);
    CHECK(encode(back.value()) == plain);
    const Command small = SetShare { { "a-3" }, { 0 }, { 50 }, "", { 7 } };
    CHECK(encodeForLog(small) == encode(small));
}

// Guards against memory exhaustion or a crash caused by malformed compressed input.
TEST_CASE("compressed commands that are truncated, compressed twice or too large are refused", "[config]")
{
    const std::string logged = encodeForLog(documentOf(1200));
    CHECK(decodeCommand(logged.substr(0, logged.size() / 2)).error().code == Code::MessageMalformed);
    CHECK(decodeCommand(compress(logged)).error().code == Code::MessageMalformed);
    CHECK(decodeCommand(compress(std::string(maxSnapshotBytes + 1, '{'))).error().code == Code::MessageTooLarge);
}

// Guards against replicas computing different hashes for equal resources.
TEST_CASE("streamed resources have the same canonical bytes as the JSON tree", "[config]")
{
    base::JsonBuffer routeBuf;
    base::JsonWriter routeOut(routeBuf);
    write(routeOut, routeOf(1));
    CHECK(base::textOf(routeBuf) == encode(toJson(routeOf(1))));
    Service service;
    service.name = { "plug-control" };
    service.dependsOn = { { "berth-data" } };
    service.versions = { { { "1.0" }, { 900 } }, { { "2.0" }, { 100 } } };
    service.coldRate = { 7200 };
    service.coldWindow = { 3000 };
    base::JsonBuffer serviceBuf;
    base::JsonWriter serviceOut(serviceBuf);
    write(serviceOut, service);
    CHECK(base::textOf(serviceBuf) == encode(toJson(service)));
}

// Guards against a history entry that grows with the number of changed resources.
TEST_CASE("a change of many resources is described by its first lines and a count", "[config]")
{
    Snapshot many;
    for (int n = 0; n < 1000; ++n)
        many.routes[routeOf(n).name] = routeOf(n);
    const std::vector<std::string> added = describeDifference({}, many, 20);
    REQUIRE(added.size() == 21);
    CHECK(added.front() == "route route-0: added");
    CHECK(added.back() == "and 980 more");
    CHECK(describeDifference({}, many).size() == 1000);
    CHECK(describeDifference(many, many, 20).empty());
}

// Guards against errors that do not locate the invalid value in a large document.
TEST_CASE("an error in a nested value reports its path", "[config]")
{
    std::string bytes = encode(Command { documentOf(3) });
    const std::string field = "\"timeout\":2000";
    const size_t last = bytes.rfind(field);
    bytes.replace(last, field.size(), "\"timeout\":\"2000\"");
    const auto read = decodeCommand(bytes);
    REQUIRE_FALSE(read);
    CHECK(read.error().text.find("change.routes[2].route.timeout") != std::string::npos);
}
