// The callers' listener in isolation: request framing, order of answers, and detection of disconnects.
#include "appletally/http/caller_listener.h"

#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/bufferevent.h>
#include <functional>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace appletally;

namespace {

// A listener whose requests stay unanswered until the test answers them.
struct ListenerFixture {
    event_base* loop = event_base_new();
    std::vector<http::CallerExchange*> waiting;
    std::vector<std::string> targets; // of all requests passed to onRequest
    std::vector<std::string> bodies;
    int gone = 0;
    std::unique_ptr<http::CallerListener> listener;
    base::Address address;
    std::vector<bufferevent*> connections;

    explicit ListenerFixture(http::ListenerLimits limits = {})
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

    ~ListenerFixture()
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
    std::string received;
    bool closed = false;

    explicit Caller(ListenerFixture& fixture)
        : buffers(bufferevent_socket_new(fixture.loop, -1, BEV_OPT_CLOSE_ON_FREE))
    {
        fixture.connections.push_back(buffers);
        bufferevent_setcb(
            buffers, [](bufferevent* it, void* self) {
                char bytes[4096];
                size_t n = 0;
                while ((n = bufferevent_read(it, bytes, sizeof bytes)) > 0)
                    static_cast<Caller*>(self)->received.append(bytes, n); },
            nullptr, [](bufferevent*, short what, void* self) { static_cast<Caller*>(self)->closed |= (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0; }, this);
        bufferevent_enable(buffers, EV_READ | EV_WRITE);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(fixture.address.port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_socket_connect(buffers, reinterpret_cast<sockaddr*>(&to), sizeof to);
    }
    void send(const std::string& bytes) const { bufferevent_write(buffers, bytes.data(), bytes.size()); }
    void closeSocket() const
    {
        evutil_closesocket(bufferevent_getfd(buffers));
        bufferevent_setfd(buffers, -1);
    }
    bool has(const std::string& text) const { return received.find(text) != std::string::npos; }
};

std::string get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

} // namespace

TEST_CASE("pipelined requests run concurrently, and their answers keep the order", "[listener]")
{
    // Guards against running pipelined requests one at a time, which takes three times as long here, and against sending
    // answers in the order of completion, which assigns them to the wrong requests.
    ListenerFixture fixture;
    Caller caller(fixture);
    caller.send(get("/1") + get("/2") + get("/3"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 3; }));
    fixture.answer("/3");
    fixture.answer("/1");
    REQUIRE(fixture.run([&] { return caller.has("answer to /1"); }));
    CHECK_FALSE(caller.has("answer to /3"));
    fixture.answer("/2");
    REQUIRE(fixture.run([&] { return caller.has("answer to /3"); }));
    CHECK(caller.received.find("/1") < caller.received.find("/2"));
    CHECK(caller.received.find("/2") < caller.received.find("/3"));
}

TEST_CASE("a request that must not be repeated waits for the answers before it", "[listener]")
{
    // Requests after an answer that closes the connection count as not read, so the caller sends them again. A POST that
    // had already started would run twice.
    ListenerFixture fixture;
    Caller caller(fixture);
    caller.send(get("/1") + "POST /plug HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\non" + get("/2"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 1; }));
    CHECK_FALSE(fixture.run([&] { return fixture.waiting.size() > 1; }, { 50 }));
    fixture.answer("/1");
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 2; }));
    CHECK(fixture.targets == std::vector<std::string> { "/1", "/plug", "/2" });
    CHECK(fixture.bodies[1] == "on");
}

TEST_CASE("a chunked body arrives complete even if it is received byte by byte", "[listener]")
{
    ListenerFixture fixture;
    Caller caller(fixture);
    const std::string bytes = "POST /plug HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n" + get("/next");
    for (const char it : bytes) {
        caller.send(std::string(1, it));
        fixture.run([] { return false; }, { 1 });
    }
    REQUIRE(fixture.run([&] { return fixture.targets.size() == 2 || !fixture.waiting.empty(); }));
    CHECK(fixture.bodies[0] == "abcdefg");
    fixture.answer("/plug");
    REQUIRE(fixture.run([&] { return fixture.targets.size() == 2; }));
    CHECK(fixture.targets[1] == "/next");
}

TEST_CASE("a request with ambiguous framing is rejected, and a request hidden in it never runs", "[listener]")
{
    // Guards against request smuggling: of two lengths, one program uses the first and reads the following bytes as a
    // second request, which runs without admission and whose answer goes to the next caller.
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
        ListenerFixture fixture;
        Caller caller(fixture);
        caller.send(it);
        REQUIRE(fixture.run([&] { return caller.closed; }));
        CHECK(caller.has("HTTP/1.1 400"));
        CHECK(caller.has("Connection: close"));
        CHECK(fixture.targets.empty());
    }
}

