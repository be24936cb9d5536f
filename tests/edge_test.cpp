// Invalid input at the callers' port and the inner port gets an error or a close within a time limit, without effect on
// other callers.
#include "node_fixture.h"

#include "appletally/base/loop_time.h"
#include "appletally/inner/frame.h"
#include "appletally/inner/node_link.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <event2/listener.h>
#include <netinet/tcp.h>

using namespace appletally;

namespace {

base::Json dumpOf(TestMesh& mesh, TestNode& node)
{
    node.fromControl.send(inner::DumpRequested { 1 });
    event_base_loop(mesh.loop(), EVLOOP_NONBLOCK);
    return base::Json::parse(std::get<inner::DumpAnswered>(node.toControl.back()).json);
}

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
        { "another protocol", "GET /berths/7 HTTX/1.1\r\nHost: a\r\n\r\n", "402" },
        { "a request line without a version", "GET /berths/7\r\nHost: a\r\n\r\n", "402" },
        { "two blanks in the request line", "GET  /berths/7 HTTP/1.1\r\nHost: a\r\n\r\n", "402" },
        { "a tab in the target", "GET /berths/7\tx HTTP/1.1\r\nHost: a\r\n\r\n", "402" },
        { "HTTP/3", "GET /berths/7 HTTP/3.1\r\nHost: a\r\n\r\n", "422" },
        { "the preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "422" },
        { "HTTP/0.9", "GET /berths/7 HTTP/0.9\r\nHost: a\r\n\r\n", "422" },
        { "a chunk without its line ending", "POST /plugs/connect HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n", "402" },
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
    const auto dump = [&] { return dumpOf(edge.mesh, *edge.node); };
    REQUIRE(edge.mesh.run([&] { return edge.upstream->runs == 1; }));
    REQUIRE(edge.mesh.run([&] { return dump()["owner"]["load"]["running"] == 0; }));
    CHECK(dump()["ingress"]["underWay"] == 0);
    bufferevent_free(raw);
}

TEST_CASE("a stopping node exits only after the caller has received the complete answer", "[edge]")
{
    // A node is stopped just after the upstream has answered, and the caller's link is slow. If the node exited with a part of
    // the answer still in its memory, the caller would not know the outcome of its request.
    Edge edge({ .maxHeldBytes = size_t { 128 } * 1024 * 1024 }); // so that all requests run although nothing is read
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

namespace {

// Forwards the bytes of one connection to `target`. While paused, nothing of the target's answers passes, as on a congested
// link.
struct PausableRelay {
    PausableRelay(event_base* eventLoop, base::Address to)
        : loop(eventLoop)
        , target(std::move(to))
    {
        std::signal(SIGPIPE, SIG_IGN); // the target may close while there is something to write
        sockaddr_in at = loopback(0);
        listener = evconnlistener_new_bind(
            loop, [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) { static_cast<PausableRelay*>(self)->accept(fd); }, this,
            LEV_OPT_CLOSE_ON_FREE, 16, reinterpret_cast<sockaddr*>(&at), sizeof at);
        socklen_t n = sizeof at;
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&at), &n);
        address = { "127.0.0.1", ntohs(at.sin_port) };
    }
    ~PausableRelay()
    {
        evconnlistener_free(listener);
        for (bufferevent* it : { client, server }) {
            if (it)
                bufferevent_free(it);
        }
    }

    static sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in out {};
        out.sin_family = AF_INET;
        out.sin_port = htons(port);
        out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return out;
    }

    void accept(evutil_socket_t fd)
    {
        client = bufferevent_socket_new(loop, fd, BEV_OPT_CLOSE_ON_FREE);
        server = bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE);
        for (bufferevent* it : { client, server }) {
            bufferevent_setcb(
                it, [](bufferevent* from, void* self) { static_cast<PausableRelay*>(self)->forward(from); }, nullptr,
                [](bufferevent* from, short what, void* self) {
                    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                        static_cast<PausableRelay*>(self)->onEnd(from);
                },
                this);
            bufferevent_enable(it, EV_READ | EV_WRITE);
        }
        const sockaddr_in to = loopback(target.port);
        bufferevent_socket_connect(server, reinterpret_cast<const sockaddr*>(&to), sizeof to);
        for (bufferevent* it : { client, server }) { // a network holds no small messages back until others are acknowledged
            const int one = 1;
            setsockopt(bufferevent_getfd(it), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        }
    }

