// The adapter: the platform's words read once into types, and nothing believed that cannot be used.
#include "appletally/config/state_machine.h"
#include "platform/document.h"
#include "platform/heartbeat.h"
#include "platform/settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace appletally;
using base::Code;
using base::Json;

namespace {

Json beatBody()
{
    return { { "service", "plugs" }, { "address", "10.1.0.9:80" }, { "zone", "a" }, { "version", "v1" }, { "max_concurrency", 6 }, { "state", "ready" },
        { "cold_remaining_ms", 500 }, { "sequence", 4 }, { "born", 1000 } };
}

platform::Heartbeat beat(const std::string& id, uint64_t born, uint64_t sequence)
{
    platform::Heartbeat out;
    out.announcement.id = id;
    out.bornMs = born;
    out.sequence = sequence;
    return out;
}

Json configuration(uint64_t version)
{
    return { { "version", version }, { "extra", { { "a", 1.5 } } },
        { "limits", { { "max_header_bytes", 16384 }, { "idle_timeout_ms", 15000 } } },
        { "services", { { "plugs", { { "health_path", "/health" }, { "max_connections", 110 } } }, { "data", { { "tls", false } } } } },
        { "routes",
            { { "r1", { { "host", "A.example" }, { "path_prefix", "/x/" }, { "route_type", "non_idempotent" }, { "timeout_ms", 1000 }, { "target_latency_ms", 400 }, { "priority", 1 }, { "service", "plugs" }, { "max_attempts", 2 } } },
                { "r2", { { "host", "a.example" }, { "path_prefix", "/x/y/" }, { "route_type", "download" }, { "timeout_ms", 800 }, { "priority", 7 }, { "traffic_split", { { { "service", "plugs" }, { "weight", 90 } }, { { "service", "data" }, { "weight", 10 } } } } } } } } };
}

config::SubmitDocument submit(const config::State& state, const Json& body, uint64_t base)
{
    const config::Document document = platform::readDocument(body.dump(), base).value();
    return { document.id, config::changeFrom(state.document.texts, document), { 5 } };
}

} // namespace

TEST_CASE("a backend's report is taken only whole", "[platform]")
{
    const auto good = platform::readHeartbeat("i-1", beatBody().dump());
    REQUIRE(good);
    CHECK(good.value().announcement.slots == 6);
    CHECK(good.value().announcement.slowStartRemaining == base::Duration { 500 });
    CHECK(good.value().announcement.state == config::EndpointState::Ready);
    // Another program writes half of a report, or of a kind that nobody here knows. Guessing what is missing would send
    // callers to an upstream that is not there.
    for (const char* field : { "service", "address", "version", "max_concurrency", "state", "sequence", "born" }) {
        Json missing = beatBody();
        missing.erase(field);
        CHECK_FALSE(platform::readHeartbeat("i-1", missing.dump()));
        Json mistyped = beatBody();
        mistyped[field] = Json::array();
        CHECK_FALSE(platform::readHeartbeat("i-1", mistyped.dump()));
    }
    Json strange = beatBody();
    strange["state"] = "napping";
    CHECK_FALSE(platform::readHeartbeat("i-1", strange.dump()));
    CHECK_FALSE(platform::readHeartbeat("i-1", "{\"service\":"));
    CHECK_FALSE(platform::readHeartbeat("", beatBody().dump()));
}

TEST_CASE("a dead process's late report changes nothing, nor does one of an earlier start under the same id", "[platform]")
{
    // A report is held up by a cut while its sender dies and another process starts at its address. Believed, it takes the
    // new one out, or sends callers' requests to one that refuses them.
    std::optional<platform::Backend> known;
    CHECK(platform::isNews(known, beat("old", 100, 7)));
    CHECK_FALSE(platform::isNews(known, beat("old", 100, 7))); // doubled
    CHECK_FALSE(platform::isNews(known, beat("old", 100, 6))); // overtaken
    CHECK(platform::isNews(known, beat("new", 200, 1)));
    CHECK_FALSE(platform::isNews(known, beat("old", 100, 8)));
    CHECK_FALSE(platform::isGoodbye(known, "old", 100));
    CHECK(platform::isNews(known, beat("new", 300, 1))); // started again under its id
    CHECK_FALSE(platform::isNews(known, beat("new", 200, 9)));
    CHECK_FALSE(platform::isGoodbye(known, "new", 200));
    CHECK(platform::isGoodbye(known, "new", 300));
    CHECK_FALSE(platform::isNews(known, beat("new", 300, 2))); // it goes; a report from before that is late
    CHECK(platform::isNews(known, beat("next", 400, 1)));
}

