// Rollouts against the upstreams that are there: a control process that leads alone, and the nodes' reports played by hand.
#include "appletally/consensus/disk_log.h"
#include "appletally/control/process.h"
#include "process_fixture.h"

#include <catch2/catch.hpp>

using namespace appletally;

namespace {

const base::ServiceName service { "plug-control" };

struct Control {
    explicit Control(kj::AsyncIoContext& context)
        : io(context)
        , process(context, settings(), disk())
    {
        wait([&] { return process.leads(); });
        config::Document document;
        document.id = { { 1 }, { 0 }, "first" };
        config::Service it;
        it.name = service;
        document.services[service] = { it, "{}" };
        REQUIRE(process.submitDocument(document).wait(io.waitScope));
    }

    static control::ControlSettings settings()
    {
        control::ControlSettings out;
        out.membership = { { "mesh" }, {}, { "c" } };
        out.listen = { "127.0.0.1", 0 };
        out.claims = false;
        return out;
    }

    consensus::DiskLog disk() const
    {
        const consensus::Member self { { 1 }, { "c" }, consensus::Role::Voter, {} };
        REQUIRE(consensus::formatFolder(consensus::systemFileCalls(), folder / "data", { { 1 }, { "c" }, { self } }));
        return consensus::openFolder(consensus::systemFileCalls(), folder / "data").value();
    }

    void announce(const std::string& version, int count, config::EndpointState state = config::EndpointState::Ready)
    {
        ++sequence;
        inner::NodeReport report;
        for (int n = 0; n < count; ++n) {
            config::Endpoint it;
            it.host = { version + "-" + std::to_string(n) };
            it.service = service;
            it.version = { version };
            it.state = state;
            it.incarnation = { 1 };
            it.sequence = { sequence };
            report.endpoints.push_back({ it, 1 });
        }
        process.nodeReport(report);
    }

    void pass(base::Duration it) { io.provider->getTimer().afterDelay(it.ms * kj::MILLISECONDS).wait(io.waitScope); }

    template <typename Done>
    void wait(Done done)
    {
        const base::Time since = base::steadyNow();
        while (!done()) {
            REQUIRE(base::steadyNow() - since < base::Duration { 30'000 });
            pass({ 5 });
        }
    }

    const config::State& state() { return *process.agreed().wait(io.waitScope).value(); }

    void move(const std::string& to, base::Duration within) { REQUIRE(process.moveTraffic({ service, {}, { to }, within, {} }).wait(io.waitScope)); }

    // The versions that have a part of the traffic.
    std::vector<std::string> served()
    {
        std::vector<std::string> out;
        for (const config::VersionShare& it : state().snapshot.services.at(service).versions) {
            if (it.share.value > 0)
                out.push_back(it.version.text);
        }
        return out;
    }

    kj::AsyncIoContext& io;
    process_test::Folder folder;
    control::ControlProcess process;
    uint64_t sequence = 0;
};

} // namespace

// Guards against: a rollout that completes by its schedule though no upstream runs the new version, and leaves its service without any.
TEST_CASE("a rollout to a version that nothing runs is taken back", "[control][rollout]")
{
    auto io = kj::setupAsyncIo();
    Control control(io);
    control.announce("v1", 3);
    control.move("v2", { 1000 });
    control.wait([&] { return control.state().snapshot.rollouts.empty(); });
    CHECK(control.state().ended.back().end == config::RolloutEnd::TakenBack);
    CHECK(control.served() == std::vector<std::string> { "v1" });
}
