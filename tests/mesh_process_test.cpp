// End-to-end tests with processes: a voter, three nodes, simulated upstreams, and a caller on a plain socket.
#include "process_mesh.h"

using namespace process_test;

namespace {

std::string disconnectWith(const std::string& idempotencyKey)
{
    return "POST /plugs/disconnect HTTP/1.1\r\nHost: mesh\r\nConnection: close\r\nAppletally-Caller: crew-4\r\nIdempotency-Key: " + idempotencyKey
        + "\r\nContent-Length: 2\r\n\r\n{}";
}

} // namespace

TEST_CASE("a request whose owner is killed during the run and that is resent elsewhere runs once", "[process][at-most-once]")
{
    // The owner is killed while a plug disconnect runs, and the client resends the request through another node. A second run
    // would disconnect the next ship on that plug. No answer may report not run, because the request has run.
    Mesh mesh;
    Host& a = mesh.addHost("a");
    Host& b = mesh.addHost("b");
    Host& c = mesh.addHost("c");
    Mesh::addUpstream(a, "plug-control", 20000);
    Mesh::addUpstream(b, "berth-data", 1);
    Mesh::addUpstream(c, "berth-data", 1);
    mesh.submit("berthgrid.json");
    for (const auto& host : mesh.hosts)
        host->node.waitLine({ "keeper-set-changed", "of 3 hosts" });

    PendingRequest first(b.callers, disconnectWith("k1"));
    a.upstream.waitLine({ "run k1 " });
    a.node.signal(SIGKILL);
    const std::string lost = first.answer();
    CHECK(lost.find("Appletally-Result: 501") != std::string::npos);
    CHECK(lost.find("Appletally-Not-Run") == std::string::npos);

    // Another upstream of the service is available now and could run the request.
    Host& d = mesh.addHost("d");
    d.node.waitLine({ "version-applied" });
    Mesh::addUpstream(d, "plug-control", 1);
    PendingRequest again(d.callers, disconnectWith("k1"));
    const std::string refused = again.answer();
    INFO(refused);
    CHECK(refused.find("HTTP/1.1 200") == std::string::npos);
    CHECK(refused.find("Appletally-Not-Run") == std::string::npos);

    PendingRequest other(d.callers, disconnectWith("k2"));
    const std::string served = other.answer();
    INFO(served);
    CHECK(served.find("HTTP/1.1 200") != std::string::npos);
    a.upstream.signal(SIGKILL);
    d.upstream.signal(SIGKILL);
    const std::string runs = a.upstream.finish().out + d.upstream.finish().out;
    INFO(runs);
    CHECK(countOf(runs, "run k1 ") == 1);
    CHECK(countOf(runs, "run k2 ") == 1);
}

TEST_CASE("reads are answered while a host is frozen and after it resumes", "[process][slow-upstream]")
{
    // A host freezes for seconds with its connections open: its disk hangs, its machine is migrated, or a network device has
    // lost the state of its connections. No error is reported. Reads must be answered with at most a second of delay.
    Mesh mesh;
    Host& a = mesh.addHost("a");
    Host& b = mesh.addHost("b");
    Host& c = mesh.addHost("c");
    Mesh::addUpstream(a, "berth-data", 1);
    Mesh::addUpstream(c, "berth-data", 1);
    mesh.submit("berthgrid.json");
    b.node.waitLine({ "version-applied" });
    const auto countSucceeded = [&](int count) {
        int out = 0;
        for (int n = 0; n < count; ++n)
            out += PendingRequest(b.callers, "GET /berths/" + std::to_string(n) + " HTTP/1.1\r\nHost: mesh\r\nConnection: close\r\n\r\n").answer().find("HTTP/1.1 200") != std::string::npos;
        return out;
    };
    while (countSucceeded(1) == 0) { // until b has received the endpoints; each iteration waits for an answer
    }
    REQUIRE(countSucceeded(20) == 20);
    a.node.signal(SIGSTOP);
    CHECK(countSucceeded(200) == 200);
    a.node.signal(SIGCONT);
    CHECK(countSucceeded(50) == 50);
}
