// The leaving of an upstream, acknowledged by its node, as it is known to the node's next process.
#include "platform_node.h"

#include "appletally/config/endpoint_mirror.h"
#include "appletally/config/endpoint_registry.h"
#include "appletally/inner/rpc_wire.h"

#include <capnp/message.h>
#include <catch2/catch.hpp>

using namespace appletally;

namespace {

constexpr uint64_t startedAtMs = 1'000;

struct LeavingNode : PlatformNode {
    void acknowledge(const std::shared_ptr<TestAnswer>& leaving)
    {
        mesh.runFor(base::Duration { 30 });
        CHECK_FALSE(leaving->done);
        tell(inner::LeavingHeld { lastRecord().sequence });
        CHECK(statusOf(leaving) == 200);
    }
};

} // namespace

TEST_CASE("a late heartbeat does not bring back an upstream whose leaving an earlier process of the node acknowledged", "[platform][leaving]")
{
    // Guards against an acknowledgement that only the acknowledging process remembers.
    const bool arrivesEarly = GENERATE(false, true); // before control has told the node's next process what it holds
    LeavingNode it;
    it.tell(inner::EndpointListRead {});
    CHECK(it.heartbeat("i-1", startedAtMs, 7) == 200);
    REQUIRE(it.isReady());
    it.acknowledge(it.post("Deregister", "i-1", startedAtMs, 8));
    const config::Endpoint held = it.restart();
    if (arrivesEarly)
        CHECK(it.heartbeat("i-1", startedAtMs, 6) == 200);
    it.tell(inner::EndpointsChanged { { held } });
    it.tell(inner::EndpointListRead {});
    CHECK(it.heartbeat("i-1", startedAtMs, 7) == 200);
    CHECK_FALSE(it.isReady());
    CHECK(it.heartbeat("i-2", startedAtMs + 5000, 1) == 200);
    CHECK(it.isReady());
    CHECK(it.lastRecord().leaving == held.leaving);
}

TEST_CASE("an upstream that drains stays so in its node's next process until a later message of its own", "[platform][leaving]")
{
    LeavingNode it;
    it.tell(inner::EndpointListRead {});
    CHECK(it.heartbeat("i-1", startedAtMs, 7) == 200);
    it.acknowledge(it.post("Heartbeat", "i-1", startedAtMs, 9, "draining"));
    CHECK(it.statusOf(it.post("Heartbeat", "i-1", startedAtMs, 10, "draining")) == 200); // known already
    const config::Endpoint held = it.restart();
    it.tell(inner::EndpointsChanged { { held } });
    it.tell(inner::EndpointListRead {});
    CHECK(it.heartbeat("i-1", startedAtMs, 8) == 200);
    CHECK_FALSE(it.isReady());
    CHECK(it.heartbeat("i-1", startedAtMs, 11) == 200);
    CHECK(it.isReady());
}

TEST_CASE("a leaving that control does not hold is in force and not acknowledged", "[platform][leaving]")
{
    LeavingNode it;
    it.tell(inner::EndpointListRead {});
    CHECK(it.heartbeat("i-1", startedAtMs, 7) == 200);
    const auto leaving = it.post("Deregister", "i-1", startedAtMs, 8);
    CHECK(it.mesh.run([&] { return it.lastRecord().state == config::EndpointState::Draining; }));
    CHECK(it.statusOf(leaving) == 503);
}

TEST_CASE("without control, a restarted node takes its upstream for ready at the second heartbeat", "[platform][leaving]")
{
    // Guards against an upstream that waits for good, and against one that a single late heartbeat brings back.
    LeavingNode it;
    CHECK(it.heartbeat("i-1", startedAtMs, 7) == 200);
    it.mesh.runFor(base::Duration { 550 });
    CHECK_FALSE(it.isReady());
    CHECK(it.heartbeat("i-1", startedAtMs, 7) == 200); // a duplicate
    CHECK_FALSE(it.isReady());
    CHECK(it.heartbeat("i-1", startedAtMs, 8) == 200);
    CHECK(it.isReady());
}

TEST_CASE("the first heartbeat of a new node is taken as soon as control has sent its list of endpoints, even an empty one", "[platform][leaving]")
{
    LeavingNode it;
    CHECK(it.heartbeat("i-1", startedAtMs, 1) == 200);
    CHECK_FALSE(it.isReady());
    it.tell(inner::EndpointListRead {});
    CHECK(it.isReady());
}

