// Distribution between a source and its subscribers: many simultaneous starts, slow and rejecting subscribers, sources that
// are behind.
#include "appletally/config/generate.h"
#include "appletally/control/boot_reads.h"
#include "appletally/control/distributor.h"
#include "appletally/control/keeper_choice.h"
#include "appletally/inner/rpc_port.h"
#include "appletally/inner/source_client.h"
#include "control_fixture.h"
#include "unresponsive_address.h"

#include <catch2/catch.hpp>
#include <kj/timer.h>

using namespace appletally;
using namespace appletally::inner;

namespace {

std::shared_ptr<const config::Snapshot> snapshot(uint64_t version)
{
    auto out = std::make_shared<config::Snapshot>();
    out->version = { version };
    config::Service service;
    service.name = { "plug-control" };
    service.slots = static_cast<int>(version); // each version differs
    out->services[service.name] = service;
    return out;
}

control::DistributorLimits unlimited()
{
    control::DistributorLimits out;
    out.starts.perSecond = 10000;
    out.starts.burst = 10000;
    return out;
}

// A feed that records the content it receives and answers as the test defines.
struct ReceivedContent {
    base::ConfigVersion version;
    base::ConfigVersion from;
};
class ScriptedFeed final : public rpc::Feed::Server {
public:
    ScriptedFeed(std::vector<ReceivedContent>& received, std::function<kj::Promise<uint64_t>(const ReceivedContent&)> answer)
        : m_received(received)
        , m_answer(std::move(answer))
    {
    }
    kj::Promise<void> content(ContentContext context) override
    {
        auto content = context.getParams().getContent();
        m_received.push_back({ { content.getVersion() }, { content.getFrom() } });
        return m_answer(m_received.back()).then([context](uint64_t have) mutable { context.getResults().setHave(have); });
    }
    kj::Promise<void> endpoints(EndpointsContext) override { return kj::READY_NOW; }

private:
    std::vector<ReceivedContent>& m_received;
    std::function<kj::Promise<uint64_t>(const ReceivedContent&)> m_answer;
};

// A distributor with a clock that the test advances.
struct ManualDistributor {
    kj::EventLoop loop;
    kj::WaitScope scope { loop };
    kj::TimerImpl timer { kj::origin<kj::TimePoint>() };
    config::EndpointRegistry endpoints;
    control::Distributor distributor { timer, unlimited(), endpoints };
    std::vector<ReceivedContent> received;
    std::vector<control::Subscription> subscriptions;

