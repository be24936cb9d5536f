// A node with the port of the users' platform, in the test's event loop; the test plays control and the backend.
#pragma once

#include "node_fixture.h"
#include "process_fixture.h"

#include "platform/node_port.h"

#include <catch2/catch.hpp>
#include <unistd.h>

struct PlatformNode {
    TestMesh mesh;
    process_test::Port heartbeats;
    process_test::Port readiness;
    std::string ip = "127." + std::to_string(100 + getpid() / 65536 % 100) + "." + std::to_string(getpid() / 256 % 256) + "." + std::to_string(getpid() % 256); // of its own, as the metrics port is fixed
    TestNode* node = nullptr;
    TestNode toPort; // where ask() sends heartbeats
    std::unique_ptr<appletally::node::ExtraPort> port;

    PlatformNode() { start(); }

    void start()
    {
        node = &mesh.addNode("a", "z1");
        platform::NodeFile file;
        file.common.ip = ip;
        file.heartbeatAddress = { "127.0.0.1", heartbeats.number() };
        file.readinessAddress = { "127.0.0.1", readiness.number() };
        toPort.addresses.callers = file.heartbeatAddress;
        auto made = platform::NodePort::make(mesh.loop(), *node->node, [](const appletally::inner::FromNode&) {}, file, {});
        REQUIRE(made);
        port = std::move(made.value());
    }

    // As after a kill. Returns what control holds of the node.
    appletally::config::Endpoint restart()
    {
        appletally::config::Endpoint held = lastRecord();
        port.reset();
        mesh.removeNode("a");
        start();
        return held;
    }

    std::shared_ptr<TestAnswer> post(const std::string& call, const std::string& id, uint64_t born, uint64_t sequence, const std::string& state = "ready", const appletally::base::Json& changes = appletally::base::Json::object())
    {
        appletally::base::Json body = { { "service", "berth-data" }, { "address", ip + ":8080" }, { "zone", "z1" }, { "version", "1.0" }, { "max_concurrency", 4 }, { "state", state },
            { "cold_remaining_ms", 0 }, { "sequence", sequence }, { "born", born } };
        body.merge_patch(changes); // null removes a field
        return mesh.ask(toPort, "POST", "/-/Instances." + call + "/" + id, {}, body.dump());
    }

    int statusOf(const std::shared_ptr<TestAnswer>& it)
    {
        REQUIRE(mesh.run([&] { return it->done; }));
        return it->status;
    }

    int heartbeat(const std::string& id, uint64_t born, uint64_t sequence) { return statusOf(post("Heartbeat", id, born, sequence)); }

    appletally::config::Endpoint lastRecord() const
    {
        for (auto it = node->toControl.rbegin(); it != node->toControl.rend(); ++it) {
            if (const auto* announced = std::get_if<appletally::inner::EndpointAnnounced>(&*it))
                return announced->endpoint;
        }
        return {};
    }

    bool isReady() const { return lastRecord().state == appletally::config::EndpointState::Ready; }

    void tell(appletally::inner::ToNode message)
    {
        node->fromControl.send(std::move(message));
        event_base_loop(mesh.loop(), EVLOOP_NONBLOCK);
    }
};