TEST_CASE("a leaving of which control tells after the first heartbeat still binds a restarted node", "[platform][leaving]")
{
    // Guards against a control process that sends its list before another one has told it of the leaving.
    LeavingNode it;
    it.tell(inner::EndpointListRead {});
    CHECK(it.heartbeat("i-1", startedAtMs, 7) == 200);
    SECTION("of one that has deregistered")
    {
        it.acknowledge(it.post("Deregister", "i-1", startedAtMs, 8));
        const config::Endpoint held = it.restart();
        it.tell(inner::EndpointListRead {});
        CHECK(it.heartbeat("i-1", startedAtMs, 7) == 200);
        CHECK(it.isReady());
        it.tell(inner::EndpointsChanged { { held } });
        CHECK_FALSE(it.isReady());
        CHECK(it.lastRecord().leaving == held.leaving);
        CHECK(it.heartbeat("i-1", startedAtMs, 9) == 200);
        CHECK_FALSE(it.isReady());
        CHECK(it.heartbeat("i-2", startedAtMs + 5000, 1) == 200);
        CHECK(it.isReady());
    }
    SECTION("of one that drains, unless it has said more since")
    {
        it.acknowledge(it.post("Heartbeat", "i-1", startedAtMs, 9, "draining"));
        const config::Endpoint held = it.restart();
        const uint64_t sequence = GENERATE(8, 10);
        it.tell(inner::EndpointListRead {});
        CHECK(it.heartbeat("i-1", startedAtMs, sequence) == 200);
        it.tell(inner::EndpointsChanged { { held } });
        CHECK(it.isReady() == (sequence > 9));
    }
}

TEST_CASE("a record of a node that does not know of a leaving does not take it back, in whatever order records arrive", "[config][leaving]")
{
    // Guards against an acknowledged leaving that is gone after the second restart of its node.
    config::Endpoint previous;
    previous.host = { "a" };
    previous.incarnation = { 1 };
    previous.leaving = config::LeavingUpstream { "i-1", startedAtMs, config::afterAllMessages };
    config::Endpoint next = previous;
    next.incarnation = { 2 };
    next.state = config::EndpointState::Ready;
    next.leaving = {};
    const bool inOrder = GENERATE(true, false);
    config::EndpointRegistry registry;
    registry.id = 1;
    CHECK(config::put(registry, inOrder ? previous : next, 1, base::Time {}));
    config::EndpointMirror mirror;
    REQUIRE(config::applyEndpoints(mirror, config::changesSince(registry, mirror.cursor, nullptr, 10), base::Time {}));
    CHECK(config::put(registry, inOrder ? next : previous, 1, base::Time {}));
    const auto changes = config::applyEndpoints(mirror, config::changesSince(registry, mirror.cursor, nullptr, 10), base::Time {});
    REQUIRE(changes);
    REQUIRE(changes.value().size() == 1);
    CHECK(changes.value()[0].incarnation == next.incarnation);
    CHECK(changes.value()[0].state == config::EndpointState::Ready);
    CHECK(changes.value()[0].leaving == previous.leaving);
}

TEST_CASE("control keeps the leaving of an upstream while its node is away", "[config][leaving]")
{
    config::Endpoint record;
    record.host = { "a" };
    record.service = { "berth-data" };
    record.state = config::EndpointState::Draining;
    record.sequence = { 4 };
    record.leaving = config::LeavingUpstream { "i-1", startedAtMs, config::afterAllMessages };
    capnp::MallocMessageBuilder message;
    inner::NodeReport report;
    report.endpoints.push_back({ record, 1 });
    inner::write(message.initRoot<inner::rpc::Report>(), report);
    const auto received = inner::read(message.getRoot<inner::rpc::Report>().asReader()).endpoints.at(0).endpoint;
    config::EndpointRegistry registry;
    config::put(registry, received, 1, base::Time {});
    config::expire(registry, base::Time {} + config::endpointLifetime);
    const auto sent = config::changesSince(registry, {}, nullptr, 10).endpoints;
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].state == config::EndpointState::Gone);
    CHECK(inner::leavingOf(sent).at(0).leaving == *record.leaving);
}
