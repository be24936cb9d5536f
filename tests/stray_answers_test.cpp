// Answers that nobody asked for, on connections to one upstream: the upstream client uses no connection that may hold one.
#include "scripted_upstream.h"

#include <catch2/catch.hpp>

using namespace upstream_test;

TEST_CASE("a command is not sent on a connection that has already ended", "[upstream-client]")
{
    // Guards against an end that waits in the socket while the next request is written: its outcome would be unknown.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    const bool resets = GENERATE(false, true);
    TestCall first(client, "a");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /a"); }));
    upstream.sendBytes(0, answer("a", "one"));
    REQUIRE(upstream.run([&] { return first.end.has_value(); }));
    upstream.close(0, resets);
    TestCall command(client, "b", false, "body");
    REQUIRE(upstream.run([&] { return command.end.has_value() || upstream.hasReceived(1, "POST /b"); }));
    CHECK_FALSE(command.end.has_value());
}

TEST_CASE("bytes that wait on an idle connection are not the answer to the next request", "[upstream-client]")
{
    // Guards against a second answer that has arrived but is not read yet when the connection is used again.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    TestCall first(client, "a");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /a"); }));
    upstream.sendBytes(0, answer("a", "one"));
    REQUIRE(upstream.run([&] { return first.end.has_value(); }));
    const std::string stray = answer("b", "stray"); // an upstream without ids could send any
    REQUIRE(send(bufferevent_getfd(upstream.connections[0]), stray.data(), stray.size(), 0) == static_cast<ssize_t>(stray.size()));
    TestCall next(client, "b");
    REQUIRE(upstream.run([&] { return next.end.has_value() || upstream.hasReceived(1, "GET /b"); }));
    CHECK_FALSE(next.end.has_value());
    CHECK(client.counts().unsolicitedBytes == 1);
}

TEST_CASE("an answer that is there before its request is written is none", "[upstream-client]")
{
    // Guards against an upstream whose answers are one request ahead: a new connection starts with another request's answer.
    ScriptedUpstream upstream;
    evconnlistener_disable(upstream.listener);
    http::UpstreamClient client(upstream.loop, upstream.address);
    TestCall testCall(client, "a");
    const int early = accept(evconnlistener_get_fd(upstream.listener), nullptr, nullptr);
    REQUIRE(early >= 0);
    const std::string stray = answer("a", "stray");
    REQUIRE(send(early, stray.data(), stray.size(), 0) == static_cast<ssize_t>(stray.size()));
    SECTION("the request goes to another connection")
    {
        evconnlistener_enable(upstream.listener);
        REQUIRE(upstream.run([&] { return testCall.end.has_value() || upstream.hasReceived(0, "GET /a"); }));
        CHECK_FALSE(testCall.end.has_value());
    }
    SECTION("an upstream that always sends first gets no request")
    {
        int second = -1;
        const base::Time limit = base::steadyNow() + base::Duration { 1000 };
        while (second < 0 && !testCall.end && base::steadyNow() < limit) {
            event_base_loop(upstream.loop, EVLOOP_ONCE | EVLOOP_NONBLOCK);
            second = accept(evconnlistener_get_fd(upstream.listener), nullptr, nullptr);
        }
        REQUIRE(second >= 0);
        REQUIRE(send(second, stray.data(), stray.size(), 0) == static_cast<ssize_t>(stray.size()));
        REQUIRE(upstream.run([&] { return testCall.end.has_value(); }));
        CHECK(testCall.code() == base::Code::NoUpstream);
        close(second);
    }
    close(early);
}

TEST_CASE("a connection without request ids rests before it is used again", "[upstream-client]")
{
    // Guards against a connection whose answers are one request late and that always has a request on its way when one comes:
    // each caller would get the answer of the one before it, and no byte would ever look stray.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    const auto start = [&](const std::string& target, bool& ended) {
        http::UpstreamHandler handler;
        handler.end = [&ended](const http::AnswerEnd&) { ended = true; };
        client.start({ "GET", target, {}, "", true, "", "" }, std::move(handler));
    };
    bool first = false, second = false, third = false;
    start("/a", first);
    upstream.run([] { return false; }, { 60 });
    upstream.sendBytes(0, answer("", "own"));
    REQUIRE(upstream.run([&] { return first; }));
    start("/b", second);
    REQUIRE(upstream.run([&] { return upstream.hasReceived(1, "GET /b"); }));
    upstream.sendBytes(1, answer("", "own"));
    REQUIRE(upstream.run([&] { return second; }));
    upstream.run([] { return false; }, { 120 });
    start("/c", third);
    REQUIRE(upstream.run([&] { return upstream.hasReceived(1, "GET /c"); }));
    CHECK(upstream.connections.size() == 2);
}

TEST_CASE("after bytes that nobody asked for, connections are used once until none have come for a time", "[upstream-client]")
{
    // Guards against an upstream that answers twice as a rule: each second answer would go to the next request.
    ScriptedUpstream upstream;
    http::ClientLimits limits;
    limits.singleUseTime = { 100 };
    http::UpstreamClient client(upstream.loop, upstream.address, limits);
    const auto ask = [&](size_t connection, const std::string& id, const std::string& stray) {
        TestCall testCall(client, id);
        REQUIRE(upstream.run([&] { return upstream.hasReceived(connection, "GET /" + id); }));
        upstream.sendBytes(connection, answer(id, "own") + stray);
        REQUIRE(upstream.run([&] { return testCall.end.has_value(); }));
        CHECK(testCall.body == "own");
    };
    ask(0, "a", "");
    ask(0, "b", answer("b", "stray"));
    CHECK(client.usesConnectionsOnce());
    ask(1, "c", "");
    ask(2, "d", "");
    upstream.run([] { return false; }, { 70 });
    upstream.sendBytes(1, answer("c", "stray")); // the connection is watched, and the time begins again
    upstream.run([] { return false; }, { 70 });
    CHECK(client.usesConnectionsOnce());
    ask(3, "e", "");
    CHECK(client.counts().unsolicitedBytes == 2);
    upstream.run([] { return false; }, { 150 });
    CHECK_FALSE(client.usesConnectionsOnce());
    ask(3, "f", "");
    ask(3, "g", "");
}
