// The platform adapter: decoding of heartbeats, configurations and settings, and rejection of invalid input.
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

Json heartbeatBody()
{
    return { { "service", "plugs" }, { "address", "10.1.0.9:80" }, { "zone", "a" }, { "version", "v1" }, { "max_concurrency", 6 }, { "state", "ready" },
        { "cold_remaining_ms", 500 }, { "sequence", 4 }, { "born", 1000 } };
}

platform::Heartbeat heartbeat(const std::string& id, uint64_t startedAtMs, uint64_t sequence)
{
    platform::Heartbeat out;
    out.announcement.id = id;
    out.startedAtMs = startedAtMs;
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

TEST_CASE("a heartbeat with a missing or mistyped field is rejected", "[platform]")
{
    const auto good = platform::readHeartbeat("i-1", heartbeatBody().dump());
    REQUIRE(good);
    CHECK(good.value().announcement.slots == 6);
    CHECK(good.value().announcement.slowStartRemaining == base::Duration { 500 });
    CHECK(good.value().announcement.state == config::EndpointState::Ready);
    // Another program sends an incomplete heartbeat, or one with unknown values. With guessed defaults, requests would be
    // sent to an upstream that does not exist.
    for (const char* field : { "service", "address", "zone", "version", "max_concurrency", "state", "cold_remaining_ms", "sequence", "born" }) {
        Json missing = heartbeatBody();
        missing.erase(field);
        CHECK_FALSE(platform::readHeartbeat("i-1", missing.dump()));
        Json mistyped = heartbeatBody();
        mistyped[field] = Json::array();
        CHECK_FALSE(platform::readHeartbeat("i-1", mistyped.dump()));
    }
    Json unknownState = heartbeatBody();
    unknownState["state"] = "napping";
    CHECK_FALSE(platform::readHeartbeat("i-1", unknownState.dump()));
    CHECK_FALSE(platform::readHeartbeat("i-1", "{\"service\":"));
    CHECK_FALSE(platform::readHeartbeat("", heartbeatBody().dump()));
}

TEST_CASE("late heartbeats of a dead process or of an earlier start under the same id are ignored", "[platform]")
{
    // A heartbeat is delayed by a network partition while its sender dies and another process starts at its address.
    // Applied, it would take the new process out of service, or send requests to one that rejects them.
    std::optional<platform::BackendState> known;
    CHECK(platform::recordIfNewer(known, heartbeat("old", 100, 7)));
    CHECK_FALSE(platform::recordIfNewer(known, heartbeat("old", 100, 7))); // duplicate
    CHECK_FALSE(platform::recordIfNewer(known, heartbeat("old", 100, 6))); // out of order
    CHECK(platform::recordIfNewer(known, heartbeat("new", 200, 1)));
    CHECK_FALSE(platform::recordIfNewer(known, heartbeat("old", 100, 8)));
    CHECK_FALSE(platform::recordDeregistration(known, "old", 100));
    CHECK(platform::recordIfNewer(known, heartbeat("new", 300, 1))); // restarted under the same id
    CHECK_FALSE(platform::recordIfNewer(known, heartbeat("new", 200, 9)));
    CHECK_FALSE(platform::recordDeregistration(known, "new", 200));
    CHECK(platform::recordDeregistration(known, "new", 300));
    CHECK_FALSE(platform::recordIfNewer(known, heartbeat("new", 300, 2))); // deregistered; this heartbeat was sent before that
    CHECK(platform::recordIfNewer(known, heartbeat("next", 400, 1)));
}

TEST_CASE("a restarted node records a deregistration that arrives before any heartbeat", "[platform]")
{
    // The node restarts, the backend deregisters, and a heartbeat that it sent before arrives seconds late. If the heartbeat
    // were applied, requests would be sent to a backend that may stop at any moment.
    for (const uint64_t startedAtMs : { 100, 0 }) {
        std::optional<platform::BackendState> known;
        CHECK_FALSE(platform::recordDeregistration(known, "i-1", startedAtMs)); // no registered backend to drain
        CHECK_FALSE(platform::recordIfNewer(known, heartbeat("i-1", 100, 7)));
        CHECK(platform::recordIfNewer(known, heartbeat("i-2", 200, 1)));
    }
}

TEST_CASE("the rate of a cold backend is read with the overage that the platform allows", "[platform][cold]")
{
    // Guards against cold backends that idle below what they bear, and against a rate that is read from a damaged value.
    Json json = configuration(7);
    json["services"]["plugs"]["cold_window_s"] = 3.0;
    json["services"]["plugs"]["cold_per_s"] = 7.2;
    for (const auto& [overage, thousandths] : std::vector<std::pair<double, int64_t>> { { 1, 7200 }, { 1.5, 10'800 } }) {
        const auto document = platform::readDocument(json.dump(), 5, overage);
        REQUIRE(document);
        const config::Service& service = document.value().services.at({ "plugs" }).service;
        CHECK(service.coldRate.thousandths == thousandths);
        CHECK(service.coldWindow == base::Duration { 3000 });
    }
    CHECK(platform::readDocument(configuration(7).dump(), 5, 1.5).value().services.at({ "plugs" }).service.coldRate.thousandths == 0);
    json["services"]["plugs"]["cold_per_s"] = "7.2";
    CHECK_FALSE(platform::readDocument(json.dump(), 5));
    json["services"]["plugs"]["cold_per_s"] = -1;
    CHECK_FALSE(platform::readDocument(json.dump(), 5));
}

TEST_CASE("a configuration is decoded into routes, services and limits", "[platform]")
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

TEST_CASE("a configuration that cannot be applied completely is rejected", "[platform]")
{
    // An operator's tool dies during a write, or names a service that was removed. Applied partially, some routes would have
    // rules that no operator has written.
    const std::string whole = configuration(7).dump();
    CHECK(platform::readDocument(whole.substr(0, whole.size() - 1), 5).error().code == Code::AnswersInvalid);
    const auto code = [](const std::function<void(Json&)>& modify) {
        Json it = configuration(7);
        modify(it);
        const auto read = platform::readDocument(it.dump(), 5);
        return read ? Code::Ok : read.error().code;
    };
    CHECK(code([](Json&) {}) == Code::Ok);
    CHECK(code([](Json& it) { it["routes"]["r1"]["service"] = "gone"; }) == Code::DanglingReference);
    CHECK(code([](Json& it) { it["routes"]["r2"]["traffic_split"][0]["service"] = "gone"; }) == Code::DanglingReference);
    CHECK(code([](Json& it) { it["routes"]["r2"]["traffic_split"][0]["weight"] = -1; }) == Code::AnswersInvalid);
    CHECK(code([](Json& it) { it["routes"]["r2"]["path_prefix"] = "/x/"; }) == Code::AnswersInvalid); // same as r1 except for case
    CHECK(code([](Json& it) { it["routes"]["r1"]["host"] = ""; }) == Code::AnswersInvalid);
    CHECK(code([](Json& it) { it["routes"]["r1"].erase("timeout_ms"); }) == Code::Ok);
    CHECK(code([](Json& it) { it["routes"]["r1"]["timeout_ms"] = "soon"; }) == Code::AnswersInvalid);
    CHECK(code([](Json& it) { it.erase("services"); }) == Code::AnswersInvalid);
    CHECK(code([](Json& it) { it["version"] = -1; }) == Code::AnswersInvalid);
    CHECK(code([](Json& it) { it["routes"] = Json::array(); }) == Code::AnswersInvalid);
}

// Guards against a configuration that is acknowledged although a part of it is not applied.
TEST_CASE("a configuration with duplicate names, invalid UTF-8, excessive nesting or an invalid version is rejected", "[platform]")
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

// Guards against numbers that overflow their type and become another value, such as a weight of zero.
TEST_CASE("weights of any size keep their proportion, and excessively large limits act as no limit", "[platform]")
{
    const auto weightsFor = [](double first, double second) {
        Json it = configuration(7);
        it["routes"]["r2"]["traffic_split"][0]["weight"] = first;
        it["routes"]["r2"]["traffic_split"][1]["weight"] = second;
        const auto document = platform::readDocument(it.dump(), 5);
        REQUIRE(document);
        const auto& splits = document.value().routes.at({ "r2" }).route.splits;
        return std::pair(splits[0].weight, splits[1].weight);
    };
    CHECK(weightsFor(90, 10) == std::pair(90'000, 10'000));
    CHECK(weightsFor(90, 0) == std::pair(90'000, 0));
    CHECK(weightsFor(90, 0.0004) == std::pair(90'000, 1));
    const auto [large, small] = weightsFor(9e12, 1e12);
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

TEST_CASE("documents: of two changes on the same base one wins, a resend gets the first outcome, and reading returns what was sent", "[platform][documents]")
{
    // Two operators change the same version. One does not receive its acknowledgement and resends after the next change was
    // accepted. If the resend were rejected, the operator would make the change a second time on top.
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
    CHECK(winner.change.routes.size() == 1); // unchanged resources are not sent
    CHECK(config::apply(state, { 2 }, winner).code == Code::Ok);
    CHECK(config::apply(state, { 3 }, loser).code == Code::VersionConflict);
    CHECK(config::current(state).version.value == 2);
    CHECK(config::apply(state, { 4 }, winner).code == Code::Ok); // resend
    CHECK(config::current(state).version.value == 2); // unchanged

    Json next = two;
    next["version"] = 9;
    CHECK(config::apply(state, { 5 }, submit(state, next, 8)).code == Code::Ok);
    CHECK_FALSE(config::current(state).routes.contains({ "r2" }));
    CHECK(config::apply(state, { 6 }, winner).code == Code::Ok); // a resend after a later change
    CHECK(Json::parse(platform::writeDocument(state.document)) == next);

    Json lower = configuration(4);
    CHECK(config::apply(state, { 7 }, submit(state, lower, 9)).code == Code::AnswersInvalid);
    const auto again = config::decodeState(config::encode(state));
    REQUIRE(again);
    CHECK(again.value().document == state.document);
    CHECK(config::current(again.value()) == config::current(state));
}

TEST_CASE("a traffic move that is requested again returns the same rollout", "[platform][documents]")
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
    late.at = { 3000 }; // resent after the answer was lost
    CHECK(config::apply(state, { 6 }, late).rollout == started.rollout);
    CHECK(config::current(state).rollouts.empty());
    late.at = { 60'000 }; // a new request for the same move
    CHECK(config::apply(state, { 7 }, late).rollout != started.rollout);
    CHECK(config::current(state).rollouts.size() == 1);
}

// Guards against a request accepted so late in a shutdown that its upstream still runs it when the process must end.
TEST_CASE("a node that handles the stop signal late accepts nothing in the second half of its grace period", "[platform]")
{
    const base::Duration signalDelay { 500 };
    for (const int64_t seconds : { 2, 4, 6, 20 }) {
        const Json file = { { "node_id", "side-1" }, { "ip", "10.1.0.9" }, { "zone", "a" }, { "region", "r" }, { "internal_port_range", { 7380, 7395 } }, { "seed_nodes", { "10.1.0.1:90" } },
            { "heartbeat_ms", 1500 }, { "service", "plugs" }, { "bind_addresses", { { "outbound", "10.1.0.9:81" }, { "control_plane", "10.1.0.9:90" }, { "ready_address", "10.1.0.9:82" } } },
            { "bounds", { { "grace_s", seconds } } } };
        const auto node = platform::readNodeFile(file.dump());
        REQUIRE(node);
        CHECK(node.value().settings.drainTime + signalDelay <= base::Duration { seconds * 500 });
    }
}

TEST_CASE("the platform's settings are converted, and a missing field is named in the error", "[platform]")
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