TEST_CASE("a goodbye that a restarted node hears first is remembered", "[platform]")
{
    // The node beside a catalogue server restarts; the server says that it leaves, and a report that it sent before comes
    // seconds late. Believed, drivers' requests go to a server that may be gone at any moment.
    for (const uint64_t born : { 100, 0 }) {
        std::optional<platform::Backend> known;
        CHECK_FALSE(platform::isGoodbye(known, "i-1", born)); // nothing stands there yet that could be drained
        CHECK_FALSE(platform::isNews(known, beat("i-1", 100, 7)));
        CHECK(platform::isNews(known, beat("i-2", 200, 1)));
    }
}

TEST_CASE("a configuration is read into routes, services and limits", "[platform]")
{
    const auto document = platform::readDocument(configuration(7).dump(), 5);
    REQUIRE(document);
    const config::Document& it = document.value();
    CHECK(it.id.number.value == 7);
    CHECK(it.id.base.value == 5);
    const config::Route& plain = it.routes.at({ "r1" }).route;
    CHECK(plain.host == "a.example");
    CHECK_FALSE(plain.idempotent);
    CHECK(plain.timeout == base::Duration { 1000 });
    CHECK(plain.target == base::Duration { 400 });
    CHECK(plain.maxAttempts == 2);
    CHECK(plain.priority == config::Priority::Lookup);
    const config::Route& split = it.routes.at({ "r2" }).route;
    CHECK(split.idempotent);
    CHECK(split.priority == config::Priority::Archive);
    REQUIRE(split.splits.size() == 2);
    CHECK(split.splits[0].weight == 9 * split.splits[1].weight);
    CHECK(it.limits.header.count == 16384);
    CHECK(it.limits.idleTime == base::Duration { 15000 });
}

TEST_CASE("a configuration that cannot be enforced whole is refused", "[platform]")
{
    // An operator's tool dies in the middle of a write, or names a service that was taken out. In force by halves, callers
    // of some routes would meet rules that nobody wrote.
    const std::string whole = configuration(7).dump();
    CHECK(platform::readDocument(whole.substr(0, whole.size() - 1), 5).error().code == Code::AnswersInvalid);
    const auto code = [](const std::function<void(Json&)>& spoil) {
        Json it = configuration(7);
        spoil(it);
        const auto read = platform::readDocument(it.dump(), 5);
        return read ? Code::Ok : read.error().code;
    };
    CHECK(code([](Json&) {}) == Code::Ok);
    CHECK(code([](Json& it) { it["routes"]["r1"]["service"] = "gone"; }) == Code::DanglingReference);
    CHECK(code([](Json& it) { it["routes"]["r2"]["traffic_split"][0]["service"] = "gone"; }) == Code::DanglingReference);
    CHECK(code([](Json& it) { it["routes"]["r2"]["traffic_split"][0]["weight"] = -1; }) == Code::AnswersInvalid);
    CHECK(code([](Json& it) { it["routes"]["r2"]["path_prefix"] = "/x/"; }) == Code::AnswersInvalid); // as r1, but for capitals
    CHECK(code([](Json& it) { it["routes"]["r1"]["host"] = ""; }) == Code::AnswersInvalid);
    CHECK(code([](Json& it) { it["routes"]["r1"].erase("timeout_ms"); }) == Code::Ok);
    CHECK(code([](Json& it) { it["routes"]["r1"]["timeout_ms"] = "soon"; }) == Code::AnswersInvalid);
    CHECK(code([](Json& it) { it.erase("services"); }) == Code::AnswersInvalid);
    CHECK(code([](Json& it) { it["version"] = -1; }) == Code::AnswersInvalid);
    CHECK(code([](Json& it) { it["routes"] = Json::array(); }) == Code::AnswersInvalid);
}

