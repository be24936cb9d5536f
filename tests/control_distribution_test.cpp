// Distribution between one source and its subscribers: herds, slow and refusing subscribers, sources that lag.
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

control::DistributorLimits wide()
{
    control::DistributorLimits out;
    out.starts.perSecond = 10000;
    out.starts.burst = 10000;
    return out;
}

// A subscriber that is played by hand.
struct Taken {
    base::ConfigVersion version;
    base::ConfigVersion from;
};
class HandFeed final : public rpc::Feed::Server {
public:
    HandFeed(std::vector<Taken>& taken, std::function<kj::Promise<uint64_t>(const Taken&)> answer)
        : m_taken(taken)
        , m_answer(std::move(answer))
    {
    }
    kj::Promise<void> content(ContentContext context) override
    {
        auto content = context.getParams().getContent();
        m_taken.push_back({ { content.getVersion() }, { content.getFrom() } });
        return m_answer(m_taken.back()).then([context](uint64_t have) mutable { context.getResults().setHave(have); });
    }
    kj::Promise<void> endpoints(EndpointsContext) override { return kj::READY_NOW; }

private:
    std::vector<Taken>& m_taken;
    std::function<kj::Promise<uint64_t>(const Taken&)> m_answer;
};

// A distributor under a clock that the test turns.
struct ByHand {
    kj::EventLoop loop;
    kj::WaitScope scope { loop };
    kj::TimerImpl timer { kj::origin<kj::TimePoint>() };
    config::EndpointRegistry endpoints;
    control::Distributor distributor { timer, wide(), endpoints };
    std::vector<Taken> taken;
    std::vector<control::Subscription> subscriptions;

    void pass(int64_t ms)
    {
        timer.advanceTo(timer.now() + ms * kj::MILLISECONDS);
        scope.poll();
    }
    void subscribe(uint64_t have, std::function<kj::Promise<uint64_t>(const Taken&)> answer)
    {
        auto subscribed = distributor.subscribe({ "n" }, { have }, {}, kj::heap<HandFeed>(taken, std::move(answer)), false);
        REQUIRE(subscribed);
        subscriptions.push_back(std::move(subscribed.value()));
        scope.poll();
    }
    void release(uint64_t version)
    {
        distributor.contentReleased(snapshot(version));
        pass(0);
    }
};

// A source on a real port whose content the test sets.
class TestSession final : public rpc::Source::Server {
public:
    TestSession(control::Distributor& distributor, const uint64_t& floor, kj::Promise<void> answersAt)
        : m_distributor(distributor)
        , m_floor(floor)
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
        context.getResults().setVersion(m_floor);
        return kj::READY_NOW;
    }

private:
    control::Distributor& m_distributor;
    const uint64_t& m_floor;
    kj::Promise<void> m_answersAt; // to subscribe
    control::Subscription m_subscription;
};

struct TestSource {
    TestSource(kj::AsyncIoContext& io, control::DistributorLimits limits)
        : distributor(io.provider->getTimer(), limits, endpoints)
        , port(std::make_unique<RpcPort>(io, Membership { { "mesh" }, {}, { "source" } }, [this, &timer = io.provider->getTimer()](rpc::Role, const base::HostId&) -> rpc::Session::Client { return kj::heap<TestSession>(distributor, floor, timer.afterDelay(linkDelay.ms * kj::MILLISECONDS)); }))
        , address(port->listen({ "127.0.0.1", 0 }).value())
    {
    }
    uint64_t floor = 0;
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
            if (waiting.get() != nullptr && it->version.value >= wanted)
                waiting->fulfill();
        };
        client = std::make_unique<SourceClient>(io, SourceClientSettings { { { "mesh" }, {}, { "n" } }, sources, rpc::Role::NODE }, std::move(hooks));
    }
    void waitFor(kj::AsyncIoContext& io, uint64_t version)
    {
        if (!versions.empty() && versions.back() >= version)
            return;
        wanted = version;
        auto done = kj::newPromiseAndFulfiller<void>();
        waiting = kj::mv(done.fulfiller);
        io.provider->getTimer().timeoutAfter(20 * kj::SECONDS, kj::mv(done.promise)).wait(io.waitScope);
    }
    std::vector<uint64_t> versions;
    uint64_t wanted = 0;
    kj::Own<kj::PromiseFulfiller<void>> waiting;
    std::unique_ptr<SourceClient> client;
};

} // namespace

