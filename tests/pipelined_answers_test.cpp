// Requests that share a caller's connection: one that breaks, ends or drains must not cost the others their answers.
#include "node_fixture.h"

#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace appletally;

namespace {

constexpr size_t largeAnswerBytes = 600'000;

// A node that callers connect to, with an upstream of plug-control; and two upstreams of berth-data at other nodes.
struct Pipeline {
    TestMesh mesh;
    TestUpstream commands { mesh.loop() };
    TestUpstream downloads { mesh.loop() };
    TestUpstream otherDownloads { mesh.loop() };
    TestNode& caller;

    Pipeline()
        : caller(mesh.addNode("a", "z1"))
    {
        mesh.announce(caller, commands, "ready", 10, "1.0", "plug-control");
        mesh.announce(mesh.addNode("b", "z1"), downloads, "ready");
        mesh.announce(mesh.addNode("c", "z1"), otherDownloads, "ready");
        mesh.applyEverywhere("examples/berthgrid.json");
        downloads.bodyBytes = otherDownloads.bodyBytes = largeAnswerBytes;
    }

    int downloadRuns() const { return downloads.runs + otherDownloads.runs; }
    std::shared_ptr<TestAnswer> send(const std::string& bytes) { return mesh.askRaw(caller.addresses.callers, bytes); }
};

std::string request(const std::string& method, const std::string& target, const std::string& fields = {})
{
    return method + " " + target + " HTTP/1.1\r\nHost: a\r\n" + fields + (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n";
}

size_t countOf(const std::string& text, const std::string& part)
{
    size_t out = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++out;
    return out;
}

// A caller whose answers stay in the system's buffers until read() is called.
struct UnreadConnection {
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    explicit UnreadConnection(const base::Address& address)
    {
        const int receiveBuffer = 16 * 1024;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
        REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    }
    ~UnreadConnection() { close(fd); }

    void send(const std::string& bytes) const { REQUIRE(::send(fd, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size())); }

    std::string read() const
    {
        std::string out(1024 * 1024, '\0');
        out.resize(static_cast<size_t>(std::max<ssize_t>(recv(fd, out.data(), out.size(), MSG_DONTWAIT), 0)));
        return out;
    }
};

const std::string command = request("POST", "/plugs/disconnect", "Request-Tag: the-command\r\n");
const std::string lastDownload = request("GET", "/archive/1", "Connection: close\r\n");

} // namespace

// Guards against a broken answer that resets the connection of a command that runs in front of it, although none of the
// broken answer had been sent: a command that ran to its end got no answer.
TEST_CASE("a download that breaks behind a running command is tried again, and the command gets its answer", "[node][pipeline]")
{
    Pipeline it;
    it.commands.hold = true;
    it.downloads.truncatesAnswers = true; // the other upstream is sound
    it.downloads.bodyBytes = largeAnswerBytes / 2; // the break comes within the window of an answer that is held back
    for (int n = 0; n < 40 && it.downloads.runs < 2; ++n) { // as many breaks as the retry budget certainly allows
        const int runs = it.downloadRuns();
        const auto answers = it.send(command + lastDownload);
        REQUIRE(it.mesh.run([&] { return it.downloadRuns() > runs && it.commands.held.size() == 1; }));
        it.mesh.runFor({ 200 });
        it.commands.answerHeld();
        REQUIRE(it.mesh.run([&] { return answers->done; }));
        CHECK(countOf(answers->body, "the-command") == 1);
        CHECK(countOf(answers->body, "HTTP/1.1 200") == 2);
        CHECK(std::count(answers->body.begin(), answers->body.end(), 'x') >= static_cast<std::ptrdiff_t>(largeAnswerBytes));
    }
    CHECK(it.downloads.runs == 2);
}

// Guards against the same loss when no upstream is left for the broken answer, which must end as a failure of its own.
TEST_CASE("a download that breaks behind a running command for good is answered with a failure in its place", "[node][pipeline]")
{
    Pipeline it;
    it.commands.hold = true;
    it.downloads.truncatesAnswers = it.otherDownloads.truncatesAnswers = true;
    const auto answers = it.send(command + lastDownload);
    REQUIRE(it.mesh.run([&] { return answers->done || it.downloadRuns() == 2; }));
    it.mesh.runFor({ 200 }); // the second one breaks too
    it.commands.answerHeld();
    REQUIRE(it.mesh.run([&] { return answers->done; }));
    CHECK(countOf(answers->body, "the-command") == 1);
    CHECK(countOf(answers->body, "HTTP/1.1 502") == 1);
}

// Guards against a deadline that resets the connection in the same way.
TEST_CASE("a download that reaches its deadline behind a running command does not end the command's connection", "[node][pipeline]")
{
    Pipeline it;
    it.commands.hold = true;
    it.downloads.stallsAnswers = it.otherDownloads.stallsAnswers = true;
    const auto answers = it.send(command + request("GET", "/meters/1", "Appletally-Timeout-Ms: 400\r\nConnection: close\r\n"));
    REQUIRE(it.mesh.run([&] { return it.downloadRuns() == 1; }));
    it.mesh.runFor({ 600 });
    it.commands.answerHeld();
    REQUIRE(it.mesh.run([&] { return answers->done; }));
    CHECK(countOf(answers->body, "the-command") == 1);
    CHECK(countOf(answers->body, "HTTP/1.1 504") == 1);
}

// Guards against losing the answers of requests that already run behind a large answer when that one breaks at the front.
TEST_CASE("a large answer with running requests behind it breaks without taking their answers along", "[node][pipeline]")
{
    Pipeline it;
    it.commands.hold = true;
    it.downloads.truncatesAnswers = it.otherDownloads.truncatesAnswers = true;
    it.downloads.delay = it.otherDownloads.delay = { 50 }; // the request behind runs by then
    const auto answers = it.send(request("GET", "/archive/1") + request("GET", "/plugs/1", "Request-Tag: behind\r\nConnection: close\r\n"));
    REQUIRE(it.mesh.run([&] { return answers->done || it.downloadRuns() == 2; }));
    it.commands.answerHeld();
    REQUIRE(it.mesh.run([&] { return answers->done; }));
    CHECK(countOf(answers->body, "HTTP/1.1 502") == 1);
    CHECK(countOf(answers->body, "behind") == 1);
}

// Guards against starting requests behind an answer that may still end the connection: they would be lost with it.
TEST_CASE("a request behind a streamed answer runs only after that answer is complete", "[node][pipeline]")
{
    Pipeline it;
    it.downloads.stallsAnswers = it.otherDownloads.stallsAnswers = true;
    const auto answers = it.send(request("GET", "/archive/1"));
    REQUIRE(it.mesh.run([&] { return answers->body.size() > 256 * 1024; }));
    it.mesh.sendMore(request("GET", "/plugs/1"));
    it.mesh.runFor({ 200 });
    CHECK(it.commands.runs == 0);
}

TEST_CASE("commands of a caller that does not read its answers are not started", "[node][pipeline]")
{
    // Guards against a process that is killed over its memory limit by one caller that sends without end and does not read.
    Pipeline it;
    it.commands.bodyBytes = 250'000;
    UnreadConnection caller(it.caller.addresses.callers);
    constexpr int requests = 30;
    for (int n = 0; n < requests; ++n)
        caller.send(command);
    REQUIRE(it.mesh.run([&] { return it.commands.runs > 0; }));
    it.mesh.runFor({ 500 });
    CHECK(it.commands.runs < requests / 2);
    std::string answers;
    CHECK(it.mesh.run([&] { return countOf(answers += caller.read(), "HTTP/1.1 200") == requests; }));
    CHECK(it.commands.runs == requests);
}

TEST_CASE("reads of a caller that does not read its answers are started only as memory allows", "[node][pipeline]")
{
    // Guards against the same for reads, which run side by side.
    Pipeline it;
    it.downloads.bodyBytes = it.otherDownloads.bodyBytes = 250'000;
    UnreadConnection caller(it.caller.addresses.callers);
    constexpr int requests = 30;
    for (int n = 0; n < requests; ++n)
        caller.send(request("GET", "/archive/" + std::to_string(n)));
    REQUIRE(it.mesh.run([&] { return it.downloadRuns() > 0; }));
    it.mesh.runFor({ 500 });
    CHECK(it.downloadRuns() < requests / 2);
}
