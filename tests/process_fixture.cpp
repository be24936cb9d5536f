// Starts, observes and ends real processes.
#include "process_fixture.h"

#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace process_test {

static void makePipe(int (&ends)[2]) { REQUIRE(pipe2(ends, O_CLOEXEC) == 0); }

Program::Program(const std::string& name, const std::vector<std::string>& arguments)
{
    int out[2];
    int err[2];
    makePipe(out);
    makePipe(err);
    const std::string path = std::string(BINARY_FOLDER) + "/" + name;
    std::vector<char*> argv { const_cast<char*>(path.c_str()) };
    for (const std::string& it : arguments)
        argv.push_back(const_cast<char*>(it.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, out[1], 1);
    posix_spawn_file_actions_adddup2(&actions, err[1], 2);
    REQUIRE(posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
    close(out[1]);
    close(err[1]);
    m_out.fd = out[0];
    m_err.fd = err[0];
}

void Program::stop()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    m_pid = 0;
    for (Output* it : { &m_out, &m_err }) {
        if (it->fd >= 0)
            close(std::exchange(it->fd, -1));
    }
}

Program::~Program() { stop(); }

Program::Program(Program&& other) noexcept { *this = std::move(other); }

Program& Program::operator=(Program&& other) noexcept
{
    if (this == &other)
        return *this;
    stop();
    m_pid = std::exchange(other.m_pid, 0);
    m_out = std::exchange(other.m_out, {});
    m_err = std::exchange(other.m_err, {});
    return *this;
}

bool Program::readMore(int milliseconds)
{
    pollfd fds[] = { { m_out.fd, POLLIN, 0 }, { m_err.fd, POLLIN, 0 } };
    if (m_out.fd < 0 && m_err.fd < 0)
        return false;
    poll(fds, 2, milliseconds);
    Output* outputs[] = { &m_out, &m_err };
    for (int n = 0; n < 2; ++n) {
        if (outputs[n]->fd < 0 || (fds[n].revents & (POLLIN | POLLHUP)) == 0)
            continue;
        char buf[65536];
        const ssize_t size = read(outputs[n]->fd, buf, sizeof buf);
        if (size > 0)
            outputs[n]->text.append(buf, static_cast<size_t>(size));
        else
            close(std::exchange(outputs[n]->fd, -1));
    }
    return m_out.fd >= 0 || m_err.fd >= 0;
}

std::string Program::waitLine(const std::vector<std::string>& parts)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(waitTimeoutSeconds);
    const auto containsAll = [&](const std::string& line) {
        return std::all_of(parts.begin(), parts.end(), [&](const std::string& it) { return line.find(it) != std::string::npos; });
    };
    for (bool open = true;;) {
        for (Output* it : { &m_out, &m_err }) {
            for (size_t newline = it->text.find('\n', it->seen); newline != std::string::npos; newline = it->text.find('\n', it->seen)) {
                std::string line = it->text.substr(it->seen, newline - it->seen);
                it->seen = newline + 1;
                if (containsAll(line))
                    return line;
            }
        }
        if (!open || std::chrono::steady_clock::now() > end)
            FAIL("no line contains \"" << parts.front() << "\" in:\n"
                                       << m_out.text << m_err.text);
        open = readMore(100);
    }
}

void Program::signal(int number) const
{
    REQUIRE(m_pid > 0);
    REQUIRE(kill(m_pid, number) == 0);
}

Finished Program::finish()
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(waitTimeoutSeconds);
    while (readMore(100)) {
        if (std::chrono::steady_clock::now() > end)
            FAIL("the program did not exit:\n"
                << m_out.text << m_err.text);
    }
    int status = 0;
    waitpid(std::exchange(m_pid, 0), &status, 0);
    return { WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status), m_out.text, m_err.text };
}

Finished run(const std::string& name, const std::vector<std::string>& arguments) { return Program(name, arguments).finish(); }

Folder::Folder()
{
    std::string path = std::filesystem::temp_directory_path() / "appletally-XXXXXX";
    REQUIRE(mkdtemp(path.data()));
    m_path = path;
}

Folder::~Folder()
{
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

Port::Port()
    : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int one = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one); // lets the started program bind the port too
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(m_fd, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0);
    socklen_t n = sizeof name;
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&name), &n);
    m_port = ntohs(name.sin_port);
}

Port::~Port() { close(m_fd); }

void writeFile(const std::string& path, const nlohmann::json& json)
{
    std::ofstream out(path);
    out << json.dump(2) << '\n';
    REQUIRE(out.good());
}

} // namespace process_test
