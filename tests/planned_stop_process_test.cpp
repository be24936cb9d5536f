// A planned stop of one node in calm, with real processes: callers keep sending commands that must not be repeated on open
// connections until the process is gone.
#include "process_mesh.h"

#include "appletally/policy/planned_stop.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <poll.h>
#include <set>
#include <thread>

using namespace process_test;

namespace {

constexpr int callers = 8;
constexpr int drainMs = 2000, stopBoundMs = 5000;

int64_t nowMs() { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count(); }

// A command and what its caller got.
struct Command {
    std::string path;
    int status = 0; // 0: the connection ended without an answer
    bool notRun = false; // as the answer says
    int64_t tookMs = 0;
};

// A caller's connection on which one command follows the other.
class Connection {
public:
    explicit Connection(const Port& port)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(port.number());
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_open = connect(m_fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
    }
    ~Connection() { close(m_fd); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool isOpen() const { return m_open; }

    Command run(const std::string& path)
    {
        Command out { path };
        const int64_t at = nowMs();
        const std::string request = "POST " + path + " HTTP/1.1\r\nHost: mesh\r\nContent-Length: 0\r\n\r\n";
        std::string got;
        char buf[4096];
        m_open = send(m_fd, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size());
        while (m_open && !isWhole(got)) {
            const ssize_t n = read(m_fd, buf, sizeof buf);
            m_open = n > 0;
            got.append(buf, static_cast<size_t>(std::max<ssize_t>(n, 0)));
        }
        if (isWhole(got)) {
            out.status = std::atoi(got.c_str() + std::string("HTTP/1.1 ").size());
            out.notRun = got.find("Appletally-Not-Run: 1") != std::string::npos;
            m_open = m_open && got.find("Connection: close") == std::string::npos;
        }
        out.tookMs = nowMs() - at;
        return out;
    }

private:
    static bool isWhole(const std::string& got)
    {
        const size_t end = got.find("\r\n\r\n");
        const size_t length = got.find("Content-Length: ");
        return end != std::string::npos && length < end && got.size() >= end + 4 + static_cast<size_t>(std::atoll(got.c_str() + length + 16));
    }

    int m_fd;
    bool m_open = false;
};

// "a" is stopped; "b" has another upstream of the same service.
struct StopMesh : Mesh {
    Host& a = addHost("a", { { "drain_ms", drainMs }, { "stop_bound_ms", stopBoundMs } });
    Host& b = addHost("b");
    std::mutex mutex;
    std::vector<Command> commands; // that ended after the stop began
    std::atomic<int> answeredBefore = 0;
    std::atomic<bool> stopping = false;

    explicit StopMesh(int workMs)
        : m_workMs(workMs)
    {
        for (Host* it : { &a, &b })
            addUpstream(*it, "plug-control", workMs, { "--log", folder / (it->name + ".log") });
        writeFile(folder / "answers.json", { { "name", "stop" }, { "weighing", "speed-and-take-back" }, { "services", { { { "name", "plug-control" }, { "first_version", "1.0" }, { "slots", callers }, { "routes", { { { "name", "disconnect" }, { "method", "POST" }, { "path_prefix", "/plugs" }, { "idempotent", false }, { "priority", "command" }, { "expected_ms", 40 }, { "timeout_ms", 10000 } } } } } } } });
        submitFile(folder / "answers.json");
        a.node.waitLine({ "version-applied" });
    }

    // Sends commands until the node accepts no connection any more. The callers' commands end at different times.
    void call(int caller)
    {
        poll(nullptr, 0, caller * m_workMs / callers);
        for (int n = 0;;) {
            Connection connection(a.callers);
            if (!connection.isOpen())
                return;
            while (connection.isOpen()) {
                const Command it = connection.run("/plugs/" + std::to_string(caller) + "-" + std::to_string(n++) + "-");
                answeredBefore += it.status == 200;
                const std::lock_guard lock(mutex);
                if (stopping)
                    commands.push_back(it);
                if (it.status != 200)
                    poll(nullptr, 0, 20); // before it tries again
            }
        }
    }

    std::string runs() // the logs of both upstreams
    {
        std::string out;
        for (const Host* it : { &a, &b }) {
            std::ifstream in(folder / (it->name + ".log"));
            out.append(std::istreambuf_iterator<char>(in), {});
        }
        return out;
    }

private:
    int m_workMs;
};

} // namespace

TEST_CASE("what a stopping node knows of a route's duration decides what it still takes", "[policy][stop]")
{
    // Guards against a duration that is looked for where there is none: too short for a command, too long for a read.
    using appletally::base::Duration;
    const appletally::base::Time now { 1000 }, stop { 3000 };
    const Duration shortRun { 40 }, longTimeout { 10'000 };
    CHECK(appletally::policy::endsBefore(stop, { Duration { 2000 }, shortRun, longTimeout, false }, now));
    CHECK_FALSE(appletally::policy::endsBefore(stop, { Duration { 2001 }, shortRun, longTimeout, false }, now));
    CHECK(appletally::policy::endsBefore(stop, { Duration { 2001 }, shortRun, Duration { 1500 }, false }, now)); // its deadline is nearer
    CHECK_FALSE(appletally::policy::endsBefore(stop, { Duration { 10 }, Duration { 2500 }, longTimeout, false }, now));
    CHECK_FALSE(appletally::policy::endsBefore(stop, { {}, shortRun, longTimeout, false }, now));
    CHECK(appletally::policy::endsBefore(stop, { {}, shortRun, longTimeout, true }, now));
}

// Guards against commands that are passed on though they cannot end before the node does: their callers would learn nothing of
// them, or only that the outcome is unknown.
TEST_CASE("a planned stop cuts no command, and refuses at once those that cannot end in time", "[process][stop]")
{
    const int workMs = GENERATE(400, 1500, 3000);
    StopMesh mesh(workMs);
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int n = 0; n < callers; ++n)
        threads.emplace_back([&mesh, n] { mesh.call(n); });
    while (mesh.answeredBefore < callers * 2)
        poll(nullptr, 0, 5);
    mesh.stopping = true;
    mesh.a.node.signal(SIGTERM);
    for (std::thread& it : threads)
        it.join();
    CHECK(mesh.a.node.finish().code == 0);
    const std::string runs = mesh.runs();
    int served = 0, refused = 0, unread = 0;
    for (const Command& it : mesh.commands) {
        const size_t count = countOf(runs, it.path + " ");
        INFO(it.path << ": status " << it.status << (it.notRun ? ", not run" : "") << " after " << it.tookMs << " ms, " << count << " runs");
        served += it.status == 200;
        refused += it.notRun;
        unread += it.status == 0;
        CHECK((it.status == 200 ? count == 1 : count == 0));
        CHECK((it.status == 200 || it.status == 0 || (it.notRun && it.tookMs < 100)));
    }
    INFO(workMs << " ms: " << served << " served, " << refused << " refused, " << unread << " not read");
    CHECK(served > 0);
}