    void advance(int64_t ms)
    {
        timer.advanceTo(timer.now() + ms * kj::MILLISECONDS);
        scope.poll();
    }
    void subscribe(uint64_t have, std::function<kj::Promise<uint64_t>(const ReceivedContent&)> answer)
    {
        auto subscribed = distributor.subscribe({ "n" }, { have }, {}, kj::heap<ScriptedFeed>(received, std::move(answer)), false);
        REQUIRE(subscribed);
        subscriptions.push_back(std::move(subscribed.value()));
        scope.poll();
    }
    void release(uint64_t version)
    {
        distributor.contentReleased(snapshot(version));
        advance(0);
    }
};

// A source on a real port, with content set by the test.
class TestSession final : public rpc::Source::Server {
public:
    TestSession(control::Distributor& distributor, const uint64_t& minVersion, kj::Promise<void> answersAt)
        : m_distributor(distributor)
        , m_minVersion(minVersion)
        , m_answersAt(kj::mv(answersAt))
    {
    }
    kj::Promise<void> beat(BeatContext) override { return kj::READY_NOW; }
    kj::Promise<void> subscribe(SubscribeContext context) override
    {
        auto params = context.getParams();
        auto done = m_distributor.subscribe({ "n" }, { params.getHave() }, read(params.getCursor()), params.getFeed(), params.getPromised());
        if (done)
            m_subscription = std::move(done.value());
        else
            write(context.getResults().initFailure(), done.error());
        return kj::mv(m_answersAt);
    }
    kj::Promise<void> report(ReportContext) override { return kj::READY_NOW; }
    kj::Promise<void> bootFloor(BootFloorContext context) override
    {
        context.getResults().setVersion(m_minVersion);
        return kj::READY_NOW;
    }

private:
    control::Distributor& m_distributor;
    const uint64_t& m_minVersion;
    kj::Promise<void> m_answersAt; // delays the answer to subscribe
    control::Subscription m_subscription;
};

struct TestSource {
    TestSource(kj::AsyncIoContext& io, control::DistributorLimits limits)
        : distributor(io.provider->getTimer(), limits, endpoints)
        , port(std::make_unique<RpcPort>(io, Membership { { "mesh" }, {}, { "source" } }, [this, &timer = io.provider->getTimer()](rpc::Role, const base::HostId&) -> rpc::Session::Client { return kj::heap<TestSession>(distributor, minVersion, timer.afterDelay(linkDelay.ms * kj::MILLISECONDS)); }))
        , address(port->listen({ "127.0.0.1", 0 }).value())
    {
    }
    uint64_t minVersion = 0;
    base::Duration linkDelay {}; // from a link's start to the answer to subscribe
    config::EndpointRegistry endpoints;
    control::Distributor distributor;
    std::unique_ptr<RpcPort> port;
    base::Address address;
};

struct TestNode {
    TestNode(kj::AsyncIoContext& io, const std::vector<base::Address>& sources)
    {
        SourceClientHooks hooks;
        hooks.released = [this](const std::shared_ptr<const config::Snapshot>& it) {
            versions.push_back(it->version.value);
            if (awaited.get() != nullptr && it->version.value >= awaitedVersion)
                awaited->fulfill();
        };
        client = std::make_unique<SourceClient>(io, SourceClientSettings { { { "mesh" }, {}, { "n" } }, sources, rpc::Role::NODE }, std::move(hooks));
    }
    void waitFor(kj::AsyncIoContext& io, uint64_t version)
    {
        if (!versions.empty() && versions.back() >= version)
            return;
        awaitedVersion = version;
        auto done = kj::newPromiseAndFulfiller<void>();
        awaited = kj::mv(done.fulfiller);
        io.provider->getTimer().timeoutAfter(20 * kj::SECONDS, kj::mv(done.promise)).wait(io.waitScope);
    }
    std::vector<uint64_t> versions;
    uint64_t awaitedVersion = 0;
    kj::Own<kj::PromiseFulfiller<void>> awaited;
    std::unique_ptr<SourceClient> client;
};

} // namespace

TEST_CASE("a subscriber that cannot apply a delta gets a whole snapshot next", "[control][distribution]")
{
    // Guards against a mixture of two versions on a node after a lost delta or one for another base version.
    ManualDistributor it;
    it.release(5);
    it.release(6);
    it.subscribe(5, [](const ReceivedContent& received) -> kj::Promise<uint64_t> { return received.from.value == 0 ? received.version.value : 0; });
    REQUIRE(it.received.size() == 2);
    CHECK(it.received[0].from.value == 5);
    CHECK(it.received[1].from.value == 0);
    CHECK(it.received[1].version.value == 6);
}

TEST_CASE("a version that a subscriber rejects is not sent again, but the next one is", "[control][distribution]")
{
    // Guards against resending in a loop, which would keep the link and both processes busy: a node of an older release
    // rejects a version that it cannot validate.
    ManualDistributor it;
    it.release(5);
    it.subscribe(0, [](const ReceivedContent& received) -> kj::Promise<uint64_t> { return received.version.value == 5 ? 0 : received.version.value; });
    it.advance(1000);
    CHECK(it.received.size() == 1);
    it.release(6);
    it.advance(1000);
    REQUIRE(it.received.size() == 2);
    CHECK(it.received[1].version.value == 6);
}

