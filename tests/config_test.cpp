// Questionnaire, generation, validation, codecs and route matching.
#include "appletally/config/codec.h"
#include "appletally/config/generate.h"
#include "appletally/config/route_match.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace appletally;
using namespace appletally::config;
using base::Code;
using base::Json;

namespace {

Answers example(const std::string& name)
{
    const std::string file = std::string(SOURCE_FOLDER) + "/examples/" + name;
    auto json = base::readJsonFile(file);
    REQUIRE(json);
    auto answers = readAnswers(json.value(), file);
    if (!answers)
        FAIL(answers.error().text);
    return answers.value();
}

Json minimalAnswers()
{
    return Json::parse(R"({"name": "team", "weighing": "speed-and-take-back", "callers": ["crew"], "services": [
        {"name": "a", "routes": [{"name": "r", "method": "GET", "path_prefix": "/r", "callers": ["crew"]}]}]})");
}

std::string problemOf(const Json& json)
{
    auto it = readAnswers(base::parseJson(json.dump()).value(), "a.json");
    if (it)
        return "";
    CHECK(it.error().code == Code::AnswersInvalid);
    return it.error().text;
}

} // namespace

TEST_CASE("what the questionnaire says of request ids reaches the nodes", "[config]")
{
    // Guards against an answer that is accepted and lost on its way into the configuration.
    for (const bool repeats : { false, true }) {
        Json json = minimalAnswers();
        json["services"][0]["repeats_request_id"] = repeats;
        const Snapshot snapshot = generate(readAnswers(base::parseJson(json.dump()).value(), "a.json").value());
        const Service& service = snapshot.services.at({ "a" });
        CHECK(service.repeatsRequestId == repeats);
        base::ReadProblem problem;
        const auto encoded = base::parseJson(toJson(service).dump());
        CHECK(readService(base::JsonReader(encoded.value(), "snapshot", problem)) == service);
        CHECK_FALSE(problem.first);
    }
}

TEST_CASE("errors in the questionnaire report the path of the invalid value", "[config]")
{
    // Guards against charging a member twice: an ignored mistyped key would leave a donation repeatable.
    struct Row {
        const char* pointer;
        Json value;
        const char* problem;
    };
    const Row rows[] = {
        { "/services/0/routes/0/idempotant", false, "a.json: services[0].routes[0].idempotant: expected no such key" },
        { "/services/0/routes/0/idempotent", "no", "a.json: services[0].routes[0].idempotent: expected true or false" },
        { "/services/0/routes/0/priority", "urgent", "a.json: services[0].routes[0].priority: expected one of command lookup read archive" },
        { "/services/0/routes/0/path_prefix", "/r/", "a.json: services[0].routes[0].path_prefix: expected a path from '/' without '/' at its end, '//', '?' or '#'" },
        { "/services/0/routes/0/expected_ms", 3000, "a.json: services[0].routes[0].expected_ms: expected no more than timeout_ms" },
        { "/services/0/routes/0/callers/0", "cat", "a.json: services[0].routes[0].callers: expected kinds of callers from the list at the top, not cat" },
        { "/services/0/slots", 0, "a.json: services[0].slots: expected a whole number from 1 to 10000" },
        { "/services/0/name", "a b", "a.json: services[0].name: expected letters, digits, '.', '_' or '-', 64 at most" },
        { "/weighing", 3, "a.json: weighing: expected one of speed-and-take-back completion-and-bytes" },
    };
    CHECK(problemOf(minimalAnswers()).empty());
    for (const Row& it : rows) {
        Json json = minimalAnswers();
        json[Json::json_pointer(it.pointer)] = it.value;
        CHECK(problemOf(json) == it.problem);
    }
    Json duplicated = minimalAnswers();
    duplicated["services"].push_back(duplicated["services"][0]);
    CHECK(problemOf(duplicated) == "a.json: services: expected service a only once");
    CHECK_FALSE(parseAnswers("{", "a.json"));
    const auto repeated = parseAnswers(R"({"name": "t", "weighing": "speed-and-take-back", "services": [{"name": "a", "slots": 5}, {"name": "b", "slots": 5, "slots": 6}]})", "a.json");
    REQUIRE_FALSE(repeated);
    CHECK(repeated.error().text == "a.json: slots: expected this key only once");
}

