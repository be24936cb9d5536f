// Bad input at the callers' port and at the inner port: a clear answer or a close, within a bound, harming nobody else.
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

    // Every other caller is served as if nothing had come.
    void checkOthersServed()
    {
        const auto answer = mesh.ask(*node, "GET", "/berths/7", { "Request-Tag: other" });
        REQUIRE(mesh.run([&] { return answer->done; }));
        CHECK(answer->body == "other");
    }
};

} // namespace

TEST_CASE("bad requests are answered with a code and closed", "[edge]")
{
    // Broken clients and scanners reach every port that listens. Left unanswered or unbounded, each would hold memory
    // and a connection that a crew member's request needs.
    struct Case {
        const char* what;
        std::string bytes;
        const char* result; // of Appletally-Result
    };
    const std::string big(40 * 1024, 'x');
    const Case cases[] = {
        { "no HTTP", "\x16\x03\x01\x02garbage\r\n\r\n", "402" },
        { "a method that nobody knows", "BREW /berths/7 HTTP/1.1\r\nHost: a\r\n\r\n", "402" },
        { "headers over the limit", "GET /berths/7 HTTP/1.1\r\nHost: a\r\nCookie: " + big.substr(0, 7000) + "\r\nA: " + big.substr(0, 7000) + "\r\nB: " + big.substr(0, 7000) + "\r\nC: " + big.substr(0, 7000) + "\r\nD: " + big.substr(0, 7000) + "\r\n\r\n", "403" },
        { "a body that says it is over the route's limit", "POST /plugs/connect HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", "404" },
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

TEST_CASE("path and query reach the upstream as they were sent", "[edge]")
{
    // A path that is decoded on the way and sent on as it is could end the request line early, and what follows would be
    // read as a header or as a second request that nobody admitted.
    Edge edge;
    for (const std::string target : { "/berths/a%20b%0d%0aEvil:%201", "/berths/7?x=%2F&y=1&z", "/berths/%c3%a9;v=1?q=a+b", "/berths//7/../8" }) {
        INFO(target);
        const auto answer = edge.mesh.ask(*edge.node, "GET", target, { "Request-Tag: t" });
        REQUIRE(edge.mesh.run([&] { return answer->done; }));
        CHECK(answer->status == 200);
        CHECK(edge.upstream->lastTarget == target);
    }
}

TEST_CASE("a caller that sends a byte at a time is cut off after the stated time", "[edge]")
{
    // A caller on a dying radio link, or one that means harm, keeps a request open for ever. Enough of them and no
    // connection is left for anybody else.
    Edge edge({ .receiveTime = { 300 } });
    const std::string answer = edge.raw(edge.node->addresses.callers, "GET /berths/7 HTTP/1.1\r\nHo");
    CHECK(answer.find("Appletally-Result: 415") != std::string::npos);
    edge.checkOthersServed();
}

TEST_CASE("a connection that closes in the middle of a body runs nothing", "[edge]")
{
    // A crew's tablet loses its network while it sends a plug command. Running what arrived would act on half a command.
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
    CHECK(edge.upstream->runs == 1); // the other caller's only
}

TEST_CASE("a caller that stops reading is dropped and its upstream's slot is free again", "[edge]")
{
    // A billing clerk's laptop goes to sleep while an archive streams. The stream must not pile up in the node, and
    // must not hold one of the few slots until somebody opens the laptop.
    Edge edge({ .stalledTime = { 300 } });
    edge.upstream->bodyBytes = 32 * 1024 * 1024;
    auto* raw = bufferevent_socket_new(edge.mesh.loop(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(raw, EV_WRITE); // and never reads
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

TEST_CASE("a stopping node ends only when the caller has its whole answer", "[edge]")
{
    // A node is stopped for an update just as an upstream's answer has come, over a slow line. Ended with a part of the
    // answer still in its own memory, the node cuts a member's payment whose outcome nobody then knows.
    Edge edge;
    edge.upstream->bodyBytes = 250 * 1024;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const int little = 64 * 1024; // what the line takes at once
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &little, sizeof little);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(edge.node->addresses.callers.port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    constexpr int answers = 24; // together more than the system takes from the node at once
    std::string requests;
    for (int n = 0; n < answers; ++n)
        requests += "GET /archive/" + std::to_string(n) + " HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(::write(fd, requests.data(), requests.size()) == static_cast<ssize_t>(requests.size()));
    REQUIRE(edge.mesh.run([&] { return edge.upstream->runs == answers; }));

    bool stopped = false;
    edge.node->node->stop([&] { stopped = true; });
    evutil_make_socket_nonblocking(fd);
    event* awake = event_new(
        edge.mesh.loop(), -1, EV_PERSIST, [](evutil_socket_t, short, void*) {}, nullptr);
    const timeval often { 0, 1000 };
    event_add(awake, &often);
    size_t got = 0;
    const base::Time begins = base::steadyNow() + base::Duration { 400 }; // later than the node would end by itself
    REQUIRE(edge.mesh.run([&] {
        char bytes[64 * 1024];
        const ssize_t n = base::steadyNow() < begins ? 0 : ::read(fd, bytes, sizeof bytes);
        got += n > 0 ? static_cast<size_t>(n) : 0;
        if (stopped && edge.node->node)
            edge.node->node.reset(); // the process is gone, and what it had not written with it
        return stopped && n == 0 && base::steadyNow() >= begins;
    }));
    event_free(awake);
    ::close(fd);
    CHECK(got > answers * edge.upstream->bodyBytes);
}

TEST_CASE("the inner port closes on garbage, another cluster, a wrong key and oversized frames", "[edge]")
{
    // Anybody on the network can connect to the inner port. What is sent there acts for callers, so only holders of
    // the cluster's key get past the greeting, and nobody makes the node hold more than a few kilobytes before.
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
