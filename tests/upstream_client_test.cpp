// The upstream client against a scripted upstream: matching of answers to requests, and reuse of connections.
#include "scripted_upstream.h"

#include <catch2/catch.hpp>

using namespace upstream_test;

TEST_CASE("an answer with another request's id is discarded, and the matching one after it is used", "[upstream-client]")
{
    // Guards against passing one caller's data to another: the answer to a cancelled request arrives late, on a connection
    // that now carries another caller's request.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    TestCall testCall(client, "b");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /b"); }));
    upstream.sendBytes(0, answer("a", "of another") + answer("b", "right"));
    REQUIRE(upstream.run([&] { return testCall.end.has_value(); }));
    CHECK(testCall.succeeded());
    CHECK(testCall.body == "right");
    CHECK(client.idleConnections() == 0); // further unsolicited bytes may follow
    CHECK(client.counts().unsolicitedAnswers == 1);
}

// Guards against an answer of another request, or a series of them, that never ends: the request behind it waited until its
// deadline, and its slot with it.
TEST_CASE("a request fails when answers to others in front of it do not end", "[upstream-client]")
{
    const std::string body(64 * 1024, 'x');
    const std::string starts[] = { "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 999999999\r\n\r\n", "" };
    const std::string repeated[] = { body, answer("a", "") };
    for (size_t n = 0; n < 2; ++n) {
        ScriptedUpstream upstream;
        http::UpstreamClient client(upstream.loop, upstream.address);
        TestCall testCall(client, "b");
        REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /b"); }));
        upstream.sendBytes(0, starts[n]);
        for (int sent = 0; sent < 100 && !testCall.end; ++sent) {
            upstream.sendBytes(0, repeated[n]);
            upstream.run([&] { return testCall.end.has_value(); }, { 5 });
        }
        CHECK(testCall.code() == base::Code::InvalidUpstreamAnswer);
        CHECK(client.counts().endlessAnswers == 1);
        CHECK(client.idleConnections() == 0);
    }
}

// Guards against limits that an ordinary upstream meets: some interim responses, and one late download of another request.
TEST_CASE("interim responses and a late large answer in front of an answer are skipped", "[upstream-client]")
{
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    TestCall testCall(client, "b");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /b"); }));
    for (int n = 0; n < 8; ++n)
        upstream.sendBytes(0, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    upstream.sendBytes(0, answer("a", std::string(2 * 1024 * 1024, 'x')) + answer("b", "right"));
    REQUIRE(upstream.run([&] { return testCall.end.has_value(); }));
    CHECK(testCall.succeeded());
    CHECK(testCall.body == "right");
}

TEST_CASE("an answer without the request id is an error", "[upstream-client]")
{
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    TestCall testCall(client, "a");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /a"); }));
    upstream.sendBytes(0, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(upstream.run([&] { return testCall.end.has_value(); }));
    CHECK(testCall.code() == base::Code::InvalidUpstreamAnswer);
    CHECK(testCall.status == 0);
}

TEST_CASE("a second answer to one request closes the connection, even if it arrives late", "[upstream-client]")
{
    // Guards against an upstream that answers twice: the second answer would be taken for that to the next request.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    TestCall first(client, "a");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /a"); }));
    upstream.sendBytes(0, answer("a", "one") + answer("a", "two"));
    REQUIRE(upstream.run([&] { return first.end.has_value(); }));
    CHECK(first.body == "one");
    CHECK(client.idleConnections() == 0);

    TestCall second(client, "b");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(1, "GET /b"); }));
    upstream.sendBytes(1, answer("b", "one"));
    REQUIRE(upstream.run([&] { return second.end.has_value(); }));
    CHECK(client.idleConnections() == 1);
    upstream.sendBytes(1, answer("b", "late"));
    REQUIRE(upstream.run([&] { return client.idleConnections() == 0; }));
    CHECK(client.counts().unsolicitedBytes == 2);
}

TEST_CASE("an answer without a length is complete when the connection closes, but not after a reset", "[upstream-client]")
{
    // Guards against treating a truncated answer as complete, such as billing from half of a month's consumption data.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nsome bytes";
    TestCall complete(client, "a");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /a"); }));
    upstream.sendBytes(0, head);
    REQUIRE(upstream.run([&] { return !complete.body.empty(); }));
    upstream.close(0, false);
    REQUIRE(upstream.run([&] { return complete.end.has_value(); }));
    CHECK(complete.succeeded());
    CHECK(complete.body == "some bytes");

    TestCall cut(client, "a");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(1, "GET /a"); }));
    upstream.sendBytes(1, head);
    REQUIRE(upstream.run([&] { return !cut.body.empty(); }));
    upstream.close(1, true);
    REQUIRE(upstream.run([&] { return cut.end.has_value(); }));
    CHECK(cut.code() == base::Code::AnswerTruncated);
}

