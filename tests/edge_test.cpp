// Invalid input at the callers' port and the inner port gets an error or a close within a time limit, without effect on
// other callers.
#include "node_fixture.h"

#include "appletally/inner/frame.h"
#include "appletally/inner/node_link.h"

#include <catch2/catch.hpp>

using namespace appletally;

namespace {

struct Edge {
    TestMesh mesh;
    std::unique_ptr<TestUpstream> upstream = std::make_unique<TestUpstream>(mesh.loop());
    TestNode* node = nullptr;

    explicit Edge(http::ListenerLimits limits = {})
    {
        mesh.limits = limits;
        node = &mesh.addNode("a", "z1");
        mesh.announce(*node, *upstream, "ready");
        mesh.applyEverywhere("examples/berthgrid.json");
    }

    std::string raw(const base::Address& address, const std::string& bytes)
    {
        const auto answer = mesh.askRaw(address, bytes);
        REQUIRE(mesh.run([&] { return answer->done; }));
        return answer->body;
    }

    // Other callers must still be served.
    void checkOthersServed()
    {
        const auto answer = mesh.ask(*node, "GET", "/berths/7", { "Request-Tag: other" });
        REQUIRE(mesh.run([&] { return answer->done; }));
        CHECK(answer->body == "other");
    }
};

} // namespace

TEST_CASE("invalid requests are answered with a result code and closed", "[edge]")
{
    // Broken clients and port scanners reach every open port. Without an answer and limits, each would occupy memory and a
    // connection that other requests need.
    struct Case {
        const char* what;
        std::string bytes;
        const char* result; // of Appletally-Result
    };
    const std::string big(40 * 1024, 'x');
    const Case cases[] = {
        { "not HTTP", "\x16\x03\x01\x02garbage\r\n\r\n", "402" },
        { "an unknown method", "BREW /berths/7 HTTP/1.1\r\nHost: a\r\n\r\n", "402" },
        { "headers over the limit", "GET /berths/7 HTTP/1.1\r\nHost: a\r\nCookie: " + big.substr(0, 7000) + "\r\nA: " + big.substr(0, 7000) + "\r\nB: " + big.substr(0, 7000) + "\r\nC: " + big.substr(0, 7000) + "\r\nD: " + big.substr(0, 7000) + "\r\n\r\n", "403" },
        { "a Content-Length over the route's limit", "POST /plugs/connect HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", "404" },
        { "a chunked body over the route's limit", "POST /plugs/connect HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\na000\r\n" + big + "\r\n0\r\n\r\n", "404" },
    };
    for (const Case& it : cases) {
        INFO(it.what);
        Edge edge;
        const std::string answer = edge.raw(edge.node->addresses.callers, it.bytes);
        INFO(answer);
        CHECK(answer.find(std::string("Appletally-Result: ") + it.result) != std::string::npos);
        CHECK(edge.upstream->runs == 0);
        edge.checkOthersServed();
    }
}

TEST_CASE("path and query reach the upstream unchanged", "[edge]")
{
    // A path that is decoded and forwarded without encoding could end the request line early. The rest would be parsed as a
    // header or as a second request that bypassed admission.
    Edge edge;
    for (const std::string target : { "/berths/a%20b%0d%0aEvil:%201", "/berths/7?x=%2F&y=1&z", "/berths/%c3%a9;v=1?q=a+b", "/berths//7/../8" }) {
        INFO(target);
        const auto answer = edge.mesh.ask(*edge.node, "GET", target, { "Request-Tag: t" });
        REQUIRE(edge.mesh.run([&] { return answer->done; }));
        CHECK(answer->status == 200);
        CHECK(edge.upstream->lastTarget == target);
    }
}

TEST_CASE("a caller that sends too slowly is disconnected after the receive timeout", "[edge]")
{
    // A caller on a failing link, or a malicious one, keeps an incomplete request open indefinitely. Enough of them would use
    // up all connections.
    Edge edge({ .receiveTimeout = { 300 } });
    const std::string answer = edge.raw(edge.node->addresses.callers, "GET /berths/7 HTTP/1.1\r\nHo");
    CHECK(answer.find("Appletally-Result: 415") != std::string::npos);
    edge.checkOthersServed();
}