    bufferevent* other(bufferevent* it) const { return it == client ? server : client; }
    void forward(bufferevent* from) { bufferevent_write_buffer(other(from), bufferevent_get_input(from)); }
    void onEnd(bufferevent* from)
    {
        forward(from);
        bufferevent_flush(other(from), EV_WRITE, BEV_FINISHED);
        bufferevent_setcb(
            other(from), [](bufferevent* it, void* self) { static_cast<PausableRelay*>(self)->forward(it); },
            [](bufferevent* it, void*) { ::shutdown(bufferevent_getfd(it), SHUT_WR); },
            [](bufferevent* it, short what, void* self) {
                if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                    static_cast<PausableRelay*>(self)->onEnd(it);
            },
            this);
        if (evbuffer_get_length(bufferevent_get_output(other(from))) == 0)
            ::shutdown(bufferevent_getfd(other(from)), SHUT_WR);
    }
    // Bytes of the target's answers that pass in a second.
    void setRate(size_t bytesPerSecond) { limitReading(server, bytesPerSecond); }
    void setRateToTarget(size_t bytesPerSecond) { limitReading(client, bytesPerSecond); }
    void limitReading(bufferevent* from, size_t bytesPerSecond)
    {
        constexpr size_t ticksPerSecond = 500;
        const timeval tick { 0, 1'000'000 / ticksPerSecond };
        ev_token_bucket_cfg* rate = ev_token_bucket_cfg_new(bytesPerSecond / ticksPerSecond, bytesPerSecond / ticksPerSecond, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
        bufferevent_set_rate_limit(from, rate);
        rateLimit.reset(rate);
    }
    void setPaused(bool paused) { paused ? bufferevent_disable(server, EV_READ) : bufferevent_enable(server, EV_READ); }

    event_base* loop;
    base::Address target;
    base::Address address;
    evconnlistener* listener = nullptr;
    std::unique_ptr<ev_token_bucket_cfg, decltype(&ev_token_bucket_cfg_free)> rateLimit { nullptr, ev_token_bucket_cfg_free };
    bufferevent* client = nullptr;
    bufferevent* server = nullptr;
};

// The endpoint that the node has announced last, at another address.
config::Endpoint endpointOf(const TestNode& node, const base::Address& address)
{
    config::Endpoint out;
    for (const inner::FromNode& it : node.toControl) {
        if (const auto* announced = std::get_if<inner::EndpointAnnounced>(&it))
            out = announced->endpoint;
    }
    out.inner = address;
    ++out.sequence.value;
    return out;
}

// A callers' node whose link to the owner of the only upstream can be paused, and is up.
struct NodesWithRelay {
    TestMesh mesh;
    TestUpstream upstream { mesh.loop() };
    TestNode& owner = mesh.addNode("a", "z1");
    TestNode& ingress = mesh.addNode("b", "z2");
    PausableRelay relay { mesh.loop(), owner.addresses.inner };

    explicit NodesWithRelay(int slots = 10)
    {
        mesh.announce(owner, upstream, "ready", slots);
        mesh.applyEverywhere("examples/berthgrid.json");
        ingress.fromControl.send(inner::EndpointsChanged { { endpointOf(owner, relay.address) } });
        const auto first = mesh.ask(ingress, "GET", "/archive/first");
        REQUIRE(mesh.run([&] { return first->done; }));
        REQUIRE(relay.server);
    }
};

} // namespace