TEST_CASE("a truncated answer and a connection closed without an answer are not reported as rejections", "[upstream-client]")
{
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    TestCall cut(client, "a");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /a"); }));
    upstream.sendBytes(0, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 100\r\n\r\nhalf");
    upstream.run([&] { return !cut.body.empty(); });
    upstream.close(0, false);
    REQUIRE(upstream.run([&] { return cut.end.has_value(); }));
    CHECK(cut.code() == base::Code::AnswerTruncated);

    TestCall silent(client, "b");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(1, "GET /b"); }));
    upstream.close(1, false);
    REQUIRE(upstream.run([&] { return silent.end.has_value(); }));
    CHECK(silent.code() == base::Code::OutcomeUnknown);
    CHECK_FALSE(base::info(silent.code()).notRun);
}

TEST_CASE("a request to an unreachable upstream is reported as not run", "[upstream-client]")
{
    ScriptedUpstream upstream;
    const base::Address unusedAddress { "127.0.0.1", 1 };
    http::UpstreamClient client(upstream.loop, unusedAddress);
    TestCall testCall(client, "a");
    REQUIRE(upstream.run([&] { return testCall.end.has_value(); }));
    CHECK(testCall.code() == base::Code::NoUpstream);
    CHECK(base::info(testCall.code()).notRun);
}

TEST_CASE("a connection whose answer came before the whole body was sent is not reused", "[upstream-client]")
{
    // Guards against an upstream that rejects a long request early and keeps reading: it would read the next request on
    // that connection as the rest of the body.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    TestCall early(client, "a", false, std::string(16 * 1024 * 1024, 'x'));
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "POST /a"); }));
    bufferevent_disable(upstream.connections[0], EV_READ); // the rest of the body stays unsent
    upstream.sendBytes(0, answer("a", "too long"));
    REQUIRE(upstream.run([&] { return early.end.has_value(); }));
    CHECK(early.body == "too long");
    CHECK(client.idleConnections() == 0);
    TestCall next(client, "b");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(1, "GET /b"); }));
}

TEST_CASE("idle connections are reused up to the upstream's timeout, and for less time if the request must not be repeated", "[upstream-client]")
{
    ScriptedUpstream upstream;
    http::ClientLimits limits;
    limits.maxIdleTimeNotIdempotent = { 30 };
    http::UpstreamClient client(upstream.loop, upstream.address, limits);
    TestCall first(client, "a");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /a"); }));
    upstream.sendBytes(0, answer("a", "x", "Keep-Alive: timeout=9\r\n"));
    REQUIRE(upstream.run([&] { return first.end.has_value(); }));
    TestCall again(client, "b", false);
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /b"); }));
    upstream.sendBytes(0, answer("b", "x"));
    REQUIRE(upstream.run([&] { return again.end.has_value(); }));
    upstream.run([] { return false; }, { 60 });
    TestCall once(client, "c", false);
    REQUIRE(upstream.run([&] { return upstream.hasReceived(1, "GET /c"); })); // the idle one may already be closed
    upstream.sendBytes(1, answer("c", "x", "Keep-Alive: timeout=1\r\n")); // at most the safety margin: expires immediately
    REQUIRE(upstream.run([&] { return once.end.has_value(); }));
    TestCall last(client, "d");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /d"); }));
}

TEST_CASE("cancelling a request closes its connection, and its late answer is discarded", "[upstream-client]")
{
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    TestCall testCall(client, "a");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /a"); }));
    testCall.call.lock()->cancel();
    upstream.sendBytes(0, answer("a", "late"));
    TestCall next(client, "b");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(1, "GET /b"); }));
    upstream.sendBytes(1, answer("b", "right"));
    REQUIRE(upstream.run([&] { return next.end.has_value(); }));
    CHECK(next.body == "right");
    CHECK_FALSE(testCall.end.has_value());
}

TEST_CASE("a process that closes a new connection before it stops listening counts as ended", "[upstream-client]")
{
    // At the end of a process its listening socket may be the last that closes, so one accepted connection proves nothing.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    upstream.ending = true;
    std::optional<bool> listening;
    client.checkListening([&](bool it) { listening = it; });
    REQUIRE(upstream.run([&] { return listening.has_value(); }));
    CHECK(listening == false);
}

TEST_CASE("a process that closes a new connection counts as ended also where the loop is late", "[upstream-client]")
{
    // Guards against a check whose time is over before the end that has arrived is read.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    upstream.ending = true;
    upstream.stall = { 20 };
    std::optional<bool> listening;
    client.checkListening([&](bool it) { listening = it; });
    REQUIRE(upstream.run([&] { return listening.has_value(); }));
    CHECK_FALSE(*listening);
}

TEST_CASE("a process that goes on listening does not count as ended, and the connection serves the next request", "[upstream-client]")
{
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    std::optional<bool> listening;
    client.checkListening([&](bool it) { listening = it; });
    REQUIRE(upstream.run([&] { return listening.has_value(); }));
    CHECK(listening == true);
    client.start({ "GET", "/berths/1", {}, "", true, "", "" }, {});
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /berths/1"); }));
    CHECK(upstream.connections.size() == 1);
}

namespace {

constexpr uint64_t windowBytes = 64 * 1024;

constexpr uint64_t uploadBytes = 32'000'000; // more than the system's socket buffers take

// A call with a large body that is supplied as the client asks for it.
struct Upload {
    std::shared_ptr<http::UpstreamCall> call;
    uint64_t requested = 0;
    int status = 0;
    bool ended = false;
    bool succeeded = false;

