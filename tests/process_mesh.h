// A mesh of real processes: one voter, nodes with stand-in upstreams beside them, and callers on plain sockets.
#pragma once

#include "process_fixture.h"

#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace process_test {

inline const std::string clusterKey(64, 'a');

struct Host {
    std::string name;
    Port callers, inner, announce, operators, upstreamPort;
    Program node;
    Program upstream;
};

// A request that has been sent; the answer is read later.
class PendingRequest {
public:
    PendingRequest(const Port& port, const std::string& request)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(port.number());
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const timeval timeout { waitTimeoutSeconds, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        REQUIRE(connect(m_fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
        REQUIRE(write(m_fd, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
    }
    ~PendingRequest() { close(m_fd); }
    PendingRequest(const PendingRequest&) = delete;
    PendingRequest& operator=(const PendingRequest&) = delete;

    std::string answer() // reads until the node closes the connection
    {
        std::string out;
        char buf[4096];
        for (ssize_t n = 0; (n = read(m_fd, buf, sizeof buf)) > 0;)
            out.append(buf, static_cast<size_t>(n));
        return out;
    }

private:
    int m_fd;
};

// Sends a request on a connection of its own and reads until the node closes it; empty if that fails. Checks nothing, so any
// thread may call it. Bytes after the first `keptBytes` are read and discarded.
inline std::string exchangeOnce(const Port& port, const std::string& request, size_t keptBytes = SIZE_MAX)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(port.number());
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval timeout { waitTimeoutSeconds, 0 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    std::string out;
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 && write(fd, request.data(), request.size()) == static_cast<ssize_t>(request.size())) {
        char buf[4096];
        for (ssize_t n = 0; (n = read(fd, buf, sizeof buf)) > 0;)
            out.append(buf, std::min(static_cast<size_t>(n), keptBytes - std::min(keptBytes, out.size())));
    }
    close(fd);
    return out;
}

inline size_t countOf(const std::string& text, const std::string& part)
{
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

struct Mesh {
    Folder folder;
    Port voterPort;
    Program voter;
    std::vector<std::unique_ptr<Host>> hosts;

    Mesh()
    {
        const nlohmann::json voters = nlohmann::json::array({ { { "host", "v0" }, { "address", voterPort.address() } } });
        writeFile(folder / "v0.json", { { "cluster", "test" }, { "key", clusterKey }, { "host", "v0" }, { "zone", "z0" }, { "region", "r" }, { "listen", voterPort.address() }, { "data", folder / "data" }, { "voters", voters } });
        writeFile(folder / "ctl.json", { { "cluster", "test" }, { "key", clusterKey }, { "operator", "ann" }, { "voters", { voterPort.address() } } });
        REQUIRE(run("appletally-control", { folder / "v0.json", "--format", "--first" }).code == 0);
        voter = Program("appletally-control", { folder / "v0.json" });
        voter.waitLine({ "started" });
    }

    Host& addHost(const std::string& name, const nlohmann::json& furtherSettings = nlohmann::json::object())
    {
        hosts.push_back(std::make_unique<Host>());
        Host& it = *hosts.back();
        it.name = name;
        nlohmann::json settings = { { "cluster", "test" }, { "key", clusterKey }, { "host", name }, { "zone", "z-" + name }, { "region", "r" }, { "listen", { { "callers", it.callers.address() }, { "inner", it.inner.address() }, { "announce", it.announce.address() }, { "operators", it.operators.address() } } }, { "voters", { voterPort.address() } } };
        settings.update(furtherSettings);
        writeFile(folder / (name + ".json"), settings);
        it.node = Program("appletally-node", { folder / (name + ".json") });
        it.node.waitLine({ "started" });
        return it;
    }

    // Each run takes `milliseconds` and prints a line "run KEY PATH VERSION" on the upstream's output.
    static void addUpstream(Host& it, const std::string& service, int milliseconds, const std::vector<std::string>& further = { "--log", "/dev/stdout" })
    {
        std::vector<std::string> arguments { "--listen", it.upstreamPort.address(), "--announce", it.announce.address(), "--service", service, "--software", "1.0", "--run", "/=" + std::to_string(milliseconds) };
        arguments.insert(arguments.end(), further.begin(), further.end());
        it.upstream = Program("standin-upstream", arguments);
        it.node.waitLine({ "upstream-announced", service });
    }

    void submit(const std::string& answers) { submitFile(std::string(SOURCE_FOLDER) + "/examples/" + answers); }

    void submitFile(const std::string& path)
    {
        const Finished done = run("appletallyctl", { folder / "ctl.json", "submit", path });
        INFO(done.err);
        REQUIRE(done.code == 0);
    }
};

} // namespace process_test
