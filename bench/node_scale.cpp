// Measures the cost of a node by the size of the mesh: memory, time to apply a version, bytes of a snapshot and of a
// delta, time of one routing decision. docs/CAPACITY.md uses the slopes of these figures.
//
// Prints one table row for a size given as SERVICES:ENDPOINTS. scripts/measure.d/scale runs each size in its own process,
// because memory that one size has freed would hide the growth of the next.
#include "appletally/appletally.h"

#include <event2/event.h>
#include <fstream>
#include <iostream>
#include <sodium.h>
#include <tclap/CmdLine.h>

using namespace appletally;

namespace {

constexpr int routesPerService = 3;
constexpr int zoneCount = 7;

int64_t residentKb()
{
    std::ifstream in("/proc/self/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with("VmRSS:"))
            return std::stoll(line.substr(6));
    }
    return 0;
}

Snapshot makeSnapshot(int services)
{
    Answers answers;
    answers.name = "scale";
    for (int n = 0; n < services; ++n) {
        config::ServiceAnswers service;
        service.name = { "service-" + std::to_string(n) };
        service.firstVersion = { "1.0" };
        if (n > 0)
            service.dependsOn.push_back({ "service-" + std::to_string(n / 2) });
        for (int route = 0; route < routesPerService; ++route) {
            config::RouteAnswers it;
            it.name = { service.name.text + "-route-" + std::to_string(route) };
            it.method = "GET";
            it.pathPrefix = "/" + service.name.text + "/part-" + std::to_string(route);
            it.idempotent = true;
            service.routes.push_back(it);
        }
        answers.services.push_back(service);
    }
    return generate(answers);
}

std::vector<config::Endpoint> makeEndpoints(int services, int endpoints)
{
    std::vector<config::Endpoint> out;
    for (int n = 0; n < endpoints; ++n) {
        config::Endpoint it;
        it.host = { "host-" + std::to_string(n) };
        it.service = { "service-" + std::to_string(n % services) };
        it.version = { "1.0" };
        it.zone = { "zone-" + std::to_string(n % zoneCount) };
        it.region = { "region-" + std::to_string(n % 2) };
        it.inner = { "10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250), 7001 };
        it.slots = 10;
        it.state = config::EndpointState::Ready;
        it.incarnation = { 1 };
        it.sequence = { 1 };
        out.push_back(it);
    }
    return out;
}

double microsPerCall(int count, const std::function<void(int)>& operation)
{
    const int64_t begin = base::steadyMicros();
    for (int n = 0; n < count; ++n)
        operation(n);
    return static_cast<double>(base::steadyMicros() - begin) / count;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures a node's memory and time by the size of the mesh.", ' ', APPLETALLY_VERSION);
    TCLAP::UnlabeledValueArg<std::string> size("size", "SERVICES:ENDPOINTS", true, "", "SIZE", line);
    line.parse(argc, argv);
    const int services = std::stoi(size.getValue());
    const int endpoints = std::stoi(size.getValue().substr(size.getValue().find(':') + 1));
    if (sodium_init() < 0)
        return 1;

    event_base* loop = event_base_new();
    node::NodeSettings settings;
    settings.membership.host = { "bench" };
    settings.callers = settings.inner = settings.announce = { "127.0.0.1", 0 };
    base::Channel<inner::ToNode> fromControl;
    node::Node it(loop, settings, fromControl, [](const inner::FromNode&) {});
    if (!it.listen())
        return 1;
    const int64_t emptyKb = residentKb();

    auto snapshot = std::make_shared<Snapshot>(makeSnapshot(services));
    snapshot->version = { 1 };
    const std::string bytes = encode(*snapshot);
    const int64_t applyStart = base::steadyMicros();
    fromControl.send(inner::SnapshotReleased { snapshot });
    event_base_loop(loop, EVLOOP_NONBLOCK);
    const int64_t applyMicros = base::steadyMicros() - applyStart;
    const int64_t endpointsStart = base::steadyMicros();
    fromControl.send(inner::EndpointsChanged { makeEndpoints(services, endpoints) });
    event_base_loop(loop, EVLOOP_NONBLOCK);
    const int64_t endpointsMicros = base::steadyMicros() - endpointsStart;
    const int64_t fullKb = residentKb();

    Snapshot changed = *snapshot;
    changed.version = { 2 };
    changed.services.begin()->second.slots = 11;
    const std::string delta = config::encode(config::difference(*snapshot, changed));

    Router router;
    router.zone = { "zone-0" };
    std::vector<config::Endpoint> serviceEndpoints;
    for (const config::Endpoint& endpoint : makeEndpoints(services, endpoints)) {
        if (endpoint.service.text == "service-0")
            serviceEndpoints.push_back(endpoint);
    }
    policy::setEndpoints(router, serviceEndpoints, { 0 });
    const double pickMicros = microsPerCall(100000, [&](int n) {
        const auto picked = pick(router, { { "r" }, {}, {} }, { n }, static_cast<uint64_t>(n) * 0x9e3779b97f4a7c15ULL);
        if (picked)
            answered(router, { picked->host, { "r" }, policy::AnswerKind::Good, { 5 }, {} }, { n });
    });
    // The same for requests with a target latency, with answers that carry the run times reported by the upstream's node.
    const double targetPickMicros = microsPerCall(100000, [&](int n) {
        const auto picked = pick(router, { { "w" }, {}, {}, true, base::Duration { 600 } }, { n }, static_cast<uint64_t>(n) * 0x9e3779b97f4a7c15ULL);
        if (picked)
            answered(router, { picked->host, { "w" }, policy::AnswerKind::Good, { 5 }, {}, { 5000 }, { 200 + n % 50 }, { 220 } }, { n });
    });
    policy::Admission admission;
    policy::setSlots(admission, 6, { 0 });
    const double admitMicros = microsPerCall(100000, [&](int n) { // one request queued behind six running ones
        const policy::RequestId id { static_cast<uint64_t>(n) + 1 };
        offer(admission, { id, { "c" }, { "r" }, config::Priority::Read, { 20 }, { n + 400 }, false, base::Time { n + 200 } }, { n });
        if (n >= 6)
            finished(admission, { id.value - 6 }, policy::RunEnd::Good, { 20 }, { n });
    });
    const RouteIndex index = buildRouteIndex(*snapshot);
    const double matchMicros = microsPerCall(100000, [&](int n) { match(index, "", "GET", "/service-" + std::to_string(n % services) + "/part-1/7"); });

    std::cout << "| " << services << " | " << endpoints << " | " << emptyKb << " | " << fullKb << " | " << applyMicros << " | " << endpointsMicros << " | " << bytes.size()
              << " | " << config::compress(bytes).size() << " | " << delta.size() << " | " << matchMicros << " | " << pickMicros << " | " << targetPickMicros << " | " << admitMicros << " |\n";
    return 0;
}