// Guards against answers that are lost in the memory of an owner that exits: all of its runs have ended, but their answers
// still wait for the congested link to the callers' node.
TEST_CASE("a stopping owner exits only after other nodes have received its answers", "[edge]")
{
    constexpr int answers = 24; // together more than the system's socket buffers accept at once
    NodesWithRelay nodes(answers);
    TestMesh& mesh = nodes.mesh;
    TestUpstream& upstream = nodes.upstream;
    TestNode& owner = nodes.owner;
    PausableRelay& relay = nodes.relay;
    upstream.bodyBytes = 250 * 1024;
    relay.setPaused(true);
    std::vector<std::shared_ptr<TestAnswer>> received;
    received.reserve(answers);
    for (int n = 0; n < answers; ++n)
        received.push_back(mesh.ask(nodes.ingress, "GET", "/archive/" + std::to_string(n)));
    const auto running = [&] { return dumpOf(mesh, owner)["owner"]["load"]["running"].get<int>(); };
    REQUIRE(mesh.run([&] { return upstream.runs == answers + 1 && running() == 0; }));

    bool stopped = false;
    owner.node->stop([&] { stopped = true; });
    const base::Time resumeAt = base::steadyNow() + base::Duration { 400 }; // later than the node would exit without unsent answers
    event* wakeTimer = event_new(
        mesh.loop(), -1, EV_PERSIST, [](evutil_socket_t, short, void*) {}, nullptr);
    const timeval wakeInterval { 0, 1000 };
    event_add(wakeTimer, &wakeInterval);
    const auto allDone = [&] { return std::all_of(received.begin(), received.end(), [](const auto& it) { return it->done; }); };
    const bool ended = mesh.run([&] {
        if (stopped && owner.node)
            owner.node.reset(); // the process has exited; data not yet written is lost
        if (base::steadyNow() >= resumeAt)
            relay.setPaused(false);
        return stopped && allDone();
    });
    event_free(wakeTimer);
    CHECK(ended);
    for (const auto& it : received) {
        CHECK(it->status == 200);
        CHECK(it->body.size() == upstream.bodyBytes);
    }
}

// Guards against answers that are late without a sign of where: their runs were short, and they waited for a link.
TEST_CASE("the time that an answer waits for a link shows in the metrics of its caller's node", "[edge]")
{
    NodesWithRelay nodes;
    const auto longTransits = [&] {
        const std::string text = nodes.ingress.node->metrics();
        const auto upTo = [&](const std::string& edge) {
            const std::string sample = "appletally_answer_transit_ms_bucket{size=\"short\",le=\"" + edge + "\"} ";
            const size_t at = text.find(sample);
            return at == std::string::npos ? 0 : std::stoi(text.substr(at + sample.size()));
        };
        return upTo("+Inf") - upTo("200");
    };
    const int before = longTransits();
    nodes.relay.setPaused(true);
    const auto answer = nodes.mesh.ask(nodes.ingress, "GET", "/archive/1");
    nodes.mesh.runFor({ 400 });
    nodes.relay.setPaused(false);
    REQUIRE(nodes.mesh.run([&] { return answer->done; }));
    CHECK(longTransits() == before + 1);
}

// Guards against short answers that wait for seconds on a full link behind large ones that were ready before them.
TEST_CASE("a short answer passes large ones on a full link", "[edge]")
{
    constexpr int archives = 12;
    NodesWithRelay nodes(archives);
    TestMesh& mesh = nodes.mesh;
    nodes.relay.setRate(750 * 1000);
    nodes.upstream.bodyBytes = 90 * 1000;
    std::vector<std::shared_ptr<TestAnswer>> large;
    large.reserve(archives);
    for (int n = 0; n < archives; ++n)
        large.push_back(mesh.ask(nodes.ingress, "GET", "/archive/" + std::to_string(n)));
    REQUIRE(mesh.run([&] { return dumpOf(mesh, nodes.owner)["owner"]["load"]["running"].get<int>() == 0 && nodes.upstream.runs == archives + 1; }));
    const auto received = [&] { return std::count_if(large.begin(), large.end(), [](const auto& it) { return it->done; }); };
    const auto before = received();
    CHECK(nodes.owner.node->metrics().find("appletally_answer_waiting_bytes 0\n") == std::string::npos);

    nodes.upstream.bodyBytes = 1000;
    const auto shortAnswer = mesh.ask(nodes.ingress, "GET", "/berths/7");
    REQUIRE(mesh.run([&] { return shortAnswer->done; }));
    CHECK(shortAnswer->status == 200);
    CHECK(received() - before <= 2);
    REQUIRE(mesh.run([&] { return received() == archives; }));
    for (const auto& it : large) {
        CHECK(it->status == 200);
        CHECK(it->body.size() == 90 * 1000);
    }
    CHECK(nodes.owner.node->metrics().find("appletally_answer_waiting_bytes 0\n") != std::string::npos);
}

