// The callers' listener by itself: what is one request, in which order answers go out, and when a caller's leaving shows.
#include "appletally/http/caller_listener.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/bufferevent.h>
#include <functional>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace appletally;

namespace {

// A listener whose requests wait until the test answers them.
struct Port {
    event_base* loop = event_base_new();
    std::vector<http::CallerExchange*> waiting;
    std::vector<std::string> targets; // of all requests that were handed over
    std::vector<std::string> bodies;
    int gone = 0;
    std::unique_ptr<http::CallerListener> listener;
    base::Address address;
    std::vector<bufferevent*> connections;

    explicit Port(http::ListenerLimits limits = {})
    {
        http::CallerListener::Hooks hooks;
        hooks.bodyLimit = [](const http::CallerRequest&) { return size_t { 1024 }; };
        hooks.mayOverlap = [](const http::CallerRequest& it) { return it.method == "GET"; };
        hooks.onRequest = [this](http::CallerExchange& it) {
            targets.push_back(it.request().target);
            bodies.push_back(it.request().body);
            waiting.push_back(&it);
            it.onGone = [this, &it] {
                ++gone;
                std::erase(waiting, &it);
            };
        };
        listener = std::make_unique<http::CallerListener>(loop, limits, std::move(hooks));
        address = listener->listen({ "127.0.0.1", 0 }).value();
    }

    ~Port()
    {
        for (bufferevent* it : connections)
            bufferevent_free(it);
        listener.reset();
        event_base_free(loop);
    }

    void answer(const std::string& target)
    {
        const auto it = std::find_if(waiting.begin(), waiting.end(), [&](const auto* each) { return each->request().target == target; });
        REQUIRE(it != waiting.end());
        http::CallerExchange* exchange = *it;
        waiting.erase(it);
        exchange->onGone = nullptr;
        exchange->reply(200, {}, "answer to " + target);
    }

    bool run(const std::function<bool()>& done, base::Duration limit = { 3000 })
    {
        const base::Time end = base::steadyNow() + limit;
        while (!done()) {
            if (base::steadyNow() > end)
                return false;
            const timeval tick { 0, 5000 };
            event_base_loopexit(loop, &tick);
            event_base_dispatch(loop);
        }
        return true;
    }
};

struct Caller {
    bufferevent* buffers;
    std::string got;
    bool closed = false;