TEST_CASE("a subscriber that does not answer has one message in flight and then gets the newest version", "[control][distribution]")
{
    // Guards against a queue per subscriber: a node hangs while fifty changes are released. Queued changes would use memory
    // in the source, and the node would apply outdated versions one after the other when it continues.
    ManualDistributor it;
    it.release(1);
    auto hang = kj::newPromiseAndFulfiller<uint64_t>();
    bool first = true;
    it.subscribe(0, [&](const ReceivedContent& received) -> kj::Promise<uint64_t> {
        return std::exchange(first, false) ? kj::mv(hang.promise) : kj::Promise<uint64_t>(received.version.value);
    });
    for (uint64_t version = 2; version <= 50; ++version) {
        it.release(version);
        it.advance(100);
    }
    CHECK(it.received.size() == 1);
    hang.fulfiller->fulfill(1);
    it.scope.poll();
    REQUIRE(it.received.size() == 2);
    CHECK(it.received[1].version.value == 50);
}

// Guards against a use after free: a session whose last call ends after its process is destroyed unsubscribes then.
TEST_CASE("a subscription may outlive its distributor", "[control][distribution]")
{
    std::vector<control::Subscription> outlivingSubscriptions;
    {
        ManualDistributor it;
        it.subscribe(0, [](const ReceivedContent&) -> kj::Promise<uint64_t> { return kj::NEVER_DONE; });
        it.subscriptions.clear();
        CHECK(it.distributor.subscribers() == 0);
        it.subscribe(0, [](const ReceivedContent&) -> kj::Promise<uint64_t> { return kj::NEVER_DONE; });
        CHECK(it.distributor.subscribers() == 1);
        outlivingSubscriptions = std::move(it.subscriptions);
    }
    outlivingSubscriptions.clear();
}

TEST_CASE("changes within the batching interval are sent as one message", "[control][distribution]")
{
    // Guards against one message per change: a rollout step, a keeper change and an operator's change within 20 ms would
    // cost three messages to each of hundreds of nodes.
    ManualDistributor it;
    it.release(1);
    it.subscribe(0, [](const ReceivedContent& received) -> kj::Promise<uint64_t> { return received.version.value; });
    it.advance(100);
    for (uint64_t version = 2; version <= 4; ++version)
        it.release(version);
    it.advance(snapshot(1)->timing.batch.ms - 1);
    CHECK(it.received.size() == 1);
    it.advance(1);
    REQUIRE(it.received.size() == 2);
    CHECK(it.received[1].version.value == 4);
}

TEST_CASE("a node that switches to a source that is behind keeps its newer version", "[control][distribution]")
{
    // Guards against a return to an older version: the node's relay dies and the next one was partitioned and still has an
    // older version. Applying it would send traffic to an upstream version that was rolled back.
    auto io = kj::setupAsyncIo();
    TestSource ahead(io, unlimited());
    TestSource behind(io, unlimited());
    ahead.distributor.contentReleased(snapshot(5));
    behind.distributor.contentReleased(snapshot(3));
    ahead.minVersion = behind.minVersion = 3;
    behind.port->stopListening(); // so that the node begins at the other one
    TestNode node(io, { ahead.address, behind.address });
    node.waitFor(io, 5);
    REQUIRE(behind.port->listen(behind.address));
    ahead.port = nullptr;
    while (behind.distributor.toJson()["subscribed"] == 0)
        io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope);
    behind.distributor.contentReleased(snapshot(6));
    node.waitFor(io, 6);
    CHECK(node.versions == std::vector<uint64_t> { 5, 6 });
}

TEST_CASE("nodes leave an isolated source, and return if all sources are isolated", "[control][distribution]")
{
    // Guards against nodes that stay on an old version: a control host is silently partitioned from the other control hosts,
    // but not from its nodes. If all sources are isolated, nodes must still have one.
    auto io = kj::setupAsyncIo();
    TestSource isolated(io, unlimited());
    TestSource connected(io, unlimited());
    isolated.distributor.contentReleased(snapshot(1));
    connected.distributor.contentReleased(snapshot(2));
    connected.port->stopListening(); // so that the node begins at the other one
    TestNode node(io, { isolated.address, connected.address });
    node.waitFor(io, 1);
    REQUIRE(connected.port->listen(connected.address));
    isolated.distributor.setIsolated(true);
    node.waitFor(io, 2);
    CHECK(isolated.distributor.toJson()["subscribers"] == 0);

    connected.distributor.setIsolated(true);
    while (isolated.distributor.toJson()["subscribers"] == 0 && connected.distributor.toJson()["subscribed"] == 1)
        io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope);
    isolated.distributor.contentReleased(snapshot(3));
    connected.distributor.contentReleased(snapshot(3));
    node.waitFor(io, 3);
    CHECK(node.versions == std::vector<uint64_t> { 1, 2, 3 });
}

