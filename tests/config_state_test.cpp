// The replicated state machine, deltas and the versions that a node applies: single scenarios.
#include "config_boot_answers.h"

#include "appletally/config/codec.h"
#include "appletally/config/state_machine.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace appletally;
using namespace appletally::config;
using base::Code;

namespace {

std::string exampleBytes(const std::string& name)
{
    std::ifstream in(std::string(SOURCE_FOLDER) + "/examples/" + name);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

std::string withSlots(const std::string& bytes, int slots)
{
    base::Json json = base::Json::parse(bytes);
    json["services"][0]["slots"] = slots;
    return encode(json);
}

OperatorRequest request(const char* by, uint64_t number, uint64_t base) { return { { by }, { number }, { base }, { 1000 } }; }

// A state with both deployments: versions 1 and 2.
State bothDeployments()
{
    State state;
    CHECK(apply(state, { 1 }, SubmitAnswers { request("ada", 1, 0), exampleBytes("berthgrid.json") }).code == Code::Ok);
    CHECK(apply(state, { 2 }, SubmitAnswers { request("ada", 2, 1), exampleBytes("hlyab.json") }).code == Code::Ok);
    CHECK(validate(current(state)));
    return state;
}

StartRollout start(OperatorRequest request, const char* to) { return { std::move(request), { "plug-control" }, {}, { to }, { 60'000 } }; }

} // namespace

TEST_CASE("of two operators with equal numbers and the same base one wins and the other learns who", "[config]")
{
    // Guards against a silently reverted change: both read version 2 and change the slots of the same service at once. If
    // both were accepted, the crew whose limit was raised would have requests rejected again.
    State state = bothDeployments();
    const std::string bytes = exampleBytes("berthgrid.json");
    const Outcome first = apply(state, { 3 }, SubmitAnswers { request("ada", 3, 2), withSlots(bytes, 12) });
    const Outcome second = apply(state, { 4 }, SubmitAnswers { request("bob", 3, 2), withSlots(bytes, 8) });
    CHECK(first.code == Code::Ok);
    CHECK(first.version == base::ConfigVersion { 3 });
    CHECK(second.code == Code::VersionConflict);
    CHECK(second.winner == base::OperatorId { "ada" });
    CHECK(current(state).services.at({ "plug-control" }).slots == 12);
    CHECK(state.versions.back().differences == std::vector<std::string> { "service plug-control: slots 10 -> 12" });
    // Another team's answers do not conflict.
    CHECK(apply(state, { 5 }, SubmitAnswers { request("eva", 1, 2), withSlots(exampleBytes("hlyab.json"), 7) }).code == Code::Ok);
}

TEST_CASE("a resend gets the first answer, also from a replica made from a snapshot", "[config]")
{
    // Guards against reporting an accepted submission as refused: its answer is lost and the operator's tool resends it
    // to a replica that has joined since. Evaluated again, it would conflict with itself.
    State state = bothDeployments();
    const SubmitAnswers command { request("ada", 3, 2), withSlots(exampleBytes("berthgrid.json"), 12) };
    const Outcome first = apply(state, { 3 }, command);
    auto joined = decodeState(encode(state));
    REQUIRE(joined);
    CHECK(encode(joined.value()) == encode(state));
    SubmitAnswers resend = command;
    resend.request.at = { 2000 };
    CHECK(apply(joined.value(), { 4 }, resend) == first);
    CHECK(apply(joined.value(), { 5 }, SubmitAnswers { request("ada", 3, 2), withSlots(command.answers, 13) }).code == Code::RequestNumberReused);
    CHECK(current(joined.value()).version == first.version);
    CHECK(findOutcome(joined.value(), { "ada" }, { 3 })->outcome == first);
}

TEST_CASE("outcomes are dropped by the documented rule and their requests never run again", "[config]")
{
    // Guards against a second rollout when a script resends a request that is hours old.
    State state = bothDeployments();
    const StartRollout first = start(request("ada", 3, 2), "2.0");
    const Outcome started = apply(state, { 3 }, first);
    REQUIRE(started.code == Code::Ok);
    CHECK(apply(state, { 4 }, StopRollout { request("ada", 4, 3), started.rollout, "dull" }).code == Code::Ok);
    uint64_t index = 5;
    const std::string bytes = exampleBytes("berthgrid.json");
    for (uint64_t n = 5; n < 5 + maxOutcomesPerOperator; ++n, ++index)
        apply(state, { index }, StopRollout { request("ada", n, 4), { "none" }, "" });
    CHECK(apply(state, { index++ }, first).code == Code::RequestNumberReused);
    // With enough other operators, the first one is dropped entirely.
    for (size_t n = 0; n < maxOperators; ++n, ++index)
        apply(state, { index }, StopRollout { request(("op" + std::to_string(n)).c_str(), 1, 4), { "none" }, "" });
    CHECK(state.operators.size() == maxOperators);
    CHECK_FALSE(state.operators.contains({ "ada" }));
    CHECK(apply(state, { index++ }, first).code == Code::VersionConflict);
    CHECK(current(state).rollouts.empty());
}

TEST_CASE("a rollout goes from trial to its end, and late commands of a deposed leader are refused", "[config]")
{
    // Guards against a suspended control process that raises the share after its successor has lowered it.
    State state = bothDeployments();
    const Outcome started = apply(state, { 3 }, start(request("ada", 3, 2), "2.0"));
    REQUIRE(started.code == Code::Ok);
    CHECK(started.rollout == base::RolloutId { "plug-control-3" });
    const auto sharesAre = [&](const std::vector<VersionShare>& shares) { return current(state).services.at({ "plug-control" }).versions == shares; };
    CHECK(sharesAre({ { { "1.0" }, { 1000 } }, { { "2.0" }, { 0 } } }));
    CHECK(apply(state, { 4 }, SetShare { started.rollout, { 0 }, { 50 }, "trial", {} }).code == Code::Ok);
    CHECK(sharesAre({ { { "1.0" }, { 950 } }, { { "2.0" }, { 50 } } }));
    CHECK(apply(state, { 5 }, SetShare { started.rollout, { 0 }, { 100 }, "late", {} }).code == Code::RolloutConflict);
    CHECK(apply(state, { 6 }, CompleteRollout { started.rollout, { 0 }, "late", {} }).code == Code::RolloutConflict);
    const Outcome again = apply(state, { 7 }, start(request("bob", 1, 6), "3.0"));
    CHECK(again.code == Code::UnknownVersion);
    const Outcome other = apply(state, { 8 }, start(request("bob", 2, 4), "3.0"));
    CHECK(other.code == Code::RolloutConflict);
    CHECK(other.winner == base::OperatorId { "ada" });

    SECTION("rolled back, at whatever share")
    {
        CHECK(apply(state, { 9 }, RollBackRollout { started.rollout, { 0 }, "failures 40 per mille over 1.0", {} }).code == Code::Ok);
        CHECK(sharesAre({ { { "1.0" }, { 1000 } } }));
        CHECK(state.ended.back().end == RolloutEnd::RolledBack);
        CHECK(state.ended.back().rollout.share == base::PerMille { 50 });
        const Outcome late = apply(state, { 10 }, SetShare { started.rollout, { 50 }, { 200 }, "late", {} });
        CHECK(late.code == Code::RolloutUnknown);
        CHECK(late.text == "rollout plug-control-3 was taken back in version 9");
        CHECK(sharesAre({ { { "1.0" }, { 1000 } } }));
    }
    SECTION("completed; answers submitted meanwhile do not move traffic")
    {
        CHECK(apply(state, { 9 }, SubmitAnswers { request("ada", 4, 4), withSlots(exampleBytes("berthgrid.json"), 12) }).code == Code::Ok);
        CHECK(sharesAre({ { { "1.0" }, { 950 } }, { { "2.0" }, { 50 } } }));
        CHECK(apply(state, { 10 }, CompleteRollout { started.rollout, { 50 }, "", {} }).code == Code::Ok);
        CHECK(sharesAre({ { { "2.0" }, { 1000 } } }));
        CHECK(apply(state, { 11 }, SubmitAnswers { request("ada", 5, 10), withSlots(exampleBytes("berthgrid.json"), 13) }).code == Code::Ok);
        CHECK(sharesAre({ { { "2.0" }, { 1000 } } }));
        base::Json edited = base::Json::parse(exampleBytes("berthgrid.json"));
        edited["services"][0]["first_version"] = "3.0";
        CHECK(apply(state, { 12 }, SubmitAnswers { request("ada", 6, 11), encode(edited) }).code == Code::AnswersInvalid);
    }
    SECTION("a service is not dropped from under its rollout")
    {
        base::Json edited = base::Json::parse(exampleBytes("berthgrid.json"));
        edited["services"] = base::Json::array();
        CHECK(apply(state, { 9 }, SubmitAnswers { request("ada", 4, 4), encode(edited) }).code == Code::RolloutConflict);
    }
}

// Guards against a service without a usable upstream while its ready upstreams run the version before the last rollout.
TEST_CASE("the version that had the traffic is the fallback during a rollout and after its completion", "[config]")
{
    State state = bothDeployments();
    const auto fallbackVersion = [&] { return current(state).services.at({ "plug-control" }).fallbackVersion.text; };
    CHECK(fallbackVersion().empty());
    const base::RolloutId bad = apply(state, { 3 }, start(request("ada", 3, 2), "bad")).rollout;
    CHECK(fallbackVersion() == "1.0");
    CHECK(apply(state, { 4 }, RollBackRollout { bad, { 0 }, "", {} }).code == Code::Ok);
    CHECK(fallbackVersion().empty());
    const base::RolloutId good = apply(state, { 5 }, start(request("ada", 4, 4), "2.0")).rollout;
    CHECK(apply(state, { 6 }, SetShare { good, { 0 }, { 1000 }, "", {} }).code == Code::Ok);
    CHECK(apply(state, { 7 }, CompleteRollout { good, { 1000 }, "", {} }).code == Code::Ok);
    CHECK(fallbackVersion() == "1.0");
    const State restarted = decodeState(encode(state)).value();
    CHECK(restarted.previousTraffic == state.previousTraffic);
    CHECK(current(restarted) == current(state));
    CHECK(apply(state, { 8 }, SubmitAnswers { request("ada", 5, 7), withSlots(exampleBytes("berthgrid.json"), 12) }).code == Code::Ok);
    CHECK(fallbackVersion() == "1.0");
}

TEST_CASE("a keeper set changes in two steps, each identified by its number", "[config]")
{
    // Guards against disconnecting a plug twice: two control processes change the keepers at once. If both changes were
    // accepted, claims granted by a majority of the first set would be unknown to the second set.
    State state;
    const std::vector<Keeper> one = { { { "h1" }, { "127.0.0.1", 1 } }, { { "h2" }, { "127.0.0.1", 2 } }, { { "h3" }, { "127.0.0.1", 3 } } };
    const std::vector<Keeper> two = { one[1], one[2], { { "h4" }, { "127.0.0.1", 4 } } };
    CHECK(apply(state, { 1 }, SetKeepers { { 0 }, one, {} }).code == Code::Ok);
    CHECK(current(state).keepers == KeeperSet { { 1 }, one, {} });
    CHECK(apply(state, { 2 }, SetKeepers { { 0 }, two, {} }).code == Code::VersionConflict);
    CHECK(apply(state, { 3 }, SetKeepers { { 1 }, two, {} }).code == Code::Ok);
    CHECK(current(state).keepers == KeeperSet { { 2 }, two, one });
    CHECK(apply(state, { 4 }, SetKeepers { { 2 }, one, {} }).code == Code::VersionConflict);
    CHECK(apply(state, { 5 }, FinishKeeperChange { { 1 }, {} }).code == Code::VersionConflict);
    CHECK(apply(state, { 6 }, FinishKeeperChange { { 2 }, {} }).code == Code::Ok);
    CHECK(current(state).keepers == KeeperSet { { 2 }, two, {} });
    CHECK(apply(state, { 7 }, SetKeepers { { 2 }, { one[1], one[0] }, {} }).code == Code::AnswersInvalid);
}

TEST_CASE("an evacuation ordered again is accepted, and its end without a start changes nothing", "[config][evacuation]")
{
    // Guards against an order whose acknowledgement was lost and whose resend is refused, or makes another version.
    State state = bothDeployments();
    const uint64_t before = current(state).version.value;
    CHECK(apply(state, { 3 }, SetZoneEvacuated { { "a" }, false, { 1 } }).code == Code::Ok);
    CHECK(current(state).version.value == before);
    CHECK(apply(state, { 4 }, SetZoneEvacuated { { "a" }, true, { 2 } }).version.value == 4);
    CHECK(apply(state, { 5 }, SetZoneEvacuated { { "a" }, true, { 3 } }).version.value == 4);
    CHECK(apply(state, { 6 }, EvacuateZone { request("ada", 3, 4), { "b" }, true }).version.value == 6);
    CHECK(state.versions.back().differences == std::vector<std::string> { "zone b: evacuated" });
    state = decodeState(encode(state)).value();
    CHECK((current(state).evacuatedZones == std::set<base::ZoneName> { { "a" }, { "b" } }));
    CHECK(apply(state, { 7 }, SetZoneEvacuated { { "a" }, false, { 4 } }).code == Code::Ok);
    CHECK((current(state).evacuatedZones == std::set<base::ZoneName> { { "b" } }));
    CHECK(state.versions.back().differences == std::vector<std::string> { "zone a: back in service" });
    CHECK(apply(state, { 8 }, SetZoneEvacuated { { "" }, true, { 5 } }).code == Code::AnswersInvalid);
}

TEST_CASE("an evacuation stays in force through rollouts and changes of the configuration", "[config][evacuation]")
{
    // Guards against a zone that gets requests again because something else was changed.
    State state = bothDeployments();
    CHECK(apply(state, { 3 }, SetZoneEvacuated { { "a" }, true, { 2 } }).code == Code::Ok);
    CHECK(apply(state, { 4 }, start(request("ada", 3, 3), "2.0")).code == Code::Ok);
    CHECK(apply(state, { 5 }, SubmitAnswers { request("ada", 4, 4), withSlots(exampleBytes("hlyab.json"), 7) }).code == Code::Ok);
    CHECK(current(state).evacuatedZones.size() == 1);
    for (uint64_t n = 1; n < maxEvacuatedZones; ++n)
        CHECK(apply(state, { 5 + n }, SetZoneEvacuated { { "z" + std::to_string(n) }, true, { 2 } }).code == Code::Ok);
    CHECK(apply(state, { 100 }, SetZoneEvacuated { { "one-too-many" }, true, { 2 } }).code == Code::AnswersInvalid);
}

TEST_CASE("commands survive encoding and decoding, and malformed bytes are refused without effect", "[config]")
{
    const OperatorRequest operatorRequest = request("ada", 3, 2);
    const Command commands[] = { SubmitAnswers { operatorRequest, "{\"a\": 1}" }, StartRollout { operatorRequest, { "a" }, {}, { "2.0" }, { 5 } },
        StopRollout { operatorRequest, { "a-3" }, "why" }, SetShare { { "a-3" }, { 0 }, { 50 }, "", { 7 } }, RollBackRollout { { "a-3" }, { 50 }, "bad", { 7 } },
        CompleteRollout { { "a-3" }, { 1000 }, "", { 7 } }, SetKeepers { { 1 }, { { { "h" }, { "127.0.0.1", 1 } } }, { 7 } }, FinishKeeperChange { { 2 }, { 7 } },
        EvacuateZone { operatorRequest, { "north-a" }, false }, SetZoneEvacuated { { "north-a" }, true, { 7 } } };
    for (const Command& it : commands) {
        const auto back = decodeCommand(encode(it));
        REQUIRE(back);
        CHECK(back.value().index() == it.index());
        CHECK(encode(back.value()) == encode(it));
    }
    State state = bothDeployments();
    const std::string before = encode(current(state));
    for (const char* bytes : { "", "{}", "[[[[", R"({"kind":"none"})", R"({"kind":"take_back","rollout":"a","from":1001,"at":0})", R"({"kind":"finish_keepers","number":1,"at":0,"x":1})",
             R"({"kind":"set_zone_evacuated","evacuated":true,"at":0})", R"({"kind":"set_zone_evacuated","zone":"a","evacuated":2,"at":0})" })
        CHECK(apply(state, { state.applied.value + 1 }, bytes).code == Code::MessageMalformed);
    CHECK(encode(current(state)) == before);
    CHECK(apply(state, { 1 }, SetKeepers { { 0 }, { { { "h" }, { "127.0.0.1", 1 } } }, {} }).code == Code::VersionTooOld);
}

TEST_CASE("a delta applies only to its base version, and its repetition is harmless", "[config]")
{
    // Guards against a node with routes of one version and limits of another: two deltas arrive in the wrong order.
    State state = bothDeployments();
    const Snapshot two = current(state);
    apply(state, { 3 }, SubmitAnswers { request("ada", 3, 2), withSlots(exampleBytes("berthgrid.json"), 12) });
    const Snapshot three = current(state);
    apply(state, { 4 }, start(request("ada", 4, 3), "2.0"));
    const Snapshot four = current(state);
    const Delta toThree = decodeDelta(encode(difference(two, three))).value();
    const Delta toFour = decodeDelta(encode(difference(three, four))).value();
    CHECK(toThree.services.size() == 1);
    CHECK(toThree.routes.empty());

    AppliedConfig node;
    CHECK_FALSE(raiseMinVersion(node, { 2 }));
    CHECK(applySnapshot(node, two).value());
    CHECK(applyDelta(node, toFour).error().code == Code::DeltaMismatch);
    CHECK(applyDelta(node, toThree).value());
    CHECK(applyDelta(node, toThree).error().code == Code::VersionTooOld);
    CHECK(applyDelta(node, toFour).value());
    CHECK(applySnapshot(node, three).error().code == Code::VersionTooOld);
    CHECK(*node.applied == four);
    Delta damaged = difference(three, four);
    damaged.services[0].slots = 99;
    CHECK(patch(three, damaged).error().code == Code::DeltaMismatch);
    CHECK(decodeDelta("{}").error().code == Code::MessageMalformed);
}

TEST_CASE("a version that fails validation is rejected as a whole and the applied version stays", "[config]")
{
    State state = bothDeployments();
    AppliedConfig node;
    raiseMinVersion(node, { 0 });
    CHECK(applySnapshot(node, current(state)).value());
    Snapshot bad = current(state);
    bad.version = { 9 };
    bad.services.erase({ "berth-data" });
    CHECK(applyDelta(node, difference(current(state), bad)).error().code == Code::DanglingReference);
    CHECK(appliedVersion(node) == base::ConfigVersion { 2 });
    CHECK(node.refused == base::ConfigVersion { 9 });
    CHECK_FALSE(node.refusal.empty());
}

TEST_CASE("a restarted node waits for a majority of the voters and starts at no lower version", "[config]")
{
    // Guards against traffic to an upstream version that was rolled back minutes ago: a rack restarts without its state
    // and reconnects to a relay that lags.
    State state = bothDeployments();
    Snapshot lagging = current(state);
    Snapshot recorded = lagging;
    recorded.version = { 5 };
    AppliedConfig node;
    CHECK_FALSE(applySnapshot(node, lagging).value());
    CHECK(appliedVersion(node).value == 0);
    const consensus::Members old = tests::votersOf({ 1, 2, 3 }, 1);
    const consensus::Members members = tests::votersOf({ 2, 3, 4 }, 4);
    tests::BootAnswers answers;
    answers.receive(node, { { 1 }, { 2 }, old });
    CHECK_FALSE(node.minVersion);
    answers.receive(node, { { 2 }, { 2 }, members }); // knows that replica 1 was removed: its answer no longer counts
    CHECK_FALSE(node.minVersion);
    answers.receive(node, { { 4 }, { 5 }, members });
    REQUIRE(node.minVersion);
    CHECK(node.minVersion->value == 5);
    CHECK(appliedVersion(node).value == 0);
    CHECK(applySnapshot(node, recorded).value());
    CHECK(appliedVersion(node).value == 5);
}