TEST_CASE("a subscriber that cannot use a delta gets the whole version next", "[control][distribution]")
{
    // A delta was lost or made for another version. Guessing would leave a mixture of two versions on the node.
    ByHand it;
    it.release(5);
    it.release(6);
    it.subscribe(5, [](const Taken& taken) -> kj::Promise<uint64_t> { return taken.from.value == 0 ? taken.version.value : 0; });
    REQUIRE(it.taken.size() == 2);
    CHECK(it.taken[0].from.value == 5);
    CHECK(it.taken[1].from.value == 0);
    CHECK(it.taken[1].version.value == 6);
}

TEST_CASE("a subscriber that refuses a version is sent the next one and not the same one again and again", "[control][distribution]")
{
    // A node of an older release refuses a version that it cannot check. Resending at once would fill the link and both
    // processes for as long as the version stands.
    ByHand it;
    it.release(5);
    it.subscribe(0, [](const Taken& taken) -> kj::Promise<uint64_t> { return taken.version.value == 5 ? 0 : taken.version.value; });
    it.pass(1000);
    CHECK(it.taken.size() == 1);
    it.release(6);
    it.pass(1000);
    REQUIRE(it.taken.size() == 2);
    CHECK(it.taken[1].version.value == 6);
}

TEST_CASE("a subscriber that does not answer holds one message and then skips to the newest version", "[control][distribution]")
{
    // A node hangs for a minute while fifty changes pass. Queued for it, they would grow in the source's memory for each
    // hanging node, and the node would enforce outdated versions one after the other when it wakes.
    ByHand it;
    it.release(1);
    auto hang = kj::newPromiseAndFulfiller<uint64_t>();
    bool first = true;
    it.subscribe(0, [&](const Taken& taken) -> kj::Promise<uint64_t> {
        return std::exchange(first, false) ? kj::mv(hang.promise) : kj::Promise<uint64_t>(taken.version.value);
    });
    for (uint64_t version = 2; version <= 50; ++version) {
        it.release(version);
        it.pass(100);
    }
    CHECK(it.taken.size() == 1);
    hang.fulfiller->fulfill(1);
    it.scope.poll();
    REQUIRE(it.taken.size() == 2);
    CHECK(it.taken[1].version.value == 50);
}

// Guards against: a session whose last call ends after the process's parts, and that takes itself out of a distributor that is gone.
TEST_CASE("a subscription may outlive its distributor", "[control][distribution]")
{
    std::vector<control::Subscription> kept;
    {
        ByHand it;
        it.subscribe(0, [](const Taken&) -> kj::Promise<uint64_t> { return kj::NEVER_DONE; });
        it.subscriptions.clear();
        CHECK(it.distributor.subscribers() == 0);
        it.subscribe(0, [](const Taken&) -> kj::Promise<uint64_t> { return kj::NEVER_DONE; });
        CHECK(it.distributor.subscribers() == 1);
        kept = std::move(it.subscriptions);
    }
    kept.clear();
}

TEST_CASE("changes that come close together leave as one message", "[control][distribution]")
{
    // A rollout step, a keeper change and an operator's change within 20 ms: three messages to each of hundreds of nodes
    // would cost three times the bytes for nothing.
    ByHand it;
    it.release(1);
    it.subscribe(0, [](const Taken& taken) -> kj::Promise<uint64_t> { return taken.version.value; });
    it.pass(100);
    for (uint64_t version = 2; version <= 4; ++version)
        it.release(version);
    it.pass(snapshot(1)->pace.batch.ms - 1);
    CHECK(it.taken.size() == 1);
    it.pass(1);
    REQUIRE(it.taken.size() == 2);
    CHECK(it.taken[1].version.value == 4);
}