    Upload(http::UpstreamClient& client, const std::string& id)
    {
        http::UpstreamRequest request;
        request.method = "POST";
        request.target = "/" + id;
        request.headers = { { "X-Id", id }, { "Host", "a" } };
        request.bodyLength = uploadBytes;
        request.bodyWindow = windowBytes;
        http::UpstreamHandler handler;
        handler.head = [this](const http::AnswerHead& head) { status = head.status; };
        handler.end = [this](const http::AnswerEnd& it) {
            ended = true;
            succeeded = !it.error;
        };
        handler.wantBody = [this](uint64_t n) {
            requested += n;
            call->appendBody(std::string(n, 'x'));
        };
        call = client.start(request, std::move(handler)).lock();
    }
};

} // namespace

TEST_CASE("a large body is requested no faster than the upstream reads it", "[upstream-client][large-body]")
{
    // Guards against holding a whole body in the output buffer of a slow upstream.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    Upload upload(client, "1");
    REQUIRE(upstream.run([&] { return upstream.connections.size() == 1; }));
    bufferevent_disable(upstream.connections[0], EV_READ);
    upstream.run([] { return false; }, base::Duration { 100 });
    const uint64_t whileStalled = upload.requested;
    CHECK(whileStalled < uploadBytes);
    bufferevent_enable(upstream.connections[0], EV_READ);
    CHECK(upstream.run([&] { return upload.requested == uploadBytes && upstream.received[0].ends_with("xxx") && upstream.received[0].size() > uploadBytes; }));
    CHECK_FALSE(upload.call->appendBody("more than was requested"));
}

TEST_CASE("a connection whose upstream answered before it had the whole body carries no other request", "[upstream-client][large-body]")
{
    // Guards against sending the next request's bytes where the rest of a body is due.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    Upload upload(client, "1");
    REQUIRE(upstream.run([&] { return upstream.connections.size() == 1; }));
    bufferevent_disable(upstream.connections[0], EV_READ);
    upstream.sendBytes(0, answer("1", "early"));
    REQUIRE(upstream.run([&] { return upload.ended; }));
    CHECK(upload.status == 200);
    TestCall next(client, "2");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(1, "GET /2"); }));
}

TEST_CASE("an answer without a length is not complete if its connection is reset during the upload", "[upstream-client][large-body]")
{
    // Guards against a part of an answer that passes for the whole: the reset shows in what is written, the end in what is read.
    ScriptedUpstream upstream;
    const bool afterHead = GENERATE(false, true);
    for (size_t n = 0; n < 30; ++n) {
        http::UpstreamClient client(upstream.loop, upstream.address);
        Upload upload(client, "1");
        REQUIRE(upstream.run([&] { return upstream.connections.size() == n + 1; }));
        bufferevent_disable(upstream.connections[n], EV_READ);
        REQUIRE(upstream.run([&] { return upload.requested > windowBytes; }));
        const std::string part = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\na part";
        REQUIRE(send(bufferevent_getfd(upstream.connections[n]), part.data(), part.size(), 0) == static_cast<ssize_t>(part.size()));
        if (afterHead)
            REQUIRE(upstream.run([&] { return upload.status == 200; }));
        upstream.close(n, true);
        REQUIRE(upstream.run([&] { return upload.ended; }));
        CHECK_FALSE(upload.succeeded);
    }
}

TEST_CASE("an answer with an impossible status is an error at once", "[upstream-client]")
{
    // Guards against passing on what no caller can read as an answer, and against waiting for another answer behind it.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    const std::string status = GENERATE("000", "007", "099", "600", "999");
    TestCall odd(client, "a");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /a"); }));
    upstream.sendBytes(0, "HTTP/1.1 " + status + " Odd\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nno");
    REQUIRE(upstream.run([&] { return odd.end.has_value(); }, base::Duration { 1000 }));
    CHECK(odd.code() == base::Code::InvalidUpstreamAnswer);
    CHECK(odd.status == 0);
}

TEST_CASE("an answer with a blank or a control byte in a field's name is an error", "[upstream-client]")
{
    // Guards against passing on a line that other programs read as another field, or as the end of the head.
    ScriptedUpstream upstream;
    http::UpstreamClient client(upstream.loop, upstream.address);
    const std::string name = GENERATE("X Field", "X-Field ", "X\tField", "X\x01Field", "X\x7f", "Content-Length ");
    TestCall odd(client, "a");
    REQUIRE(upstream.run([&] { return upstream.hasReceived(0, "GET /a"); }));
    upstream.sendBytes(0, "HTTP/1.1 200 OK\r\nX-Id: a\r\n" + name + ": 5\r\nContent-Length: 2\r\n\r\nno");
    REQUIRE(upstream.run([&] { return odd.end.has_value(); }, base::Duration { 1000 }));
    CHECK(odd.code() == base::Code::InvalidUpstreamAnswer);
    CHECK(odd.status == 0);
}