// Guards against calls that wait for a whole body because they share its link.
TEST_CASE("short calls wait for no more than the window of an upload on a full link", "[edge][large-body]")
{
    constexpr size_t uploadBytes = 2'000'000;
    NodesWithRelay nodes;
    nodes.mesh.edit = [](config::Snapshot& it) {
        it.callerLimits.body = { 8'000'000 };
        config::Route& archive = it.routes.at({ "consumption-archive" });
        archive.method = "POST";
        archive.maxRequestBody = it.callerLimits.body;
    };
    nodes.mesh.applyEverywhere("examples/berthgrid.json");
    nodes.relay.setRateToTarget(2'000'000);
    const base::Time begin = base::steadyNow();
    const auto upload = nodes.mesh.ask(nodes.ingress, "POST", "/archive/1", {}, std::string(uploadBytes, 'x'));
    base::Duration slowest;
    int reads = 0;
    for (; !upload->done; ++reads) {
        const base::Time sent = base::steadyNow();
        const auto read = nodes.mesh.ask(nodes.ingress, "GET", "/berths/" + std::to_string(reads));
        REQUIRE(nodes.mesh.run([&] { return read->done; }));
        CHECK(read->status == 200);
        slowest = std::max(slowest, base::steadyNow() - sent);
    }
    CHECK(upload->status == 200);
    CHECK(reads > 10);
    const base::Duration perWindow { (base::steadyNow() - begin).ms * static_cast<int64_t>(node::bodyWindowBytes) / static_cast<int64_t>(uploadBytes) };
    CHECK(slowest.ms < 2 * perWindow.ms);
}

// Guards against a read that is given up after a second of silence although nothing else can answer it: its upstream is at
// work, its node's link is congested, and there is no other upstream, or none that takes it.
TEST_CASE("a read goes on over a silent link unless another upstream answers it", "[edge]")
{
    NodesWithRelay nodes;
    TestMesh& mesh = nodes.mesh;
    const bool withAnother = GENERATE(false, true);
    if (withAnother) { // its node has ended, and its record has not expired
        config::Endpoint gone = endpointOf(nodes.owner, PausableRelay(mesh.loop(), {}).address);
        gone.host = { "gone" };
        nodes.ingress.fromControl.send(inner::EndpointsChanged { { gone } });
    }

    nodes.relay.setPaused(true);
    const auto answer = mesh.ask(nodes.ingress, "GET", "/archive/1", { "Request-Tag: late" });
    mesh.runFor({ 1400 }); // longer than a link counts as fresh
    CHECK_FALSE(answer->done);
    nodes.relay.setPaused(false);
    REQUIRE(mesh.run([&] { return answer->done; }));
    CHECK(answer->status == 200);
    CHECK(answer->body == "late");
    CHECK(nodes.upstream.runs == 2);
}

// Guards against an answer that is cut by a reset: it has left the node's memory, and still waits in the system's buffers
// for a congested caller when the node closes the connection.
TEST_CASE("a connection is closed only after the caller's system has the whole last answer", "[edge]")
{
    Edge edge;
    edge.upstream->bodyBytes = 1024 * 1024;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const int receiveBufferBytes = 64 * 1024;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    const sockaddr_in to = PausableRelay::loopback(edge.node->addresses.callers.port);
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    const std::string request = "GET /archive/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    REQUIRE(::write(fd, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
    edge.mesh.runFor({ 1600 }); // the caller reads nothing
    REQUIRE(::write(fd, "G", 1) == 1); // a closed connection would be reset by this
    edge.mesh.runFor({ 50 });

    evutil_make_socket_nonblocking(fd);
    size_t got = 0;
    bool ended = false;
    for (int n = 0; n < 1000 && !ended; ++n) {
        char bytes[64 * 1024];
        ssize_t count = 0;
        while ((count = ::read(fd, bytes, sizeof bytes)) > 0)
            got += static_cast<size_t>(count);
        ended = count == 0;
        edge.mesh.runFor({ 1 });
    }
    ::close(fd);
    CHECK(ended);
    CHECK(got > edge.upstream->bodyBytes);
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