// Guards against a node on a congested link that returns to an isolated source because another isolated one answered late.
TEST_CASE("nodes that leave isolated sources over slow links stay with a connected one", "[control][distribution]")
{
    auto io = kj::setupAsyncIo();
    TestSource isolatedFirst(io, unlimited());
    TestSource isolatedSlow(io, unlimited());
    TestSource connected(io, unlimited());
    isolatedFirst.distributor.contentReleased(snapshot(1));
    isolatedSlow.distributor.contentReleased(snapshot(1));
    connected.distributor.contentReleased(snapshot(2));
    isolatedSlow.port->stopListening(); // so that the nodes start with the first source
    connected.port->stopListening();
    std::vector<std::unique_ptr<TestNode>> nodes;
    nodes.reserve(24);
    for (int n = 0; n < 24; ++n)
        nodes.push_back(std::make_unique<TestNode>(io, std::vector { isolatedFirst.address, isolatedSlow.address, connected.address }));
    for (const auto& it : nodes)
        it->waitFor(io, 1);
    isolatedSlow.linkDelay = { 400 };
    REQUIRE(isolatedSlow.port->listen(isolatedSlow.address));
    REQUIRE(connected.port->listen(connected.address));
    isolatedFirst.distributor.setIsolated(true);
    isolatedSlow.distributor.setIsolated(true);
    for (const auto& it : nodes)
        it->waitFor(io, 2);
}

// Guards against a node that found only isolated sources and stays there although a connected one has become reachable.
TEST_CASE("a node at an isolated source switches to a connected one that becomes reachable", "[control][distribution]")
{
    auto io = kj::setupAsyncIo();
    TestSource isolated(io, unlimited());
    TestSource connected(io, unlimited());
    isolated.distributor.contentReleased(snapshot(1));
    connected.distributor.contentReleased(snapshot(2));
    connected.port->stopListening();
    TestNode node(io, { isolated.address, connected.address });
    node.waitFor(io, 1);
    isolated.distributor.setIsolated(true);
    const auto subscribed = [&] { return isolated.distributor.toJson()["subscribed"].get<int>(); };
    while (subscribed() < 2)
        io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope);
    REQUIRE(connected.port->listen(connected.address));
    node.waitFor(io, 2);
    CHECK(subscribed() <= 3);
}

// Guards against a node that leaves its source for one that cannot be reached, and is without a source meanwhile.
TEST_CASE("a subscriber that is handed over keeps its source until the other one is connected", "[control][distribution]")
{
    auto io = kj::setupAsyncIo();
    TestSource crowded(io, unlimited());
    TestSource spare(io, unlimited());
    crowded.distributor.contentReleased(snapshot(1));
    spare.distributor.contentReleased(snapshot(1));
    TestNode node(io, { crowded.address });
    node.waitFor(io, 1);
    const auto wait = [&] { io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope); };
    while (crowded.distributor.movableSubscribers().empty())
        wait();
    const uint64_t subscriber = crowded.distributor.movableSubscribers()[0].id;

    spare.port->stopListening();
    crowded.distributor.handOver(subscriber, spare.address);
    CHECK(crowded.distributor.lastingSubscribers() == 0);
    crowded.distributor.contentReleased(snapshot(2));
    node.waitFor(io, 2);
    CHECK(crowded.distributor.toJson()["subscribed"] == 1);
    while (crowded.distributor.movableSubscribers().empty()) // it stayed, and may be moved again
        wait();
    CHECK(crowded.distributor.lastingSubscribers() == 1);

    spare.distributor.contentReleased(snapshot(2));
    REQUIRE(spare.port->listen(spare.address));
    crowded.distributor.handOver(subscriber, spare.address);
    while (spare.distributor.subscribers() == 0)
        wait();
    CHECK(crowded.distributor.subscribers() == 0);
    spare.distributor.contentReleased(snapshot(3));
    node.waitFor(io, 3);
    CHECK(node.versions == std::vector<uint64_t> { 1, 2, 3 });
    CHECK(node.client->toJson()["moves"] == 1);
    CHECK(spare.distributor.toJson()["whole_sent"] == 0); // nothing that it holds is sent again
}