TEST_CASE("a disconnect is detected while the caller's requests run", "[listener]")
{
    // Guards against detecting a disconnect only when the answer is written: until then the request holds a slot that
    // another caller waits for.
    ListenerFixture fixture;
    auto caller = std::make_unique<Caller>(fixture);
    caller->send(get("/1") + get("/2"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 2; }));
    caller->closeSocket();
    CHECK(fixture.run([&] { return fixture.gone == 2; }, { 300 }));
    CHECK(fixture.listener->counts().connections == 0);
}

TEST_CASE("a graceful shutdown answers received requests and closes with the last answer", "[listener]")
{
    // Guards against losing queued answers on shutdown: an answer that closes the connection before the last one discards
    // those after it.
    ListenerFixture fixture;
    Caller busy(fixture);
    Caller idle(fixture);
    busy.send(get("/1") + get("/2"));
    idle.send(get("/idle"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 3; }));
    fixture.answer("/idle");
    fixture.listener->setDraining(true);
    fixture.answer("/1");
    REQUIRE(fixture.run([&] { return busy.has("answer to /1"); }));
    CHECK_FALSE(busy.has("Connection: close"));
    fixture.listener->stopAccepting();
    fixture.listener->closeIdle();
    REQUIRE(fixture.run([&] { return idle.closed; }));
    fixture.answer("/2");
    REQUIRE(fixture.run([&] { return busy.closed; }));
    CHECK(busy.has("answer to /2"));
    CHECK(busy.has("Connection: close"));
    CHECK(fixture.gone == 0);
}

// Guards against a shutdown that closes an idle connection without reading a request already in its socket.
TEST_CASE("a graceful shutdown answers an unread request on an idle connection", "[listener]")
{
    ListenerFixture fixture;
    Caller caller(fixture);
    caller.send(get("/1"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 1; }));
    fixture.answer("/1");
    REQUIRE(fixture.run([&] { return caller.has("answer to /1"); }));
    const std::string unread = get("/2");
    REQUIRE(::send(bufferevent_getfd(caller.buffers), unread.data(), unread.size(), 0) == static_cast<ssize_t>(unread.size()));
    fixture.listener->setDraining(true);
    fixture.listener->stopAccepting();
    fixture.listener->closeIdle();
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 1; }));
    fixture.answer("/2");
    REQUIRE(fixture.run([&] { return caller.closed; }));
    CHECK(caller.has("answer to /2"));
    CHECK(caller.has("Connection: close"));
}

// Guards against "Connection: close" decided while the answer is still held back: the caller cannot know of it, sends further
// requests, and they were started and then dropped.
TEST_CASE("a request that is started behind held answers during a graceful shutdown gets its answer", "[listener]")
{
    ListenerFixture fixture;
    Caller caller(fixture);
    caller.send(get("/1") + get("/2"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 2; }));
    fixture.listener->setDraining(true);
    fixture.answer("/2");
    caller.send(get("/3"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 2; }));
    fixture.answer("/1");
    REQUIRE(fixture.run([&] { return caller.has("answer to /2"); }));
    CHECK_FALSE(caller.has("Connection: close"));
    CHECK(fixture.gone == 0);
    fixture.answer("/3");
    REQUIRE(fixture.run([&] { return caller.closed; }));
    CHECK(caller.has("answer to /3"));
    CHECK(caller.has("Connection: close"));
}

// Guards against a caller that sends on and on while answers are due, so that its connection never closes, and against dropping
// what was started for it.
TEST_CASE("a shutdown that accepts nothing more closes a connection behind its last started request", "[listener]")
{
    ListenerFixture fixture;
    Caller caller(fixture);
    caller.send(get("/1") + get("/2") + get("/3"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 3; }));
    fixture.answer("/3");
    fixture.listener->setDraining(true);
    fixture.listener->stopAccepting();
    fixture.answer("/1");
    REQUIRE(fixture.run([&] { return caller.has("answer to /1"); }));
    caller.send(get("/4"));
    fixture.run([] { return false; }, { 50 });
    fixture.answer("/2");
    REQUIRE(fixture.run([&] { return caller.closed; }));
    CHECK(caller.has("answer to /2"));
    CHECK(caller.has("answer to /3"));
    CHECK(caller.received.find("Connection: close") > caller.received.find("answer to /2"));
    CHECK(fixture.targets.size() == 3);
    CHECK(fixture.gone == 0);
}