TEST_CASE("a node whose source dies and whose next source lags does not go back", "[control][distribution]")
{
    // The relay of a node dies; the one that it finds next was cut off for a while and still has an older version. Were
    // it taken, a withdrawn upstream version would get traffic again on this node.
    auto io = kj::setupAsyncIo();
    TestSource ahead(io, wide());
    TestSource behind(io, wide());
    ahead.distributor.contentReleased(snapshot(5));
    behind.distributor.contentReleased(snapshot(3));
    ahead.floor = behind.floor = 3;
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

TEST_CASE("nodes leave a source that has lost the other control processes, and come back if none is better", "[control][distribution]")
{
    // A control host is cut off from the others silently and for long, but not from its nodes. They would stay on its
    // old version while everybody else moves on. When all sources are cut off, nodes must not be without any.
    auto io = kj::setupAsyncIo();
    TestSource cut(io, wide());
    TestSource well(io, wide());
    cut.distributor.contentReleased(snapshot(1));
    well.distributor.contentReleased(snapshot(2));
    well.port->stopListening(); // so that the node begins at the other one
    TestNode node(io, { cut.address, well.address });
    node.waitFor(io, 1);
    REQUIRE(well.port->listen(well.address));
    cut.distributor.setIsolated(true);
    node.waitFor(io, 2);
    CHECK(cut.distributor.toJson()["subscribers"] == 0);

    well.distributor.setIsolated(true);
    while (cut.distributor.toJson()["subscribers"] == 0 && well.distributor.toJson()["subscribed"] == 1)
        io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope);
    cut.distributor.contentReleased(snapshot(3));
    well.distributor.contentReleased(snapshot(3));
    node.waitFor(io, 3);
    CHECK(node.versions == std::vector<uint64_t> { 1, 2, 3 });
}

// Guards against: a node over a crowded link that returns to a source behind a cut, since another isolated one answered late.
TEST_CASE("nodes that leave isolated sources over slow links stay at connected ones", "[control][distribution]")
{
    auto io = kj::setupAsyncIo();
    TestSource left(io, wide());
    TestSource alsoCut(io, wide());
    TestSource well(io, wide());
    left.distributor.contentReleased(snapshot(1));
    alsoCut.distributor.contentReleased(snapshot(1));
    well.distributor.contentReleased(snapshot(2));
    alsoCut.port->stopListening(); // so that the nodes begin at the first
    well.port->stopListening();
    std::vector<std::unique_ptr<TestNode>> nodes;
    nodes.reserve(24);
    for (int n = 0; n < 24; ++n)
        nodes.push_back(std::make_unique<TestNode>(io, std::vector { left.address, alsoCut.address, well.address }));
    for (const auto& it : nodes)
        it->waitFor(io, 1);
    alsoCut.linkDelay = { 400 };
    REQUIRE(alsoCut.port->listen(alsoCut.address));
    REQUIRE(well.port->listen(well.address));
    left.distributor.setIsolated(true);
    alsoCut.distributor.setIsolated(true);
    for (const auto& it : nodes)
        it->waitFor(io, 2);
}

// Guards against: a node that found only an isolated source and stays there long after a connected one is within reach.
TEST_CASE("a node at an isolated source finds a connected one that comes within reach", "[control][distribution]")
{
    auto io = kj::setupAsyncIo();
    TestSource cut(io, wide());
    TestSource well(io, wide());
    cut.distributor.contentReleased(snapshot(1));
    well.distributor.contentReleased(snapshot(2));
    well.port->stopListening();
    TestNode node(io, { cut.address, well.address });
    node.waitFor(io, 1);
    cut.distributor.setIsolated(true);
    const auto subscribed = [&] { return cut.distributor.toJson()["subscribed"].get<int>(); };
    while (subscribed() < 2)
        io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope);
    REQUIRE(well.port->listen(well.address));
    node.waitFor(io, 2);
    CHECK(subscribed() <= 3);
}

TEST_CASE("a node does not wait for a source whose host has no power", "[control][distribution]")
{
    // All hosts lose power; nodes are up again while control hosts are not. What a node sends to such a host is lost without a
    // word and sent again a second later. Control was there meanwhile, and callers were turned away for that second.
    auto io = kj::setupAsyncIo();
    UnresponsiveAddress deaf;
    TestSource well(io, wide());
    well.distributor.contentReleased(snapshot(2));
    constexpr int nodes = 8; // half of them begin with the deaf one
    const base::Time since = base::steadyNow();
    std::vector<std::unique_ptr<TestNode>> all;
    all.reserve(nodes);
    for (int n = 0; n < nodes; ++n)
        all.push_back(std::make_unique<TestNode>(io, std::vector { deaf.address, well.address }));
    for (const auto& it : all)
        it->waitFor(io, 2);
    CHECK(base::steadyNow() - since < base::Duration { 900 });
}