// Guards against: a configuration that is acknowledged though part of what was sent is not in it.
TEST_CASE("a configuration with a repeated name, broken text, endless nesting or an unreadable version is refused", "[platform]")
{
    const std::string whole = configuration(7).dump();
    const auto replaced = [&](const std::string& from, const std::string& to) {
        std::string out = whole;
        const size_t at = out.find(from);
        REQUIRE(at != std::string::npos);
        const auto read = platform::readDocument(out.replace(at, from.size(), to), 5);
        return read ? Code::Ok : read.error().code;
    };
    CHECK(replaced("\"version\":7", "\"version\":7") == Code::Ok);
    CHECK(replaced("\"r2\":", "\"r1\":") == Code::AnswersInvalid);
    CHECK(replaced("\"plugs\":{", "\"data\":{") == Code::AnswersInvalid);
    CHECK(replaced("\"version\":7", "\"version\":7,\"version\":8") == Code::AnswersInvalid);
    CHECK(replaced("\"timeout_ms\":1000", "\"timeout_ms\":1000,\"timeout_ms\":10") == Code::AnswersInvalid);
    CHECK(replaced("\"a\":1.5", "\"a\":1.5,\"a\":2") == Code::AnswersInvalid);
    CHECK(replaced("\"a\":1.5", "\"a\":" + std::string(1'000'000, '[') + std::string(1'000'000, ']')) == Code::AnswersInvalid);
    CHECK(replaced("a.example", "a\xff.example") == Code::AnswersInvalid);
    CHECK(replaced("\"version\":7", "\"version\":9223372036854775808") == Code::AnswersInvalid);
}

