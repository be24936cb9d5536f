// Replays recorded runs and compares the outcomes with the recorded ones. Each line of a trace is a JSON object.
#include "config_boot_answers.h"

#include "appletally/config/codec.h"
#include "appletally/config/state_machine.h"

#include <catch2/catch.hpp>
#include <fstream>

using namespace appletally;
using namespace appletally::config;
using base::Json;

namespace {

std::vector<Json> linesOf(const std::string& name)
{
    std::ifstream in(std::string(SOURCE_FOLDER) + "/tests/traces/" + name);
    std::vector<Json> out;
    for (std::string line; std::getline(in, line);)
        out.push_back(Json::parse(line));
    REQUIRE_FALSE(out.empty());
    return out;
}

void checkEnd(const State& state, const Json& line)
{
    for (const auto& [service, shares] : line.at("shares").items()) {
        Json got = Json::object();
        for (const VersionShare& it : current(state).services.at({ service }).versions)
            got[it.version.text] = it.share.value;
        CHECK(got == shares);
    }
    Json ended = Json::array();
    for (const RolloutRecord& it : state.ended)
        ended.push_back(it.rollout.id.text + " " + endName(it.end));
    CHECK(ended == line.at("ended"));
}

void replayEntry(State& state, const Json& line)
{
    const Outcome got = apply(state, { line.at("index").get<uint64_t>() }, encode(line.at("entry")));
    CHECK(base::info(got.code).name == line.at("code").get<std::string>());
    CHECK(got.version.value == line.at("version").get<uint64_t>());
    CHECK(got.winner.text == line.value("winner", ""));
}

Snapshot versionOf(uint64_t n)
{
    Snapshot out;
    out.version = { n };
    out.services[{ "a" }].name = { "a" };
    out.services[{ "a" }].slots = static_cast<int>(n);
    return out;
}

struct Node {
    AppliedConfig applied;
    tests::BootAnswers answers;
};

void replayStep(Node& node, const Json& line)
{
    const std::string action = line.at("do");
    if (action == "restart")
        node = {};
    if (action == "snapshot")
        (void)applySnapshot(node.applied, versionOf(line.at("to")));
    if (action == "delta")
        (void)applyDelta(node.applied, difference(versionOf(line.at("from")), versionOf(line.at("to"))));
    if (action == "word")
        node.answers.receive(node.applied, { { line.at("voter") }, { line.at("recorded") }, tests::votersOf({ 1, 2, 3 }, 1) });
}

} // namespace

TEST_CASE("a recorded race of two operators, with resends, a restart and a late control process", "[config][trace]")
{
    // Guards against confirmed changes that are lost or applied twice: answers were lost, so requests were resent over
    // other control processes, one of which had been suspended and still tried to raise a share.
    State state;
    for (const Json& line : linesOf("config-race.trace")) {
        INFO(line.dump());
        if (line.contains("restore"))
            state = decodeState(encode(state)).value();
        else if (line.contains("shares"))
            checkEnd(state, line);
        else
            replayEntry(state, line);
    }
}

TEST_CASE("a recorded restart of a node behind a source that lags", "[config][trace]")
{
    // Guards against callers meeting replaced limits: the node restarts, and its relay still has an older version.
    Node node;
    for (const Json& line : linesOf("config-node.trace")) {
        INFO(line.dump());
        replayStep(node, line);
        CHECK(appliedVersion(node.applied).value == line.at("in_force").get<uint64_t>());
        CHECK(heldVersion(node.applied).value == line.at("held").get<uint64_t>());
    }
}