TEST_CASE("nodes that start do not stay with a source that has not been let in yet", "[control][distribution]")
{
    // All hosts lose power and one control host its disk as well. With nothing to read it listens first, and every node that
    // waits for control links to it; callers were turned away until it was let in and had caught up, beside sources that
    // could have served all the while.
    auto io = kj::setupAsyncIo();
    control_test::TestControl empty(io, control_test::Begins::Empty);
    TestSource well(io, wide());
    well.distributor.contentReleased(snapshot(2));
    well.port->stopListening(); // so that the node begins at the other one
    TestNode node(io, { empty.process.listen().value(), well.address });
    while (node.client->counters().connects == 0)
        io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope);
    REQUIRE(well.port->listen(well.address));
    node.waitFor(io, 2);
    CHECK(node.versions == std::vector<uint64_t> { 2 });
}

TEST_CASE("a replica that hears what is released before it has it names no lower version", "[control][distribution]")
{
    // A control host's disk is lost and its replica catches up while all nodes start again. The leader's word of what is released
    // reaches it before the entries; asked for the least version, it named the one that it had, none at all, and nodes that
    // had been at version 65 served by 64 until the next delta came.
    auto io = kj::setupAsyncIo();
    control_test::TestControl empty(io, control_test::Begins::Empty);
    consensus::Append ahead;
    ahead.previousIndex = { 5 };
    ahead.previousTerm = { 1 };
    ahead.commit = { 5 };
    ahead.released = { 5 };
    empty.process.consensusMessage({ { 1 }, { 9 }, { 1 }, ahead });
    REQUIRE(consensus::releasedIndex(*empty.process.replica()).value == 5);
    auto least = empty.process.released({ 5 });
    const auto answer = least.wait(io.waitScope); // within its own limit
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == base::Code::NoQuorum);
}

TEST_CASE("a starting node takes nothing below what a majority of voters recorded", "[control][distribution]")
{
    // The node's memory is gone and its source lags. Content below the proven version is kept but not in force.
    auto io = kj::setupAsyncIo();
    TestSource source(io, wide());
    source.floor = 7;
    source.distributor.contentReleased(snapshot(6));
    TestNode node(io, { source.address });
    while (config::heldVersion(node.client->applied()).value != 6 || !node.client->applied().floor)
        io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope);
    CHECK(node.versions.empty());
    source.distributor.contentReleased(snapshot(7));
    node.waitFor(io, 7);
    CHECK(node.versions == std::vector<uint64_t> { 7 });
}

TEST_CASE("nodes that ask before a source has met the voters hear as soon as it has", "[control][distribution]")
{
    // Everything was without power and starts at once. The nodes ask for the least version that they may have before any
    // voter is there; told only when a whole second has passed in vain, they serve nobody for that second.
    kj::EventLoop loop;
    kj::WaitScope waitScope(loop);
    const kj::TimePoint start = kj::origin<kj::TimePoint>();
    kj::TimerImpl timer(start);
    bool voterIsThere = false;
    base::LogIndex shown; // to be released, by the same answers
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
    const auto floor = answer.wait(waitScope);
    REQUIRE(floor);
    CHECK(floor.value().value == 7);
    CHECK(shown.value == 7); // without waiting for a leader

    voterIsThere = false;
    auto vain = reads.read();
    for (int ms = 150; ms <= 1100; ms += 50) {
        CHECK_FALSE(vain.poll(waitScope));
        timer.advanceTo(start + ms * kj::MILLISECONDS);
    }
    REQUIRE(vain.poll(waitScope));
    CHECK_FALSE(vain.wait(waitScope));
}

TEST_CASE("a herd is let in at the source's own pace, and all of it gets in", "[control][distribution][herd]")
{
    // A rack comes back and 200 nodes connect within a few milliseconds. The source says how many it can bring up; it is
    // never asked for more, the others come when they were told, and nobody is left out.
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

TEST_CASE("keepers are spread over zones and change only for a host that was gone for long", "[control][keepers]")
{
    // While the keeper set changes, old and new keepers must both grant, so each change makes keyed requests slower and
    // more fragile. A restarting host must not cause one; a host that is gone for good must not stay for ever.
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
    CHECK(first->size() == control::mostKeepers);
    CHECK(first->at(7).host.text == "b1"); // sorted by host: each small zone is in
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
    CHECK(next->size() == control::mostKeepers);
    CHECK(std::none_of(next->begin(), next->end(), [](const auto& it) { return it.host.text == "b1"; }));
    const config::KeeperSet changing { { 2 }, *first, *next };
    CHECK_FALSE(control::chooseKeepers(choice, changing, endpoints, { 400'000 }));
}