// Guards against: a number that does not fit the type that holds it and becomes another one, such as a weight of zero.
TEST_CASE("weights of any size keep their proportion, and limits beyond any use are as good as none", "[platform]")
{
    const auto partsOf = [](double first, double second) {
        Json it = configuration(7);
        it["routes"]["r2"]["traffic_split"][0]["weight"] = first;
        it["routes"]["r2"]["traffic_split"][1]["weight"] = second;
        const auto document = platform::readDocument(it.dump(), 5);
        REQUIRE(document);
        const auto& splits = document.value().routes.at({ "r2" }).route.splits;
        return std::pair(splits[0].weight, splits[1].weight);
    };
    CHECK(partsOf(90, 10) == std::pair(90'000, 10'000));
    CHECK(partsOf(90, 0) == std::pair(90'000, 0));
    CHECK(partsOf(90, 0.0004) == std::pair(90'000, 1));
    const auto [large, small] = partsOf(9e12, 1e12);
    CHECK(small > 0);
    CHECK(large == Approx(9.0 * small).epsilon(0.01));

    Json it = configuration(7);
    it["routes"]["r1"]["timeout_ms"] = 1e300;
    it["services"]["plugs"]["max_connections"] = 1e12;
    const auto document = platform::readDocument(it.dump(), 5);
    REQUIRE(document);
    CHECK(document.value().routes.at({ "r1" }).route.timeout > base::Duration { 1'000'000 });
    CHECK(document.value().services.at({ "plugs" }).service.maxConnections > 1'000'000);
}

TEST_CASE("documents: one wins of two on the same base, a resend gets its first answer, what is read back is what was sent", "[platform][documents]")
{
    // Two operators build on the same version; one loses its acknowledgement and sends again, while the next change has
    // come already. Refused then, it would make its change a second time on top.
    config::State state;
    const Json first = configuration(3);
    const auto accepted = config::apply(state, { 1 }, submit(state, first, 0));
    REQUIRE(accepted.code == Code::Ok);
    CHECK(Json::parse(platform::writeDocument(state.document)) == first);

    Json one = configuration(8);
    one["routes"]["r1"]["timeout_ms"] = 2000;
    Json two = configuration(8);
    two["routes"].erase("r2");
    const config::SubmitDocument winner = submit(state, one, 3);
    const config::SubmitDocument loser = submit(state, two, 3);
    CHECK(winner.change.routes.size() == 1); // what did not change does not travel
    CHECK(config::apply(state, { 2 }, winner).code == Code::Ok);
    CHECK(config::apply(state, { 3 }, loser).code == Code::VersionConflict);
    CHECK(config::current(state).version.value == 2);
    CHECK(config::apply(state, { 4 }, winner).code == Code::Ok); // again
    CHECK(config::current(state).version.value == 2); // and nothing happened

    Json next = two;
    next["version"] = 9;
    CHECK(config::apply(state, { 5 }, submit(state, next, 8)).code == Code::Ok);
    CHECK_FALSE(config::current(state).routes.contains({ "r2" }));
    CHECK(config::apply(state, { 6 }, winner).code == Code::Ok); // its acknowledgement was lost for that long
    CHECK(Json::parse(platform::writeDocument(state.document)) == next);

    Json lower = configuration(4);
    CHECK(config::apply(state, { 7 }, submit(state, lower, 9)).code == Code::AnswersInvalid);
    const auto again = config::decodeState(config::encode(state));
    REQUIRE(again);
    CHECK(again.value().document == state.document);
    CHECK(config::current(again.value()) == config::current(state));
}

TEST_CASE("a move of traffic that is asked for again is the same move", "[platform][documents]")
{
    config::State state;
    REQUIRE(config::apply(state, { 1 }, submit(state, configuration(3), 0)).code == Code::Ok);
    const config::MoveTraffic move { { "plugs" }, { "v1" }, { "v2" }, { 12'000 }, { 1000 } };
    const auto started = config::apply(state, { 2 }, move);
    REQUIRE(started.code == Code::Ok);
    CHECK(config::apply(state, { 3 }, move).rollout == started.rollout);
    config::MoveTraffic other = move;
    other.to = { "v3" };
    CHECK(config::apply(state, { 4 }, other).code == Code::RolloutConflict);
    CHECK(config::apply(state, { 5 }, config::RollBackRollout { started.rollout, { 0 }, "bad", { 2000 } }).code == Code::Ok);
    config::MoveTraffic late = move;
    late.at = { 3000 }; // the request for it, resent after its answer was lost
    CHECK(config::apply(state, { 6 }, late).rollout == started.rollout);
    CHECK(config::current(state).rollouts.empty());
    late.at = { 60'000 }; // somebody wants to try it again
    CHECK(config::apply(state, { 7 }, late).rollout != started.rollout);
    CHECK(config::current(state).rollouts.size() == 1);
}

// Guards against: a request taken so late in a stop that its upstream is still at work when the process has to end.
TEST_CASE("a stopping node that hears of it late takes nothing in the second half of its grace time", "[platform]")
{
    const base::Duration heardLate { 500 };
    for (const int64_t seconds : { 2, 4, 6, 20 }) {
        const Json file = { { "node_id", "side-1" }, { "ip", "10.1.0.9" }, { "zone", "a" }, { "region", "r" }, { "internal_port_range", { 7380, 7395 } }, { "seed_nodes", { "10.1.0.1:90" } },
            { "heartbeat_ms", 1500 }, { "service", "plugs" }, { "bind_addresses", { { "outbound", "10.1.0.9:81" }, { "control_plane", "10.1.0.9:90" }, { "ready_address", "10.1.0.9:82" } } },
            { "bounds", { { "grace_s", seconds } } } };
        const auto node = platform::readNodeFile(file.dump());
        REQUIRE(node);
        CHECK(node.value().settings.drainTime + heardLate <= base::Duration { seconds * 500 });
    }
}

TEST_CASE("the platform's settings become the product's, and what is missing is named", "[platform]")
{
    Json file = { { "node_id", "side-1" }, { "ip", "10.1.0.9" }, { "zone", "a" }, { "region", "r" }, { "internal_port_range", { 7380, 7395 } }, { "seed_nodes", { "10.1.0.1:90", "10.1.0.2:90" } },
        { "bootstrap", true }, { "heartbeat_ms", 1500 }, { "service", "plugs" }, { "data_dir", "/data/x" }, { "something_new", { { "a", 1 } } },
        { "bind_addresses", { { "outbound", "10.1.0.9:81" }, { "control_plane", "10.1.0.9:90" }, { "ready_address", "10.1.0.9:82" } } }, { "bounds", { { "grace_s", 6 } } } };
    const auto node = platform::readNodeFile(file.dump());
    REQUIRE(node);
    CHECK(node.value().settings.inner.text() == "10.1.0.9:7380");
    CHECK(node.value().settings.sources[1].text() == "10.1.0.2:7380");
    CHECK(node.value().settings.gracefulShutdownTimeout < base::Duration { 6000 });
    const auto control = platform::readControlFile(file.dump());
    REQUIRE(control);
    CHECK(control.value().settings.membership.host.text == "10.1.0.9:7380");
    CHECK(control.value().settings.firstStart);
    CHECK(control.value().settings.maxVoters == 5);
    file["fault_tolerance"] = { { "machines", 3 } };
    CHECK(platform::readControlFile(file.dump()).value().settings.maxVoters == 7);
    file["bind_addresses"].erase("outbound");
    CHECK(platform::readNodeFile(file.dump()).error().text.find("bind_addresses.outbound") != std::string::npos);
    CHECK_FALSE(platform::readNodeFile("no settings"));
}