TEST_CASE("a request whose connection closes within the body does not run", "[edge]")
{
    // A client loses its network while it sends a plug command. Running the received part would execute an incomplete command.
    Edge edge;
    auto* raw = bufferevent_socket_new(edge.mesh.loop(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(raw, EV_WRITE);
    bool written = false;
    bufferevent_setcb(
        raw, nullptr, [](bufferevent*, void* arg) { *static_cast<bool*>(arg) = true; }, nullptr, &written);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(edge.node->addresses.callers.port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bufferevent_socket_connect(raw, reinterpret_cast<sockaddr*>(&to), sizeof to);
    const std::string half = "POST /plugs/connect HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf";
    evbuffer_add(bufferevent_get_output(raw), half.data(), half.size());
    REQUIRE(edge.mesh.run([&] { return written && evbuffer_get_length(bufferevent_get_output(raw)) == 0; }));
    bufferevent_free(raw);
    edge.checkOthersServed();
    CHECK(edge.upstream->runs == 1); // only the other caller's request
}

TEST_CASE("a caller that stops reading is disconnected and the upstream's slot is released", "[edge]")
{
    // A client is suspended while a large answer is streamed. The answer must not accumulate in the node's memory, and must
    // not occupy a slot until the client resumes.
    Edge edge({ .stallTimeout = { 300 } });
    edge.upstream->bodyBytes = 32 * 1024 * 1024;
    auto* raw = bufferevent_socket_new(edge.mesh.loop(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(raw, EV_WRITE); // no EV_READ: the client never reads
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(edge.node->addresses.callers.port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bufferevent_socket_connect(raw, reinterpret_cast<sockaddr*>(&to), sizeof to);
    const std::string request = "GET /archive/2026 HTTP/1.1\r\nHost: a\r\n\r\n";
    evbuffer_add(bufferevent_get_output(raw), request.data(), request.size());
    const auto dump = [&] {
        edge.node->fromControl.send(inner::DumpRequested { 1 });
        event_base_loop(edge.mesh.loop(), EVLOOP_NONBLOCK);
        return base::Json::parse(std::get<inner::DumpAnswered>(edge.node->toControl.back()).json);
    };
    REQUIRE(edge.mesh.run([&] { return edge.upstream->runs == 1; }));
    REQUIRE(edge.mesh.run([&] { return dump()["owner"]["load"]["running"] == 0; }));
    CHECK(dump()["ingress"]["underWay"] == 0);
    bufferevent_free(raw);
}

TEST_CASE("a stopping node exits only after the caller has received the complete answer", "[edge]")
{
    // A node is stopped just after the upstream has answered, and the caller's link is slow. If the node exited with a part of
    // the answer still in its memory, the caller would not know the outcome of its request.
    Edge edge;
    edge.upstream->bodyBytes = 250 * 1024;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const int receiveBufferBytes = 64 * 1024; // limits what the connection accepts at once
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(edge.node->addresses.callers.port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    constexpr int answers = 24; // together more than the system's socket buffers accept at once
    std::string requests;
    for (int n = 0; n < answers; ++n)
        requests += "GET /archive/" + std::to_string(n) + " HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(::write(fd, requests.data(), requests.size()) == static_cast<ssize_t>(requests.size()));
    REQUIRE(edge.mesh.run([&] { return edge.upstream->runs == answers; }));

    bool stopped = false;
    edge.node->node->stop([&] { stopped = true; });
    evutil_make_socket_nonblocking(fd);
    event* wakeTimer = event_new(
        edge.mesh.loop(), -1, EV_PERSIST, [](evutil_socket_t, short, void*) {}, nullptr);
    const timeval wakeInterval { 0, 1000 };
    event_add(wakeTimer, &wakeInterval);
    size_t got = 0;
    const base::Time readsFrom = base::steadyNow() + base::Duration { 400 }; // later than the node would exit without unsent data
    REQUIRE(edge.mesh.run([&] {
        char bytes[64 * 1024];
        const ssize_t n = base::steadyNow() < readsFrom ? 0 : ::read(fd, bytes, sizeof bytes);
        got += n > 0 ? static_cast<size_t>(n) : 0;
        if (stopped && edge.node->node)
            edge.node->node.reset(); // the process has exited; data not yet written is lost
        return stopped && n == 0 && base::steadyNow() >= readsFrom;
    }));
    event_free(wakeTimer);
    ::close(fd);
    CHECK(got > answers * edge.upstream->bodyBytes);
}

TEST_CASE("the inner port closes on malformed data, another cluster, a wrong key and oversized frames", "[edge]")
{
    // Any host on the network can connect to the inner port, and messages there act on behalf of callers. So the handshake
    // requires the cluster key, and before it a peer must not make the node buffer more than a few kilobytes.
    Edge edge;
    const std::string cases[] = { std::string("GET / HTTP/1.1\r\n\r\n"), std::string("\xff\xff\xff\xff", 4), std::string("\0\0\0\x10garbagegarbage!!", 20), std::string("\0\0\0\0", 4) };
    for (const std::string& it : cases)
        CHECK(edge.raw(edge.node->addresses.inner, it).empty());

    const auto errorOf = [&](const inner::Membership& membership) {
        std::optional<base::Error> error;
        bool up = false;
        inner::LinkHandler handler;
        handler.up = [&](inner::NodeLink&) { up = true; };
        handler.message = [](inner::NodeLink&, inner::wire::LinkMessage::Reader) {};
        handler.down = [&](inner::NodeLink&, const base::Error& it) { error = it; };
        const auto link = inner::NodeLink::dial(edge.mesh.loop(), edge.node->addresses.inner, membership, handler);
        REQUIRE(edge.mesh.run([&] { return error || up; }));
        return error ? error->code : base::Code::Ok;
    };
    inner::Membership right { { "test" }, {}, { "x" } };
    inner::Membership otherCluster { { "other" }, {}, { "x" } };
    inner::Membership otherKey { { "test" }, { { 1 } }, { "x" } };
    CHECK(errorOf(right) == base::Code::Ok);
    CHECK(errorOf(otherCluster) == base::Code::PeerGone);
    CHECK(errorOf(otherKey) == base::Code::WrongKey);
    edge.checkOthersServed();
}