TEST_CASE("a node does not wait for a source whose host has no power", "[control][distribution]")
{
    // Guards against a start that is delayed by a connect retransmission: after a power loss some control hosts are still
    // down, and packets to them are dropped silently and resent after one second. Callers were rejected for that second
    // although another source was up.
    auto io = kj::setupAsyncIo();
    UnresponsiveAddress unresponsive;
    TestSource connected(io, unlimited());
    connected.distributor.contentReleased(snapshot(2));
    constexpr int nodes = 8; // half of them start with the unresponsive address
    const base::Time since = base::steadyNow();
    std::vector<std::unique_ptr<TestNode>> all;
    all.reserve(nodes);
    for (int n = 0; n < nodes; ++n)
        all.push_back(std::make_unique<TestNode>(io, std::vector { unresponsive.address, connected.address }));
    for (const auto& it : all)
        it->waitFor(io, 2);
    CHECK(base::steadyNow() - since < base::Duration { 900 });
}

TEST_CASE("starting nodes do not stay with a source that is not a member yet", "[control][distribution]")
{
    // Guards against nodes that wait for an empty source: after a power loss, a control host that also lost its disk has
    // nothing to read and listens first, so all waiting nodes connect to it. Callers were rejected until it was a member and
    // had caught up, although other sources could serve its nodes.
    auto io = kj::setupAsyncIo();
    control_test::TestControl empty(io, control_test::StartState::NotMember);
    TestSource connected(io, unlimited());
    connected.distributor.contentReleased(snapshot(2));
    connected.port->stopListening(); // so that the node begins at the other one
    TestNode node(io, { empty.process.listen().value(), connected.address });
    while (node.client->counters().connects == 0)
        io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope);
    REQUIRE(connected.port->listen(connected.address));
    node.waitFor(io, 2);
    CHECK(node.versions == std::vector<uint64_t> { 2 });
}

TEST_CASE("a replica that learns the released index before the entries does not answer with a lower version", "[control][distribution]")
{
    // Guards against nodes that start with an older version: a replica that lost its disk catches up while all nodes restart,
    // and gets the leader's released index before the entries. It answered with its own version, which was empty, and nodes
    // that had applied version 65 served with 64 until the next delta.
    auto io = kj::setupAsyncIo();
    control_test::TestControl empty(io, control_test::StartState::NotMember);
    consensus::AppendEntries ahead;
    ahead.previousIndex = { 5 };
    ahead.previousTerm = { 1 };
    ahead.commit = { 5 };
    ahead.released = { 5 };
    empty.process.onConsensusMessage({ { 1 }, { 9 }, { 1 }, ahead });
    REQUIRE(consensus::releasedIndex(*empty.process.replica()).value == 5);
    auto least = empty.process.waitForRelease({ 5 });
    const auto answer = least.wait(io.waitScope); // within its own timeout
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == base::Code::NoQuorum);
}

