// Upstreams that send without end, through real processes: what such an upstream costs its callers, its node and the callers
// of other upstreams.
#include "process_mesh.h"

#include <atomic>
#include <chrono>
#include <fstream>
#include <mutex>
#include <thread>

using namespace process_test;

namespace {

constexpr int callerTimeoutMs = 2000;
constexpr int callersAtOnce = 4;
constexpr size_t keptBytes = 64 * 1024; // of an answer: copying a gigabyte while the string grows takes half a second

// An upstream on plain sockets that answers each request with `start`, and then `repeated` until the node closes.
class EndlessUpstream {
public:
    explicit EndlessUpstream(uint16_t port)
        : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int one = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(listen(m_listener, 64) == 0);
        m_threads.emplace_back([this] { acceptAll(); });
    }

    ~EndlessUpstream()
    {
        m_stopped = true;
        shutdown(m_listener, SHUT_RDWR);
        m_threads.front().join();
        for (size_t n = 1; n < m_threads.size(); ++n)
            m_threads[n].join();
        close(m_listener);
    }

    void answerWith(const std::string& start, const std::string& repeated)
    {
        const std::lock_guard lock(m_mutex);
        m_start = start;
        m_repeated = repeated;
        while (!m_repeated.empty() && m_repeated.size() < 16 * 1024)
            m_repeated += repeated;
        m_mostSent = 0;
    }

