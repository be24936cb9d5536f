// End-to-end tests with processes: a voter, three nodes, simulated upstreams, and a caller on a plain socket.
#include "appletally/appletally.h"
#include "process_fixture.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace process_test;
using nlohmann::json;

namespace {

const std::string key(64, 'a');

struct Host {
    std::string name;
    Port callers, inner, announce, operators, upstreamPort;
    Program node;
    Program upstream;
};

// A request that has been sent; the answer is read later.
class PendingRequest {
public:
    PendingRequest(const Port& port, const std::string& request)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(port.number());
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const timeval timeout { waitTimeoutSeconds, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        REQUIRE(connect(m_fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
        REQUIRE(write(m_fd, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
    }
    ~PendingRequest() { close(m_fd); }
    PendingRequest(const PendingRequest&) = delete;
    PendingRequest& operator=(const PendingRequest&) = delete;

    std::string answer() // reads until the node closes the connection
    {
        std::string out;
        char buf[4096];
        for (ssize_t n = 0; (n = read(m_fd, buf, sizeof buf)) > 0;)
            out.append(buf, static_cast<size_t>(n));
        return out;
    }

private:
    int m_fd;
};

std::string disconnectWith(const std::string& idempotencyKey)
{
    return "POST /plugs/disconnect HTTP/1.1\r\nHost: mesh\r\nConnection: close\r\nAppletally-Caller: crew-4\r\nIdempotency-Key: " + idempotencyKey
        + "\r\nContent-Length: 2\r\n\r\n{}";
}

size_t countOf(const std::string& text, const std::string& part)
{
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

struct Mesh {
    Folder folder;
    Port voterPort;
    Program voter;
    std::vector<std::unique_ptr<Host>> hosts;

    Mesh()
    {
        const json voters = json::array({ { { "host", "v0" }, { "address", voterPort.address() } } });
        writeFile(folder / "v0.json", { { "cluster", "test" }, { "key", key }, { "host", "v0" }, { "zone", "z0" }, { "region", "r" }, { "listen", voterPort.address() }, { "data", folder / "data" }, { "voters", voters } });
        writeFile(folder / "ctl.json", { { "cluster", "test" }, { "key", key }, { "operator", "ann" }, { "voters", { voterPort.address() } } });
        REQUIRE(run("appletally-control", { folder / "v0.json", "--format", "--first" }).code == 0);
        voter = Program("appletally-control", { folder / "v0.json" });
        voter.waitLine({ "started" });
    }

    Host& addHost(const std::string& name)
    {
        hosts.push_back(std::make_unique<Host>());
        Host& it = *hosts.back();
        it.name = name;
        writeFile(folder / (name + ".json"), { { "cluster", "test" }, { "key", key }, { "host", name }, { "zone", "z-" + name }, { "region", "r" }, { "listen", { { "callers", it.callers.address() }, { "inner", it.inner.address() }, { "announce", it.announce.address() }, { "operators", it.operators.address() } } }, { "voters", { voterPort.address() } } });
        it.node = Program("appletally-node", { folder / (name + ".json") });
        it.node.waitLine({ "started" });
        return it;
    }

    // Each run takes `milliseconds` and prints a line "run KEY PATH VERSION" on the upstream's output.
    static void addUpstream(Host& it, const std::string& service, int milliseconds)
    {
        it.upstream = Program("standin-upstream", { "--listen", it.upstreamPort.address(), "--announce", it.announce.address(), "--service", service, "--software", "1.0", "--run", "/=" + std::to_string(milliseconds), "--log", "/dev/stdout" });
        it.node.waitLine({ "upstream-announced", service });
    }

    void submit(const std::string& answers)
    {
        const Finished done = run("appletallyctl", { folder / "ctl.json", "submit", std::string(SOURCE_FOLDER) + "/examples/" + answers });
        INFO(done.err);
        REQUIRE(done.code == 0);
    }
};

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
