// Unusual and broken answers of upstreams, through two nodes: what callers get, and what follows on their connections.
#include "byte_upstream.h"
#include "node_fixture.h"

#include "platform/dialect.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace appletally;

namespace {

constexpr uint64_t largestBody = 16 * 1024 * 1024;

// Node "a" has an upstream of plug-control, node "b" none.
struct AnswersMesh {
    TestMesh mesh;
    ByteUpstream upstream { mesh.loop() };
    TestNode* a = nullptr;
    TestNode* b = nullptr;

    explicit AnswersMesh(const node::Dialect& dialect = {})
    {
        mesh.dialect = dialect;
        mesh.announcementTimeout = { 60000 }; // it is announced once
        a = &mesh.addNode("a", "z1");
        b = &mesh.addNode("b", "z2");
        mesh.edit = [](config::Snapshot& snapshot) {
            for (auto& [name, it] : snapshot.routes)
                it.maxRequestBody = { largestBody };
        };
    }

    void start()
    {
        mesh.announce(*a, upstream.address, "ready", 10, "1.0", "plug-control");
        mesh.applyEverywhere("examples/berthgrid.json");
    }

    // Sends the request and another one on one connection; returns all that comes back until the node closes it.
    std::string askTwice(const TestNode& node, const std::string& request)
    {
        const auto answer = mesh.askRaw(node.addresses.callers, request + "GET /plugs/next HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n");
        REQUIRE(mesh.run([&] { return answer->done; }));
        return answer->body;
    }
};

std::string request(const std::string& method, const std::string& target, size_t bodyBytes = 0)
{
    const std::string length = method == "POST" ? "Content-Length: " + std::to_string(bodyBytes) + "\r\n" : "";
    return method + " " + target + " HTTP/1.1\r\nHost: test\r\nAppletally-Timeout-Ms: 1500\r\n" + length + "\r\n" + std::string(bodyBytes, 'x');
}

const std::vector<std::string> readCommandUpload { request("GET", "/plugs/first"), request("POST", "/plugs/connect/first"), request("POST", "/plugs/connect/first", 500'000) };

bool isNext(const ByteUpstream::Request& it) { return it.head.find("/plugs/next") != std::string::npos; }

const std::string nextAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext";

} // namespace

TEST_CASE("an answer that has no body ends with its head, whatever length it states", "[node][answers]")
{
    // Guards against waiting for a body that never comes, and against taking the next answer for it. Not Modified repeats the
    // length of the whole resource.
    struct Case {
        const char* what;
        const char* method; // empty: each kind of request
        std::string answer;
        std::string status;
        std::string length; // that the caller gets; empty: none
    };
    const Case cases[] = {
        { "304 with a length", "", "HTTP/1.1 304 Not Modified\r\nETag: \"7\"\r\nContent-Length: 1800\r\n\r\n", "304", "1800" },
        { "304 with a length above what is kept whole", "", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5000000\r\n\r\n", "304", "5000000" },
        { "304 without a length", "", "HTTP/1.1 304 Not Modified\r\nETag: \"7\"\r\n\r\n", "304", "" },
        { "304 in chunks", "", "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", "304", "" },
        { "204 with a length", "", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", "204", "" },
        { "204 after an interim answer with a length", "", "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "204", "" },
        { "to HEAD with a length", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 1800\r\n\r\n", "200", "1800" },
        { "to HEAD with a length above any allowed body", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5000000000\r\n\r\n", "200", "5000000000" },
        { "to HEAD after an interim answer", "HEAD", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1800\r\n\r\n", "200", "1800" },
        { "to HEAD in chunks", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "200", "" },
        { "to HEAD without a length", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", "200", "" },
    };
    AnswersMesh it;
    it.mesh.edit = [edit = it.mesh.edit](config::Snapshot& snapshot) {
        edit(snapshot);
        config::Route head = snapshot.routes.at({ "plug-state" });
        head.name = { "plug-head" };
        head.method = "HEAD";
        snapshot.routes[head.name] = head;
    };
    it.start();
    for (const Case& each : cases) {
        it.upstream.answer = [&](const ByteUpstream::Request& got) { return isNext(got) ? nextAnswer : each.answer; };
        const std::vector<std::string> requests = *each.method ? std::vector { request(each.method, "/plugs/first") } : readCommandUpload;
        for (const std::string& text : requests) {
            for (const TestNode* node : { it.a, it.b }) {
                INFO(each.what << ", at node " << node->host << ", " << text.substr(0, text.find("\r\n")) << ", " << text.size() << " bytes");
                const std::string got = it.askTwice(*node, text);
                INFO(got);
                const size_t end = got.find("\r\n\r\n");
                REQUIRE(end != std::string::npos);
                const std::string head = got.substr(0, end + 2);
                CHECK(head.starts_with("HTTP/1.1 " + each.status + " "));
                CHECK(ByteUpstream::field(head, "Content-Length") == each.length);
                CHECK(ByteUpstream::field(head, "Transfer-Encoding").empty());
                CHECK(got.substr(end + 4).starts_with("HTTP/1.1 200 OK\r\n"));
                CHECK(got.ends_with("\r\n\r\nnext"));
            }
        }
    }
}

TEST_CASE("a start line that is not HTTP/1 begins no answer", "[node][answers]")
{
    // Guards against passing on the answer of another protocol, of which only the rest looks like HTTP.
    const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
    const char* const lines[] = { "HTTP/9.9 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTX/1.1 200 OK", "http/1.1 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 0200 OK",
        "HTTP/1.1 20 OK", "HTTP/1.1 200OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.10 200 OK", "HTTP/1 200 OK", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x" };
    AnswersMesh it;
    it.start();
    for (const std::string line : lines) {
        it.upstream.answer = [&](const ByteUpstream::Request& got) { return isNext(got) ? nextAnswer : line + rest; };
        for (const std::string& text : readCommandUpload) {
            for (const TestNode* node : { it.a, it.b }) {
                INFO(line << ", at node " << node->host << ", " << text.substr(0, text.find("\r\n")) << ", " << text.size() << " bytes");
                const std::string got = it.askTwice(*node, text);
                INFO(got);
                CHECK(got.starts_with("HTTP/1.1 502 "));
                CHECK(got.ends_with("\r\n\r\nnext"));
            }
        }
    }
    it.upstream.answer = [&](const ByteUpstream::Request&) { return "HTTP/1.0 200\r\nConnection: keep-alive" + rest; };
    CHECK(it.askTwice(*it.b, readCommandUpload[0]).starts_with("HTTP/1.1 200 ")); // an older version, and no reason
}

TEST_CASE("chunks whose line endings are other bytes are no body", "[node][answers]")
{
    // Guards against passing on a body that is longer than its chunks say, or another message behind it.
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const char* const bodies[] = { "2\r\nokXX0\r\n\r\n", "2\r\nok!\n0\r\n\r\n", "2\r\nok\r!0\r\n\r\n", "2\rXok\r\n0\r\n\r\n", "2\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\r\n\rX", "2\r\nok\r\n0\r\n\n",
        "2\r\nok\r\n0\r\nX-More: 1\n\r\n", "2;a\rb\r\nok\r\n0\r\n\r\n" };
    AnswersMesh it;
    it.start();
    for (const std::string body : bodies) {
        for (const bool inPieces : { false, true }) {
            const size_t first = inPieces ? 7 : body.size(); // inside a line ending
            it.upstream.answer = [&](const ByteUpstream::Request& got) { return isNext(got) ? nextAnswer : head + body.substr(0, first); };
            it.upstream.later = [&](const ByteUpstream::Request& got) { return isNext(got) || first >= body.size() ? "" : body.substr(first); };
            for (const std::string& text : readCommandUpload) {
                INFO(body << ", " << text.substr(0, text.find("\r\n")) << ", " << text.size() << " bytes");
                const std::string got = it.askTwice(*it.b, text);
                INFO(got);
                CHECK(got.starts_with("HTTP/1.1 502 "));
                CHECK(got.ends_with("\r\n\r\nnext"));
            }
        }
    }
    it.upstream.later = nullptr;
    it.upstream.answer = [&](const ByteUpstream::Request&) { return head + "2;name=\"value\"\r\n\r\n\r\n1\r\nx\r\n0\r\nX-More: 1\r\n\r\n"; };
    const std::string sound = it.askTwice(*it.a, readCommandUpload[0]);
    INFO(sound);
    CHECK(sound.find("\r\n\r\n\r\nxHTTP/1.1 200 ") != std::string::npos); // a chunk may hold a line ending
}

TEST_CASE("a route's limit of a body above 1 MiB is kept", "[node][answers][large-body]")
{
    // Guards against a questionnaire that is accepted and in force while each body above another limit, which nobody has set,
    // is refused.
    AnswersMesh it;
    it.start();
    for (const TestNode* node : { it.a, it.b }) {
        CHECK(it.askTwice(*node, request("POST", "/plugs/connect/first", 6'000'000)).starts_with("HTTP/1.1 200 "));
        CHECK(it.askTwice(*node, request("POST", "/plugs/connect/first", largestBody)).starts_with("HTTP/1.1 200 "));
        const auto refused = it.mesh.askRaw(node->addresses.callers, "POST /plugs/connect/first HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(largestBody + 1) + "\r\n\r\n");
        REQUIRE(it.mesh.run([&] { return refused->done; }));
        CHECK(refused->body.starts_with("HTTP/1.1 413 "));
    }
}

TEST_CASE("a body that arrives before the configuration is held to its route's limit", "[node][answers][large-body]")
{
    // Guards against passing on a body above the limit because its route was not known when its head arrived.
    AnswersMesh it;
    it.mesh.edit = nullptr; // the limit of the example is 16 KB
    it.a->fromControl.send(inner::ControlReachable { true });
    const auto answer = it.mesh.askRaw(it.a->addresses.callers, request("POST", "/plugs/connect/first", 20'000) + request("GET", "/plugs/next"));
    it.mesh.runFor({ 50 });
    it.start();
    REQUIRE(it.mesh.run([&] { return answer->body.ends_with("ok"); }));
    CHECK(answer->body.starts_with("HTTP/1.1 413 "));
    CHECK(it.upstream.requests == 1);
}

TEST_CASE("an answer to a large upload that is reset while the upload is written is whole or an error", "[node][answers][large-body]")
{
    // Guards against a part of an answer that passes for the whole: the write meets the reset before the read does.
    struct Case {
        const char* what;
        std::string bytes;
        bool complete; // by its own framing
    };
    const std::string part(2000, 'p');
    const Case cases[] = {
        { "without a length", "HTTP/1.1 200 OK\r\n\r\n" + part, false },
        { "shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + part, false },
        { "chunks without the last one", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + part + "\r\n", false },
        { "a part of a head", "HTTP/1.1 200 OK\r\nX-More: " + part, false },
        { "whole, by its length", "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + part, true },
        { "whole, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + part + "\r\n0\r\n\r\n", true },
    };
    AnswersMesh it;
    it.start();
    for (const Case& each : cases) {
        for (const TestNode* node : { it.a, it.b }) {
            for (int n = 0; n < 10; ++n) {
                INFO(each.what << ", at node " << node->host << ", upload " << n);
                it.upstream.early = each.bytes;
                const auto answer = it.mesh.askRaw(node->addresses.callers, request("POST", "/plugs/connect/first", 6'000'000));
                REQUIRE(it.mesh.run([&] { return answer->body.find("\r\n\r\n") != std::string::npos; }));
                it.upstream.early.clear();
                const bool whole = answer->body.starts_with("HTTP/1.1 200 ") && answer->body.ends_with("\r\n\r\n" + part);
                INFO(answer->body.substr(0, 200));
                CHECK((answer->body.starts_with("HTTP/1.1 502 ") || (each.complete && whole)));
            }
        }
    }
}

namespace {

// An upstream that answers each request twice, the second time while the next request runs on its connection.
struct TwiceMesh : AnswersMesh {
    static constexpr int callers = 4, rounds = 30;
    bool repeatsId = false;
    int served = 0, wrong = 0;
    int wrongLate = 0; // in the second half

    TwiceMesh()
    {
        upstream.answer = [](const ByteUpstream::Request&) { return std::string(); };
        upstream.delay = { 30 };
        upstream.later = [this](const ByteUpstream::Request& got) {
            const std::string id = repeatsId ? "Appletally-Request-Id: " + ByteUpstream::field(got.head, "Appletally-Request-Id") + "\r\n" : "";
            const std::string target = got.head.substr(got.head.find('/'), got.head.find(" HTTP/") - got.head.find('/'));
            std::string whole = "HTTP/1.1 200 OK\r\n" + id + "Content-Length: " + std::to_string(target.size()) + "\r\n\r\n" + target;
            upstream.sendAfter(got, whole, { 50 });
            return whole;
        };
    }

    void askAll()
    {
        for (int round = 0; round < rounds; ++round) {
            std::vector<std::pair<std::string, std::shared_ptr<TestAnswer>>> asked;
            for (int n = 0; n < callers; ++n) {
                const std::string target = (n % 2 ? "/plugs/connect/" : "/plugs/") + std::to_string(round * callers + n);
                asked.emplace_back(target, mesh.ask(n < callers / 2 ? *a : *b, n % 2 ? "POST" : "GET", target));
            }
            REQUIRE(mesh.run([&] { return std::all_of(asked.begin(), asked.end(), [](const auto& each) { return each.second->done; }); }));
            for (const auto& [target, answer] : asked) {
                served += answer->status == 200;
                wrong += answer->status == 200 && answer->body != target;
                wrongLate += round >= rounds / 2 && answer->status == 200 && answer->body != target;
            }
        }
    }
};

} // namespace

TEST_CASE("an upstream that answers twice gives each connection at most one wrong answer, and then none", "[node][answers]")
{
    // Guards against a second answer that nobody asked for: it reached another request, of another caller, as a whole 200.
    TwiceMesh it;
    it.start();
    it.askAll();
    INFO(it.wrong << " wrong, " << it.served << " served, " << it.upstream.connections.size() << " connections");
    CHECK(it.wrong <= TwiceMesh::callers);
    CHECK(it.wrongLate == 0);
    CHECK(it.served > TwiceMesh::callers * TwiceMesh::rounds * 9 / 10);
}

TEST_CASE("an upstream that repeats request ids gives no caller another's answer", "[node][answers]")
{
    // Guards against mixing answers where the upstream says which request each belongs to.
    TwiceMesh it;
    it.repeatsId = true;
    const bool required = GENERATE(false, true);
    it.mesh.edit = [required](config::Snapshot& snapshot) {
        for (auto& [name, service] : snapshot.services)
            service.repeatsRequestId = required;
    };
    it.start();
    it.askAll();
    CHECK(it.wrong == 0);
    CHECK(it.served > TwiceMesh::callers * TwiceMesh::rounds * 9 / 10);
}

TEST_CASE("an answer without the request's id is broken where the questionnaire says that upstreams repeat it", "[node][answers]")
{
    // Guards against an answer of unknown origin, and against callers that choose the id or get to see it.
    AnswersMesh it;
    const bool required = GENERATE(false, true);
    it.mesh.edit = [required](config::Snapshot& snapshot) {
        for (auto& [name, service] : snapshot.services)
            service.repeatsRequestId = required;
    };
    std::vector<std::string> ids;
    bool repeats = true;
    it.upstream.answer = [&](const ByteUpstream::Request& got) {
        ids.push_back(ByteUpstream::field(got.head, "Appletally-Request-Id"));
        return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + (repeats ? "appletally-request-id: " + ids.back() + "\r\n" : "") + "\r\nok";
    };
    it.start();
    for (const TestNode* node : { it.a, it.b }) {
        repeats = true;
        const auto whole = it.mesh.ask(*node, "GET", "/plugs/1", { "Appletally-Request-Id: mine" });
        REQUIRE(it.mesh.run([&] { return whole->done; }));
        CHECK(whole->status == 200);
        CHECK(whole->headers.count("appletally-request-id") == 0);
        repeats = false;
        const auto without = it.mesh.ask(*node, "POST", "/plugs/connect/1");
        REQUIRE(it.mesh.run([&] { return without->done; }));
        CHECK(without->status == (required ? 502 : 200));
    }
    REQUIRE(ids.size() == 4);
    for (size_t n = 0; n < ids.size(); ++n) {
        CHECK(ids[n] != "mine");
        CHECK_FALSE(ids[n].empty());
        CHECK(std::count(ids.begin(), ids.end(), ids[n]) == 1);
    }
}

TEST_CASE("the node of the users' platform treats unusual answers like any other", "[node][answers][platform]")
{
    // Guards against a fix that holds in the product's own dialect alone.
    struct Case {
        const char* path;
        std::string answer;
        std::string status;
        std::string length; // that the caller gets; not checked if empty
    };
    const Case cases[] = {
        { "/plugs/304", "HTTP/1.1 304 Not Modified\r\nContent-Length: 1800\r\n", "304", "1800" },
        { "/plugs/204", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n", "204", "" },
        { "/plugs/version", "HTTP/9.9 200 OK\r\nContent-Length: 0\r\n", "502", "" },
        { "/plugs/protocol", "HTTX/1.1 200 OK\r\nContent-Length: 0\r\n", "502", "" },
        { "/plugs/chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "502", "" },
        { "/plugs/sound", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", "200", "0" },
    };
    AnswersMesh it(platform::dialect());
    it.upstream.answer = [&](const ByteUpstream::Request& got) {
        const auto found = std::find_if(std::begin(cases), std::end(cases), [&](const Case& each) { return got.head.find(each.path) != std::string::npos; });
        const std::string fields = "X-Response-Signature: s\r\nX-Request-Id: " + ByteUpstream::field(got.head, "X-Request-Id") + "\r\n\r\n";
        return found->answer + fields + (found->answer.find("chunked") == std::string::npos ? "" : "2\r\nokXX0\r\n\r\n");
    };
    it.start();
    for (const Case& each : cases) {
        for (const TestNode* node : { it.a, it.b }) {
            INFO(each.path << " at node " << node->host);
            const auto got = it.mesh.ask(*node, "GET", each.path, { std::string("X-Request-Id: ") + each.path + node->host });
            REQUIRE(it.mesh.run([&] { return got->done; }));
            CHECK(std::to_string(got->status) == each.status);
            if (!each.length.empty())
                CHECK(got->headers["content-length"] == each.length);
            CHECK(got->headers.count("appletally-request-id") == 0);
        }
    }
}