    size_t mostSent() const { return m_mostSent; } // on one connection, with what the sockets' buffers hold
    int open() const { return m_open; }

private:
    void acceptAll()
    {
        for (int fd = 0; (fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
            ++m_open;
            m_threads.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        std::string in;
        char buf[4096];
        const timeval poll { 0, 100'000 };
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &poll, sizeof poll);
        setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &poll, sizeof poll);
        for (bool alive = true; alive && !m_stopped;) {
            const ssize_t n = read(fd, buf, sizeof buf);
            alive = n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
            if (n > 0)
                in.append(buf, static_cast<size_t>(n));
            if (in.find("\r\n\r\n") == std::string::npos)
                continue;
            in.clear();
            alive = answer(fd);
        }
        close(fd);
        --m_open;
    }

    bool answer(int fd)
    {
        std::string start, repeated;
        {
            const std::lock_guard lock(m_mutex);
            start = m_start;
            repeated = m_repeated;
        }
        size_t sent = 0;
        for (std::string* it = &start; !m_stopped; it = &repeated) {
            const ssize_t n = send(fd, it->data(), it->size(), MSG_NOSIGNAL);
            if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
                return false;
            sent += static_cast<size_t>(std::max<ssize_t>(n, 0));
            size_t most = m_mostSent;
            while (sent > most && !m_mostSent.compare_exchange_weak(most, sent)) { }
            if (repeated.empty())
                return true;
        }
        return false;
    }

    int m_listener;
    std::mutex m_mutex;
    std::string m_start;
    std::string m_repeated; // empty: the answer ends after `m_start`
    std::atomic<size_t> m_mostSent = 0;
    std::atomic<int> m_open = 0;
    std::atomic<bool> m_stopped = false;
    std::vector<std::thread> m_threads; // the first accepts; it alone changes the list while it runs
};

size_t residentBytes(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    size_t pages = 0, resident = 0;
    in >> pages >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

int64_t nowMs() { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count(); }

// Callers use node "a". Beside it runs the endless upstream of plug-control, beside "b" a sound one of berth-data.
struct EndlessMesh : Mesh {
    Host& a = addHost("a");
    Host& b = addHost("b");
    EndlessUpstream endless { a.upstreamPort.number() };
    std::atomic<bool> stopped = false;
    std::thread announcer;

    EndlessMesh()
    {
        endless.answerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");
        announcer = std::thread([this] {
            const std::string body = R"({"service":"plug-control","version":"1.0","address":")" + a.upstreamPort.address() + R"(","slots":8,"state":"ready"})";
            while (!stopped) {
                exchangeOnce(a.announce, "POST /announce HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
                std::this_thread::sleep_for(std::chrono::milliseconds(300));
            }
        });
        a.node.waitLine({ "upstream-announced", "plug-control" });
        addUpstream(b, "berth-data", 2, {}); // no log, since nobody reads it
        submit("berthgrid.json");
        a.node.waitLine({ "version-applied" });
        for (int n = 0; n < 500 && (ask("/plugs/1").find(" 200 ") == std::string::npos || ask("/berths/1").find(" 200 ") == std::string::npos); ++n)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }

    ~EndlessMesh()
    {
        stopped = true;
        announcer.join();
    }

    std::string ask(const std::string& target, const std::string& method = "GET") const
    {
        return exchangeOnce(a.callers, method + " " + target + " HTTP/1.1\r\nHost: mesh\r\nConnection: close\r\nAppletally-Timeout-Ms: " + std::to_string(callerTimeoutMs) + (method == "POST" ? "\r\nContent-Length: 0" : "") + "\r\n\r\n", keptBytes);
    }
};

struct Case {
    const char* what;
    const char* start;
    const char* repeated;
    bool answers = false; // the head is that of an answer: only the deadline can end it
};

const Case cases[] = {
    { "bytes without a line", "", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" },
    { "header lines", "HTTP/1.1 200 OK\r\n", "X-More: and more\r\n" },
    { "one header value", "HTTP/1.1 200 OK\r\nX-More: ", "and more " },
    { "interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" },
    { "chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "a=b;" },
    { "trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-More: and more\r\n" },
    { "a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n", true },
    { "a body until the close", "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef", true },
    { "a body of an absurd length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", "0123456789abcdef" },
    { "the body of a refusal", "HTTP/1.1 503 Full\r\nAppletally-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n" },
    { "the body of a failure", "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n", true },
};

} // namespace

// Guards against an upstream that never stops sending: callers without an answer until their deadline, a node that reads
// hundreds of megabytes or keeps them, slots that are never freed, and callers of other upstreams that wait for all this.
TEST_CASE("an upstream that sends without end costs its callers an error and nobody else anything", "[process][endless]")
{
    EndlessMesh mesh;
    const size_t before = residentBytes(mesh.a.node.pid());
    for (const std::string method : { "GET", "POST" }) {
        for (const Case& it : cases) {
            INFO(method << ", " << it.what);
            mesh.endless.answerWith(it.start, it.repeated);
            std::atomic<int> running = callersAtOnce;
            std::atomic<int> answered = 0;
            std::atomic<int64_t> longest = 0;
            std::vector<std::thread> callers;
            callers.reserve(callersAtOnce);
            for (int n = 0; n < callersAtOnce; ++n)
                callers.emplace_back([&, n] {
                    const int64_t at = nowMs();
                    const std::string text = mesh.ask(method == "GET" ? "/plugs/" + std::to_string(n) : "/plugs/disconnect", method);
                    answered += text.starts_with("HTTP/1.1 ") && !text.starts_with("HTTP/1.1 2");
                    int64_t most = longest;
                    while (nowMs() - at > most && !longest.compare_exchange_weak(most, nowMs() - at)) { }
                    --running;
                });
            int others = 0, othersServed = 0;
            int64_t slowest = 0;
            while (running > 0 || others < 20) {
                const int64_t at = nowMs();
                othersServed += mesh.ask("/berths/" + std::to_string(others)).find(" 200 ") != std::string::npos;
                slowest = std::max(slowest, nowMs() - at);
                ++others;
            }
            for (std::thread& thread : callers)
                thread.join();
            CHECK(othersServed == others);
            CHECK(slowest < 500);
            CHECK(longest < callerTimeoutMs + 500);
            if (!it.answers) {
                CHECK(answered == callersAtOnce);
                CHECK(longest < callerTimeoutMs / 2);
                CHECK(mesh.endless.mostSent() < 24u << 20); // of which the sockets' buffers take up to 10 MB
            }
            CHECK(residentBytes(mesh.a.node.pid()) < before + (32u << 20));
            mesh.endless.answerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");
            bool served = false; // the slots are free again
            for (int n = 0; n < 400 && !served; ++n) {
                served = mesh.ask("/plugs/after").find(" 200 ") != std::string::npos;
                std::this_thread::sleep_for(std::chrono::milliseconds(served ? 0 : 10));
            }
            CHECK(served);
            CHECK(mesh.endless.open() <= 8);
        }
    }
}