TEST_CASE("an order to evacuate a zone is acknowledged once the nodes have applied it", "[control][distribution][evacuation]")
{
    // Guards against an order that is refused because its answer was lost, that names no zone of the mesh, or that is
    // acknowledged before the nodes that report have applied it.
    auto io = kj::setupAsyncIo();
    control_test::TestControl leader(io, control_test::StartState::Leader, { { "z1" }, { "z2" } });
    while (!leader.process.leads())
        io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope);
    const auto order = [&](const char* zone, bool evacuated) { return leader.process.setZoneEvacuated({ { zone }, evacuated, {} }).wait(io.waitScope); };
    CHECK(order("z1", false)); // an end without a start
    CHECK(order("z1", true));
    CHECK(order("z1", true));
    CHECK(order("elsewhere", true).error().code == base::Code::AnswersInvalid);
    CHECK(order("z2", true));

    inner::NodeReport report;
    report.appliedVersions = { { { "n" }, { 1 }, { 1 }, {}, false } };
    leader.process.onNodeReport(report);
    const base::Time since = base::steadyNow();
    auto ending = leader.process.setZoneEvacuated({ { "z2" }, false, {} });
    io.provider->getTimer().afterDelay(100 * kj::MILLISECONDS).wait(io.waitScope);
    CHECK(!ending.poll(io.waitScope));
    report.appliedVersions[0].version = { 1'000'000 };
    leader.process.onNodeReport(report);
    CHECK(ending.wait(io.waitScope));
    CHECK(base::steadyNow() - since < base::Duration { 500 });
    auto state = leader.process.committedState().wait(io.waitScope);
    CHECK((state.value()->snapshot.evacuatedZones == std::set<base::ZoneName> { { "z1" } }));

    control_test::TestControl outsider(io, control_test::StartState::NotMember);
    CHECK(outsider.process.setZoneEvacuated({ { "z1" }, true, {} }).wait(io.waitScope).error().code == base::Code::NotLeader);
}

TEST_CASE("a starting node applies no version below the one that a majority of voters recorded", "[control][distribution]")
{
    // Guards against a return to an older version: the node has no state and its source is behind. Content below the proven
    // version is kept but not applied.
    auto io = kj::setupAsyncIo();
    TestSource source(io, unlimited());
    source.minVersion = 7;
    source.distributor.contentReleased(snapshot(6));
    TestNode node(io, { source.address });
    while (config::heldVersion(node.client->applied()).value != 6 || !node.client->applied().minVersion)
        io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope);
    CHECK(node.versions.empty());
    source.distributor.contentReleased(snapshot(7));
    node.waitFor(io, 7);
    CHECK(node.versions == std::vector<uint64_t> { 7 });
}

TEST_CASE("boot reads that begin before a voter is linked finish as soon as one is", "[control][distribution]")
{
    // Guards against nodes that wait for the timeout of a round: after a power loss everything starts at once, and nodes
    // request their minimum version before any voter is linked. They would serve no requests for the whole second.
    kj::EventLoop loop;
    kj::WaitScope waitScope(loop);
    const kj::TimePoint start = kj::origin<kj::TimePoint>();
    kj::TimerImpl timer(start);
    bool voterIsThere = false;
    base::LogIndex shown; // released index proven by the same answers
    consensus::Members members;
    members.list = { { { 1 }, { "v1" }, consensus::Role::Voter, {} } };
    control::BootReads reads(
        timer, [] { return std::vector<control::PeerLink*> {}; },
        [&]() -> std::optional<consensus::BootAnswer> { return voterIsThere ? std::optional(consensus::BootAnswer { { 1 }, { 7 }, members }) : std::nullopt; },
        [&](base::LogIndex it) { shown = it; });
    auto answer = reads.read();
    CHECK_FALSE(answer.poll(waitScope));
    voterIsThere = true;
    timer.advanceTo(start + 100 * kj::MILLISECONDS);
    REQUIRE(answer.poll(waitScope));
    const auto minVersion = answer.wait(waitScope);
    REQUIRE(minVersion);
    CHECK(minVersion.value().value == 7);
    CHECK(shown.value == 7); // without waiting for a leader

    voterIsThere = false;
    auto unanswered = reads.read();
    for (int ms = 150; ms <= 1100; ms += 50) {
        CHECK_FALSE(unanswered.poll(waitScope));
        timer.advanceTo(start + ms * kj::MILLISECONDS);
    }
    REQUIRE(unanswered.poll(waitScope));
    CHECK_FALSE(unanswered.wait(waitScope));
}

