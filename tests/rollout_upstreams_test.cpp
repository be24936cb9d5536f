// Rollouts depend on the ready upstreams of each version: a control process that is its own leader, with simulated node
// reports.
#include "control_fixture.h"

using namespace control_test;

namespace {

const base::ServiceName service { "plug-control" };

inner::NodeReport announcements(const char* version, int count)
{
    inner::NodeReport out;
    for (int n = 0; n < count; ++n) {
        config::Endpoint it;
        it.host = { version + std::to_string(n) };
        it.service = service;
        it.version = { version };
        it.state = config::EndpointState::Ready;
        it.incarnation = { 1 };
        out.endpoints.push_back({ it, 1 });
    }
    return out;
}

struct Mesh {
    Mesh()
    {
        wait([&] { return control.process.leads(); });
        config::Document document;
        document.id = { { 1 }, { 0 }, "first" };
        document.services[service].service.name = service;
        document.services[service].text = "{}";
        REQUIRE(control.process.submitDocument(document).wait(io.waitScope));
        control.process.onNodeReport(announcements("v1", 3));
    }

    template <typename Done>
    void wait(Done done)
    {
        for (const base::Time since = base::steadyNow(); !done();) {
            REQUIRE(base::steadyNow() - since < base::Duration { 30'000 });
            io.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(io.waitScope);
        }
    }

    const config::State& state() { return *control.process.committedState().wait(io.waitScope).value(); }

    // Returns the version that has all traffic after the rollout has ended.
    std::string moveTo(const char* version)
    {
        REQUIRE(control.process.moveTraffic({ service, {}, { version }, { 1000 }, {} }).wait(io.waitScope));
        wait([&] { return state().snapshot.rollouts.empty(); });
        const auto& versions = state().snapshot.services.at(service).versions;
        REQUIRE(versions.size() == 1);
        return versions[0].version.text;
    }

    kj::AsyncIoContext io = kj::setupAsyncIo();
    TestControl control { io, StartState::Leader };
};

} // namespace

// Guards against a rollout that completes on schedule although no upstream runs the new version, so that its service has
// no upstream.
TEST_CASE("a rollout to a version without upstreams is rolled back", "[control][rollout]")
{
    Mesh mesh;
    CHECK(mesh.moveTo("v2") == "v1");
    CHECK(mesh.state().ended.back().end == config::RolloutEnd::RolledBack);
}

// Guards against a completed rollout, after which operators stop the old version, while the new version has too few
// upstreams for its traffic.
TEST_CASE("a rollout completes only if the new version has at least half as many upstreams as the old one", "[control][rollout]")
{
    Mesh mesh;
    mesh.control.process.onNodeReport(announcements("few", 1));
    CHECK(mesh.moveTo("few") == "v1");
    mesh.control.process.onNodeReport(announcements("enough", 2));
    CHECK(mesh.moveTo("enough") == "enough");
}
