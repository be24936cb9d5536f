// The client to the upstream against a scripted one: whose answer is whose, and which connections are kept.
#include "appletally/http/upstream_client.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <functional>
#include <netinet/in.h>

using namespace appletally;

namespace {

// An upstream that sends what the test says, byte for byte.
struct Script {
    event_base* loop = event_base_new();
    evconnlistener* listener = nullptr;
    base::Address address;
    std::vector<bufferevent*> connections; // in the order in which they came
    std::vector<std::string> received; // on each

    Script()
    {
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = evconnlistener_new_bind(
            loop, [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) { static_cast<Script*>(self)->accept(fd); }, this, LEV_OPT_CLOSE_ON_FREE, 16, reinterpret_cast<sockaddr*>(&to), sizeof to);
        socklen_t n = sizeof to;
        getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&to), &n);
        address = { "127.0.0.1", ntohs(to.sin_port) };
    }

    ~Script()
    {
        for (bufferevent* it : connections)
            bufferevent_free(it);
        evconnlistener_free(listener);
        event_base_free(loop);
    }

    void accept(evutil_socket_t fd)
    {
        bufferevent* made = bufferevent_socket_new(loop, fd, BEV_OPT_CLOSE_ON_FREE);
        connections.push_back(made);
        received.emplace_back();
        bufferevent_setcb(
            made, [](bufferevent* it, void* arg) {
                auto* self = static_cast<Script*>(arg);
                const auto at = std::find(self->connections.begin(), self->connections.end(), it) - self->connections.begin();
                char bytes[4096];
                size_t n = 0;
                while ((n = bufferevent_read(it, bytes, sizeof bytes)) > 0)
                    self->received[static_cast<size_t>(at)].append(bytes, n); },
            nullptr, nullptr, this);
        bufferevent_enable(made, EV_READ | EV_WRITE);
    }

    void say(size_t connection, const std::string& bytes) const { bufferevent_write(connections[connection], bytes.data(), bytes.size()); }
    void close(size_t connection, bool reset)
    {
        if (reset) {
            const linger now { 1, 0 };
            setsockopt(bufferevent_getfd(connections[connection]), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        evutil_closesocket(bufferevent_getfd(connections[connection]));
        bufferevent_setfd(connections[connection], -1);
    }
    bool got(size_t connection, const std::string& text) const { return received.size() > connection && received[connection].find(text) != std::string::npos; }

    bool run(const std::function<bool()>& done, base::Duration limit = { 3000 }) const
    {
        const base::Time end = base::steadyNow() + limit;
        while (!done()) {
            if (base::steadyNow() > end)
                return false;
            const timeval tick { 0, 2000 };
            event_base_loopexit(loop, &tick);
            event_base_dispatch(loop);
        }
        return true;
    }
};

struct Ask {
    http::UpstreamCall* call = nullptr;
    int status = 0;
    std::string body;
    std::optional<http::AnswerEnd> end;

    Ask(http::UpstreamClient& client, const std::string& id, bool idempotent = true, const std::string& sends = "")
    {
        http::UpstreamRequest request;
        request.method = sends.empty() ? "GET" : "POST";
        request.target = "/" + id;
        request.body = sends;
        request.idempotent = idempotent;
        request.headers = { { "X-Id", id }, { "Host", "a" } };
        request.idHeader = "X-Id";
        request.id = id;
        http::UpstreamHandler handler;
        handler.head = [this](const http::AnswerHead& head) { status = head.status; };
        handler.body = [this](evbuffer* buf) {
            const size_t n = evbuffer_get_length(buf);
            const size_t before = body.size();
            body.resize(before + n);
            evbuffer_remove(buf, body.data() + before, n);
        };
        handler.end = [this](const http::AnswerEnd& it) { end = it; };
        call = client.start(request, std::move(handler));
    }
    bool whole() const { return end && !end->error; }
    base::Code code() const { return end && end->error ? end->error->code : base::Code::Ok; }
};

std::string answer(const std::string& id, const std::string& body, const std::string& more = "")
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("an answer that repeats another request's id is nobody's, and the right one behind it is still taken", "[upstream-client]")
{
    // A run whose caller had given up ends late, on a connection that now carries another caller's request. Handed on, one
    // member would see another's choices.
    Script script;
    http::UpstreamClient client(script.loop, script.address);
    Ask ask(client, "b");
    REQUIRE(script.run([&] { return script.got(0, "GET /b"); }));
    script.say(0, answer("a", "of another") + answer("b", "right"));
    REQUIRE(script.run([&] { return ask.end.has_value(); }));
    CHECK(ask.whole());
    CHECK(ask.body == "right");
    CHECK(client.idleConnections() == 0); // who knows what else is on its way there
    CHECK(client.counts().unsolicitedAnswers == 1);
}

TEST_CASE("an answer without an id is not taken", "[upstream-client]")
{
    Script script;
    http::UpstreamClient client(script.loop, script.address);
    Ask ask(client, "a");
    REQUIRE(script.run([&] { return script.got(0, "GET /a"); }));
    script.say(0, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(script.run([&] { return ask.end.has_value(); }));
    CHECK(ask.code() == base::Code::InvalidUpstreamAnswer);
    CHECK(ask.status == 0);
}

TEST_CASE("a second answer behind the first closes the connection, also when it comes late", "[upstream-client]")
{
    // A faulty upstream answers twice. The second answer would be taken for that of the next request on the connection.
    Script script;
    http::UpstreamClient client(script.loop, script.address);
    Ask first(client, "a");
    REQUIRE(script.run([&] { return script.got(0, "GET /a"); }));
    script.say(0, answer("a", "one") + answer("a", "two"));
    REQUIRE(script.run([&] { return first.end.has_value(); }));
    CHECK(first.body == "one");
    CHECK(client.idleConnections() == 0);

    Ask second(client, "b");
    REQUIRE(script.run([&] { return script.got(1, "GET /b"); }));
    script.say(1, answer("b", "one"));
    REQUIRE(script.run([&] { return second.end.has_value(); }));
    CHECK(client.idleConnections() == 1);
    script.say(1, answer("b", "late"));
    REQUIRE(script.run([&] { return client.idleConnections() == 0; }));
    CHECK(client.counts().unsolicitedBytes == 2);
}

TEST_CASE("an answer without a length ends with its connection, but not with a reset", "[upstream-client]")
{
    // Cut short and shown as whole, a consumption archive would bill half a month.
    Script script;
    http::UpstreamClient client(script.loop, script.address);
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nsome bytes";
    Ask whole(client, "a");
    REQUIRE(script.run([&] { return script.got(0, "GET /a"); }));
    script.say(0, head);
    REQUIRE(script.run([&] { return !whole.body.empty(); }));
    script.close(0, false);
    REQUIRE(script.run([&] { return whole.end.has_value(); }));
    CHECK(whole.whole());
    CHECK(whole.body == "some bytes");

    Ask cut(client, "a");
    REQUIRE(script.run([&] { return script.got(1, "GET /a"); }));
    script.say(1, head);
    REQUIRE(script.run([&] { return !cut.body.empty(); }));
    script.close(1, true);
    REQUIRE(script.run([&] { return cut.end.has_value(); }));
    CHECK(cut.code() == base::Code::AnswerTruncated);
}

TEST_CASE("an answer cut before its length, and a connection closed without one, are told apart from a refusal", "[upstream-client]")
{
    Script script;
    http::UpstreamClient client(script.loop, script.address);
    Ask cut(client, "a");
    REQUIRE(script.run([&] { return script.got(0, "GET /a"); }));
    script.say(0, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 100\r\n\r\nhalf");
    script.run([&] { return !cut.body.empty(); });
    script.close(0, false);
    REQUIRE(script.run([&] { return cut.end.has_value(); }));
    CHECK(cut.code() == base::Code::AnswerTruncated);

    Ask silent(client, "b");
    REQUIRE(script.run([&] { return script.got(1, "GET /b"); }));
    script.close(1, false);
    REQUIRE(script.run([&] { return silent.end.has_value(); }));
    CHECK(silent.code() == base::Code::OutcomeUnknown);
    CHECK_FALSE(base::info(silent.code()).notRun);
}

TEST_CASE("an upstream that cannot be reached has run nothing", "[upstream-client]")
{
    Script script;
    const base::Address nobody { "127.0.0.1", 1 };
    http::UpstreamClient client(script.loop, nobody);
    Ask ask(client, "a");
    REQUIRE(script.run([&] { return ask.end.has_value(); }));
    CHECK(ask.code() == base::Code::NoUpstream);
    CHECK(base::info(ask.code()).notRun);
}

TEST_CASE("an upstream that answers before it has the whole body gets nothing else where the rest is due", "[upstream-client]")
{
    // It refuses a long request early and reads on. The next request on that connection would be read as the rest of the
    // body, and its head would run as part of another's command.
    Script script;
    http::UpstreamClient client(script.loop, script.address);
    Ask early(client, "a", false, std::string(16 * 1024 * 1024, 'x'));
    REQUIRE(script.run([&] { return script.got(0, "POST /a"); }));
    bufferevent_disable(script.connections[0], EV_READ); // the rest stays on the way
    script.say(0, answer("a", "too long"));
    REQUIRE(script.run([&] { return early.end.has_value(); }));
    CHECK(early.body == "too long");
    CHECK(client.idleConnections() == 0);
    Ask next(client, "b");
    REQUIRE(script.run([&] { return script.got(1, "GET /b"); }));
}

TEST_CASE("kept connections are used again as long as the upstream says, and sooner left where nothing may be repeated", "[upstream-client]")
{
    Script script;
    http::ClientLimits limits;
    limits.idleLifeOnce = { 30 };
    http::UpstreamClient client(script.loop, script.address, limits);
    Ask first(client, "a");
    REQUIRE(script.run([&] { return script.got(0, "GET /a"); }));
    script.say(0, answer("a", "x", "Keep-Alive: timeout=9\r\n"));
    REQUIRE(script.run([&] { return first.end.has_value(); }));
    Ask again(client, "b", false);
    REQUIRE(script.run([&] { return script.got(0, "GET /b"); }));
    script.say(0, answer("b", "x"));
    REQUIRE(script.run([&] { return again.end.has_value(); }));
    script.run([] { return false; }, { 60 });
    Ask once(client, "c", false);
    REQUIRE(script.run([&] { return script.got(1, "GET /c"); })); // the idle one may have died unnoticed
    script.say(1, answer("c", "x", "Keep-Alive: timeout=1\r\n")); // over by the time we count from
    REQUIRE(script.run([&] { return once.end.has_value(); }));
    Ask last(client, "d");
    REQUIRE(script.run([&] { return script.got(0, "GET /d"); }));
}

TEST_CASE("a cancelled request closes its connection, and its late answer reaches nobody", "[upstream-client]")
{
    Script script;
    http::UpstreamClient client(script.loop, script.address);
    Ask ask(client, "a");
    REQUIRE(script.run([&] { return script.got(0, "GET /a"); }));
    ask.call->cancel();
    script.say(0, answer("a", "late"));
    Ask next(client, "b");
    REQUIRE(script.run([&] { return script.got(1, "GET /b"); }));
    script.say(1, answer("b", "right"));
    REQUIRE(script.run([&] { return next.end.has_value(); }));
    CHECK(next.body == "right");
    CHECK_FALSE(ask.end.has_value());
}