    explicit Caller(Port& port)
        : buffers(bufferevent_socket_new(port.loop, -1, BEV_OPT_CLOSE_ON_FREE))
    {
        port.connections.push_back(buffers);
        bufferevent_setcb(
            buffers, [](bufferevent* it, void* self) {
                char bytes[4096];
                size_t n = 0;
                while ((n = bufferevent_read(it, bytes, sizeof bytes)) > 0)
                    static_cast<Caller*>(self)->got.append(bytes, n); },
            nullptr, [](bufferevent*, short what, void* self) { static_cast<Caller*>(self)->closed |= (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0; }, this);
        bufferevent_enable(buffers, EV_READ | EV_WRITE);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(port.address.port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_socket_connect(buffers, reinterpret_cast<sockaddr*>(&to), sizeof to);
    }
    void send(const std::string& bytes) const { bufferevent_write(buffers, bytes.data(), bytes.size()); }
    void leave() const
    {
        evutil_closesocket(bufferevent_getfd(buffers));
        bufferevent_setfd(buffers, -1);
    }
    bool has(const std::string& text) const { return got.find(text) != std::string::npos; }
};

std::string get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

} // namespace

TEST_CASE("requests sent behind each other run side by side, and their answers keep the order", "[listener]")
{
    // A harbour master's page asks for three berths in one write. Answered one at a time it takes three times as long;
    // answered as they finish, each berth would show another one's status.
    Port port;
    Caller caller(port);
    caller.send(get("/1") + get("/2") + get("/3"));
    REQUIRE(port.run([&] { return port.waiting.size() == 3; }));
    port.answer("/3");
    port.answer("/1");
    REQUIRE(port.run([&] { return caller.has("answer to /1"); }));
    CHECK_FALSE(caller.has("answer to /3"));
    port.answer("/2");
    REQUIRE(port.run([&] { return caller.has("answer to /3"); }));
    CHECK(caller.got.find("/1") < caller.got.find("/2"));
    CHECK(caller.got.find("/2") < caller.got.find("/3"));
}

TEST_CASE("what may not be repeated waits until the answers before it are out", "[listener]")
{
    // Behind an answer that closes the connection everything counts as not read, and the caller sends it again. A plug
    // command that had begun to run by then would run twice.
    Port port;
    Caller caller(port);
    caller.send(get("/1") + "POST /plug HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\non" + get("/2"));
    REQUIRE(port.run([&] { return port.waiting.size() == 1; }));
    CHECK_FALSE(port.run([&] { return port.waiting.size() > 1; }, { 50 }));
    port.answer("/1");
    REQUIRE(port.run([&] { return port.waiting.size() == 2; }));
    CHECK(port.targets == std::vector<std::string> { "/1", "/plug", "/2" });
    CHECK(port.bodies[1] == "on");
}

TEST_CASE("a body in chunks arrives whole, also in pieces", "[listener]")
{
    Port port;
    Caller caller(port);
    const std::string bytes = "POST /plug HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n" + get("/next");
    for (const char it : bytes) {
        caller.send(std::string(1, it));
        port.run([] { return false; }, { 1 });
    }
    REQUIRE(port.run([&] { return port.targets.size() == 2 || !port.waiting.empty(); }));
    CHECK(port.bodies[0] == "abcdefg");
    port.answer("/plug");
    REQUIRE(port.run([&] { return port.targets.size() == 2; }));
    CHECK(port.targets[1] == "/next");
}

TEST_CASE("a request that two programs could cut in different places is refused, and what it hides never runs", "[listener]")
{
    // Somebody sends a request with two lengths. One program on the way takes the first and reads what follows as a second
    // request, which nobody admitted and whose answer goes to the next caller.
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\n";
    const std::string cases[] = {
        head + "Content-Length: 0\r\nContent-Length: 33\r\n\r\n" + hidden,
        head + "Content-Length: 33\r\nContent-Length: 33\r\n\r\n" + hidden,
        head + "Content-Length: 33\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
        head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden,
        head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden,
        head + "Content-Length : 0\r\n\r\n" + hidden,
        head + "Content-Length: 0\r\n folded: 1\r\n\r\n" + hidden,
        head + "Content-Length: 0\n\r\n" + hidden,
        head + "X: a\rb\r\n\r\n" + hidden,
        head + std::string("X: a\0b\r\n\r\n", 10) + hidden,
        head + "Host: b\r\n\r\n" + hidden,
        "GET /x HTTP/1.1\r\n\r\n" + hidden,
        "GET /x HTTP/1.1\n\n" + hidden,
        "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n" + hidden,
        "GET http://a/x HTTP/1.1\r\nHost: a\r\n\r\n" + hidden,
        head + "Content-Length: -1\r\n\r\n" + hidden,
        head + "Content-Length: 1x\r\n\r\n" + hidden,
    };
    for (const std::string& it : cases) {
        INFO(it);
        Port port;
        Caller caller(port);
        caller.send(it);
        REQUIRE(port.run([&] { return caller.closed; }));
        CHECK(caller.has("HTTP/1.1 400"));
        CHECK(caller.has("Connection: close"));
        CHECK(port.targets.empty());
    }
}

TEST_CASE("a caller that leaves while its requests run is noticed at once", "[listener]")
{
    // A member closes the page. What runs for it holds a slot that another one waits for; noticed only when the answer is
    // written, it holds it to the end.
    Port port;
    auto caller = std::make_unique<Caller>(port);
    caller->send(get("/1") + get("/2"));
    REQUIRE(port.run([&] { return port.waiting.size() == 2; }));
    caller->leave();
    CHECK(port.run([&] { return port.gone == 2; }, { 300 }));
    CHECK(port.listener->counts().connections == 0);
}

TEST_CASE("a stop answers what came and closes with the last answer", "[listener]")
{
    // A node is stopped for an update while callers keep their connections. An answer in the middle of a line that closed
    // the connection would take the answers behind it with it.
    Port port;
    Caller busy(port);
    Caller idle(port);
    busy.send(get("/1") + get("/2"));
    idle.send(get("/idle"));
    REQUIRE(port.run([&] { return port.waiting.size() == 3; }));
    port.answer("/idle");
    port.listener->setDraining(true);
    port.answer("/1");
    REQUIRE(port.run([&] { return busy.has("answer to /1"); }));
    CHECK_FALSE(busy.has("Connection: close"));
    port.listener->stopAccepting();
    port.listener->closeIdle();
    REQUIRE(port.run([&] { return idle.closed; }));
    port.answer("/2");
    REQUIRE(port.run([&] { return busy.closed; }));
    CHECK(busy.has("answer to /2"));
    CHECK(busy.has("Connection: close"));
    CHECK(port.gone == 0);
}

// Guards against a stop that closes an idle connection without reading a request already in its socket.
TEST_CASE("a stop answers an unread request on an idle connection", "[listener]")
{
    Port port;
    Caller caller(port);
    caller.send(get("/1"));
    REQUIRE(port.run([&] { return port.waiting.size() == 1; }));
    port.answer("/1");
    REQUIRE(port.run([&] { return caller.has("answer to /1"); }));
    const std::string unread = get("/2");
    REQUIRE(::send(bufferevent_getfd(caller.buffers), unread.data(), unread.size(), 0) == static_cast<ssize_t>(unread.size()));
    port.listener->setDraining(true);
    port.listener->stopAccepting();
    port.listener->closeIdle();
    REQUIRE(port.run([&] { return port.waiting.size() == 1; }));
    port.answer("/2");
    REQUIRE(port.run([&] { return caller.closed; }));
    CHECK(caller.has("answer to /2"));
    CHECK(caller.has("Connection: close"));
}

TEST_CASE("limits may change while callers are connected", "[listener]")
{
    // The configuration lowers what callers may send. A connection from before must not keep the old limit.
    Port port;
    Caller caller(port);
    caller.send(get("/1"));
    REQUIRE(port.run([&] { return port.waiting.size() == 1; }));
    port.answer("/1");
    http::ListenerLimits limits;
    limits.maxHeaderBytes = 200;
    port.listener->setLimits(limits);
    caller.send("GET /2 HTTP/1.1\r\nHost: a\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
    REQUIRE(port.run([&] { return caller.closed; }));
    CHECK(caller.has("HTTP/1.1 431"));
    CHECK(port.targets.size() == 1);
}

TEST_CASE("a head that takes too long is answered and closed, an idle connection is closed", "[listener]")
{
    Port port({ .headerTimeout = { 100 }, .idleTimeout = { 100 } });
    Caller slow(port);
    slow.send("GET /1 HTTP/1.1\r\n");
    Caller idle(port);
    REQUIRE(port.run([&] { return slow.closed && idle.closed; }));
    CHECK(slow.has("HTTP/1.1 408"));
    CHECK(idle.got.empty());
}