TEST_CASE("bytes of deeply nested lists are refused and do not end the process", "[config]")
{
    // Guards against a stack overflow that ends the process with all its requests: a faulty or hostile peer sends half a
    // megabyte of opening brackets to a recursive parser.
    const std::string deep = std::string(400'000, '[') + std::string(400'000, ']');
    CHECK_FALSE(parseAnswers(deep, "a.json"));
    CHECK_FALSE(decodeSnapshot(deep));
    CHECK_FALSE(decodeEndpoints(deep));
    CHECK_FALSE(decodeEvidence(deep));
}

TEST_CASE("docs/QUESTIONNAIRE.md lists every key of the examples", "[config][docs]")
{
    std::ifstream in(std::string(SOURCE_FOLDER) + "/docs/QUESTIONNAIRE.md");
    std::stringstream page;
    page << in.rdbuf();
    std::set<std::string> keys;
    for (const char* name : { "berthgrid.json", "hlyab.json" }) {
        std::ifstream example(std::string(SOURCE_FOLDER) + "/examples/" + name);
        const base::Json flat = base::Json::parse(example).flatten();
        for (const auto& [pointer, value] : flat.items()) {
            std::istringstream parts(pointer);
            for (std::string part; std::getline(parts, part, '/');) {
                if (!part.empty() && !std::isdigit(static_cast<unsigned char>(part[0])))
                    keys.insert(part);
            }
        }
    }
    CHECK(keys.size() > 20);
    for (const std::string& it : keys) {
        INFO(it);
        CHECK(page.str().find("| `" + it + "` |") != std::string::npos);
    }
}

TEST_CASE("both example deployments generate valid snapshots, and the same bytes each time", "[config]")
{
    const AnswersOfTeams both = { { "berthgrid", example("berthgrid.json") }, { "hlyab", example("hlyab.json") } };
    for (const auto& [name, answers] : both) {
        const Snapshot it = generate(answers);
        CHECK(validate(it));
        CHECK(encode(it) == encode(generate(answers)));
    }
    const auto all = generate(both);
    REQUIRE(all);
    CHECK(validate(all.value()));
    CHECK(all.value().services.size() == 4);
    CHECK(all.value().timing.batch == base::Duration { 20 });
    for (const char* name : { "plug-connect", "plug-disconnect", "pause-delivery", "donation" })
        CHECK_FALSE(all.value().routes.at({ name }).idempotent);
}

TEST_CASE("an invalid snapshot is rejected", "[config]")
{
    // Guards against errors for every caller of a path, on all nodes at once: its route names a missing service.
    const Snapshot good = generate(example("berthgrid.json"));
    const auto codeAfter = [&](auto change) {
        Snapshot it = good;
        change(it);
        auto checked = validate(it);
        return checked ? Code::Ok : checked.error().code;
    };
    const base::ServiceName plugs { "plug-control" };
    const base::ServiceName berths { "berth-data" };
    CHECK(codeAfter([](Snapshot&) {}) == Code::Ok);
    CHECK(codeAfter([&](Snapshot& it) { it.services.erase(berths); }) == Code::DanglingReference);
    CHECK(codeAfter([&](Snapshot& it) { it.routes.at({ "tariff" }).service.text = "none"; }) == Code::DanglingReference);
    CHECK(codeAfter([&](Snapshot& it) { it.services.at(berths).dependsOn = { plugs }; }) == Code::AnswersInvalid);
    CHECK(codeAfter([&](Snapshot& it) { it.services.at(berths).dependsOn = { berths }; }) == Code::AnswersInvalid);
    CHECK(codeAfter([&](Snapshot& it) { it.services.at(plugs).versions[0].share.value = 999; }) == Code::AnswersInvalid);
    CHECK(codeAfter([&](Snapshot& it) { it.services.at(plugs).name.text = "x"; }) == Code::AnswersInvalid);
    CHECK(codeAfter([&](Snapshot& it) { it.routes.at({ "tariff" }).pathPrefix = "/berths"; }) == Code::AnswersInvalid);
    CHECK(codeAfter([&](Snapshot& it) { it.rollouts[{ "x" }] = { { "x" }, { "none" }, { "1.0" }, { "2.0" }, { 0 }, {}, {}, {} }; }) == Code::DanglingReference);
    CHECK(codeAfter([&](Snapshot& it) { it.rollouts[{ "x" }] = { { "x" }, plugs, { "1.0" }, { "2.0" }, { 0 }, {}, {}, {} }; }) == Code::AnswersInvalid);
    CHECK(codeAfter([](Snapshot& it) { it.keepers.members = { { { "b" }, {} }, { { "a" }, {} } }; }) == Code::AnswersInvalid);
}

TEST_CASE("values survive encoding and decoding, and corrupted bytes are rejected", "[config]")
{
    Snapshot snapshot = generate(example("hlyab.json"));
    snapshot.version = { 7 };
    snapshot.rollouts[{ "r1" }] = { { "r1" }, { "subscription" }, { "1.0" }, { "2.0" }, { 50 }, { 100 }, { 1'800'000'000'000 }, {} };
    snapshot.keepers = { { 3 }, { { { "h1" }, { "127.0.0.1", 7001 } } }, {} };
    const std::string bytes = encode(snapshot);
    const auto back = decodeSnapshot(decompress(compress(bytes)).value());
    REQUIRE(back);
    CHECK(encode(back.value()) == bytes);
    CHECK(contentHash(back.value()) == contentHash(snapshot));
    CHECK_FALSE(decodeSnapshot(bytes.substr(0, bytes.size() - 1)));
    CHECK_FALSE(decodeSnapshot("[]"));
    CHECK_FALSE(decompress(bytes));
    CHECK_FALSE(decompress(compress(bytes), bytes.size() - 1));
    CHECK_FALSE(decompress(compress(bytes).substr(0, 60)));

    Endpoint endpoint { { "h1" }, { "a" }, { "1.0" }, { "z1" }, { "r" }, { "127.0.0.1", 9000 }, 10, EndpointState::Draining, { UINT64_MAX }, { 2 } };
    const auto endpoints = decodeEndpoints(encode(std::vector { endpoint, endpoint }));
    REQUIRE(endpoints);
    CHECK(encode(endpoints.value()[1]) == encode(endpoint));
    for (const char* text : { "[]", "{}", "[1,2]", R"(["h","a","1","z","r","127.0.0.1:1",10,4,1,1])", R"(["h","a","1","z","r","127.0.0.1:1",-1,1,1,1])", R"(["h","a","1","z","r","127.0.0.1:1",1,1,1,1,1])" })
        CHECK_FALSE(decodeEndpoint(text));

    Evidence evidence { { "h1" }, { 4 }, { "a" }, { "r" }, { "1.0" }, 10, 2, {}, {}, 3, 1, true };
    evidence.latency[31] = 5;
    evidence.busyLatency[0] = UINT32_MAX;
    const auto evidenceBack = decodeEvidence(encode(evidence));
    REQUIRE(evidenceBack);
    CHECK(toJson(evidenceBack.value()) == toJson(evidence));
    for (const char* text : { "[]", "{}", R"(["h",1,"a","r","1",1,1,[32,1],[],0,0,0])", R"(["h",1,"a","r","1",1,1,[3],[],0,0,0])" })
        CHECK_FALSE(decodeEvidence(text));
}

TEST_CASE("the longest prefix on whole segments finds the route", "[config]")
{
    const Snapshot snapshot = generate(example("berthgrid.json"));
    const RouteIndex index = buildRouteIndex(snapshot);
    struct Row {
        const char* method;
        const char* path;
        const char* route; // "": none
    };
    const Row rows[] = {
        { "GET", "/plugs", "plug-state" },
        { "GET", "/plugs/4/history", "plug-state" },
        { "GET", "/plugs/disconnect", "plug-state" },
        { "POST", "/plugs/disconnect/4?force=1", "plug-disconnect" },
        { "POST", "/plugs/disconnected", "" },
        { "POST", "/plugs", "" },
        { "GET", "/plugsets", "" },
        { "GET", "/tariffs/?a=/berths", "tariff" },
        { "GET", "/", "" },
        { "GET", "", "" },
        { "GET", "plugs", "" },
    };
    for (const Row& it : rows) {
        INFO(it.method << " " << it.path);
        const Route* found = match(index, "", it.method, it.path);
        CHECK((found ? found->name.text : "") == it.route);
        CHECK(match(snapshot, it.method, it.path) == found);
    }
}