TEST_CASE("many simultaneous starts are admitted at the configured rate, and all are admitted", "[control][distribution][herd]")
{
    // Guards against an overloaded source: a rack restarts and 200 nodes connect within a few milliseconds. The source never
    // admits more than its rate; the others retry at their assigned times, and all are admitted in the end.
    auto io = kj::setupAsyncIo();
    control::DistributorLimits limits;
    limits.starts.perSecond = 200;
    limits.starts.burst = 20;
    TestSource source(io, limits);
    source.distributor.contentReleased(snapshot(1));
    const base::Time began = base::steadyNow();
    std::vector<std::unique_ptr<TestNode>> nodes;
    nodes.reserve(200);
    for (int n = 0; n < 200; ++n)
        nodes.push_back(std::make_unique<TestNode>(io, std::vector<base::Address> { source.address }));
    for (auto& it : nodes) {
        it->waitFor(io, 1);
        const auto most = 20 + (base::steadyNow() - began).ms / 5 + 1;
        CHECK(source.distributor.toJson()["subscribed"].get<int64_t>() <= most);
    }
    CHECK(source.distributor.toJson()["came_back_later"].get<int64_t>() >= 100);
}

TEST_CASE("keepers are spread over availability zones and change only for a host that was absent for long", "[control][keepers]")
{
    // Guards against needless changes: while the keeper set changes, old and new keepers must both grant, so keyed requests
    // are slower and fail more easily. A restart must not cause a change, but a permanently lost host must be replaced.
    config::EndpointRegistry endpoints;
    const auto announce = [&](const std::string& host, const std::string& zone, config::EndpointState state, uint64_t sequence) {
        config::Endpoint it;
        it.host = { host };
        it.zone = { zone };
        it.inner = { "127.0.0.1", 1 };
        it.state = state;
        it.incarnation = { 1 };
        it.sequence = { sequence };
        config::put(endpoints, it, sequence, { 1 });
    };
    control::KeeperChoice choice;
    config::KeeperSet none;
    announce("a1", "a", config::EndpointState::Ready, 1);
    announce("a2", "a", config::EndpointState::Ready, 1);
    CHECK_FALSE(control::chooseKeepers(choice, none, endpoints, { 100'000 })); // two are too few
    for (int n = 3; n < 12; ++n)
        announce("a" + std::to_string(n), "a", config::EndpointState::Ready, 1);
    announce("b1", "b", config::EndpointState::Ready, 1);
    announce("c1", "c", config::EndpointState::Ready, 1);
    CHECK_FALSE(control::chooseKeepers(choice, none, endpoints, { 100'000 }));
    CHECK_FALSE(control::chooseKeepers(choice, none, endpoints, { 100'999 }));
    const auto first = control::chooseKeepers(choice, none, endpoints, { 101'000 });
    REQUIRE(first);
    CHECK(first->size() == control::maxKeepers);
    CHECK(first->at(7).host.text == "b1"); // sorted by host: each small zone has a keeper
    CHECK(first->at(8).host.text == "c1");

    const config::KeeperSet agreed { { 1 }, *first, {} };
    announce("b1", "b", config::EndpointState::Gone, 2);
    CHECK_FALSE(control::chooseKeepers(choice, agreed, endpoints, { 200'000 }));
    announce("b1", "b", config::EndpointState::Ready, 3); // only restarted
    CHECK_FALSE(control::chooseKeepers(choice, agreed, endpoints, { 230'000 }));
    announce("b1", "b", config::EndpointState::Gone, 4);
    CHECK_FALSE(control::chooseKeepers(choice, agreed, endpoints, { 250'000 }));
    CHECK_FALSE(control::chooseKeepers(choice, agreed, endpoints, { 309'999 }));
    const auto next = control::chooseKeepers(choice, agreed, endpoints, { 310'000 });
    REQUIRE(next);
    CHECK(next->size() == control::maxKeepers);
    CHECK(std::none_of(next->begin(), next->end(), [](const auto& it) { return it.host.text == "b1"; }));
    const config::KeeperSet changing { { 2 }, *first, *next };
    CHECK_FALSE(control::chooseKeepers(choice, changing, endpoints, { 400'000 }));
}