// Guards against starting requests behind one whose answer closes the connection: the caller's own close, an answer to HTTP/1.0
// without a length, and a streamed answer that has announced the close.
TEST_CASE("nothing is started behind a request that ends its connection", "[listener]")
{
    ListenerFixture fixture;
    Caller closing(fixture);
    closing.send("GET /close HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/behind"));
    Caller old(fixture);
    old.send("GET /old HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n" + get("/behind"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() >= 2; }));
    fixture.run([] { return false; }, { 50 });
    CHECK(fixture.targets.size() == 2);
    fixture.answer("/close");
    REQUIRE(fixture.run([&] { return closing.closed; }));
    CHECK(closing.has("answer to /close"));

    Caller streamed(fixture);
    streamed.send(get("/stream"));
    REQUIRE(fixture.run([&] { return fixture.waiting.back()->request().target == "/stream"; }));
    fixture.listener->setDraining(true);
    http::CallerExchange* exchange = fixture.waiting.back();
    fixture.waiting.pop_back();
    exchange->onGone = nullptr;
    exchange->startStream(200, {}, -1);
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, "first", 5);
    exchange->streamBody(body);
    REQUIRE(fixture.run([&] { return streamed.has("Connection: close"); }));
    streamed.send(get("/behind"));
    fixture.run([] { return false; }, { 50 });
    evbuffer_add(body, "last", 4);
    exchange->streamBody(body);
    evbuffer_free(body);
    exchange->endStream();
    REQUIRE(fixture.run([&] { return streamed.closed; }));
    CHECK(streamed.has("last"));
    CHECK(std::count(fixture.targets.begin(), fixture.targets.end(), "/behind") == 0);
    CHECK(fixture.gone == 0);
}

// Guards against an invalid request that takes the answers of the requests in front of it along.
TEST_CASE("the requests in front of an invalid one are answered first", "[listener]")
{
    ListenerFixture fixture;
    Caller caller(fixture);
    caller.send(get("/1") + get("/2") + "BREW /3 HTTP/1.1\r\nHost: a\r\n\r\n" + get("/4"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 2; }));
    fixture.answer("/2");
    fixture.answer("/1");
    REQUIRE(fixture.run([&] { return caller.closed; }));
    CHECK(caller.received.find("answer to /1") < caller.received.find("answer to /2"));
    CHECK(caller.received.find("answer to /2") < caller.received.find("HTTP/1.1 400"));
    CHECK(fixture.targets.size() == 2);
}

// Guards against answers that wait behind a slow one and take the memory of the node, which then ends with all its callers.
TEST_CASE("nothing is started behind others while the waiting answers take all the memory for them", "[listener]")
{
    ListenerFixture fixture({ .maxHeldBytes = 20 });
    Caller caller(fixture);
    caller.send(get("/1") + get("/2") + get("/3"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 3; }));
    fixture.answer("/2");
    fixture.answer("/3");
    CHECK(fixture.listener->heldBytes() == 2 * std::string("answer to /2").size());
    caller.send(get("/4"));
    fixture.run([] { return false; }, { 50 });
    CHECK(fixture.targets.size() == 3);
    fixture.answer("/1");
    REQUIRE(fixture.run([&] { return fixture.targets.size() == 4; }));
    CHECK(fixture.listener->heldBytes() == 0);
    CHECK(fixture.run([&] { return caller.has("answer to /3"); }));
}

TEST_CASE("limits may change while callers are connected", "[listener]")
{
    // Guards against open connections that keep the old limits after a new configuration lowers them.
    ListenerFixture fixture;
    Caller caller(fixture);
    caller.send(get("/1"));
    REQUIRE(fixture.run([&] { return fixture.waiting.size() == 1; }));
    fixture.answer("/1");
    http::ListenerLimits limits;
    limits.maxHeaderBytes = 200;
    fixture.listener->setLimits(limits);
    caller.send("GET /2 HTTP/1.1\r\nHost: a\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
    REQUIRE(fixture.run([&] { return caller.closed; }));
    CHECK(caller.has("HTTP/1.1 431"));
    CHECK(fixture.targets.size() == 1);
}

TEST_CASE("a request head over its timeout is answered with 408, and an idle connection is closed", "[listener]")
{
    ListenerFixture fixture({ .headerTimeout = { 100 }, .idleTimeout = { 100 } });
    Caller slow(fixture);
    slow.send("GET /1 HTTP/1.1\r\n");
    Caller idle(fixture);
    REQUIRE(fixture.run([&] { return slow.closed && idle.closed; }));
    CHECK(slow.has("HTTP/1.1 408"));
    CHECK(idle.received.empty());
}
