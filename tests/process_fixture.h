// Runs real processes in tests: started with posix_spawn, observed through their output, ended with the test.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace process_test {

// Timeout of every wait. No test waits for it to expire: each wait ends with the expected line or exit.
constexpr int waitTimeoutSeconds = 30;

struct Finished {
    int code = -1; // exit code, or 128 + signal number
    std::string out;
    std::string err;
};

// A started program. Killed by its process id if it is still running when the test ends.
class Program {
public:
    Program() = default;
    Program(const std::string& name, const std::vector<std::string>& arguments); // `name` is in BINARY_FOLDER
    ~Program();
    Program(Program&&) noexcept;
    Program& operator=(Program&&) noexcept;

    // Reads until a line on either output contains all of `parts`; each line is examined once. Fails the test after
    // waitTimeoutSeconds, with the output in the message.
    std::string waitLine(const std::vector<std::string>& parts);
    void signal(int number) const;
    pid_t pid() const { return m_pid; }
    Finished finish(); // waits for the process to exit

private:
    struct Output {
        int fd = -1;
        std::string text;
        size_t seen = 0; // offset of the first line not yet examined
    };
    bool readMore(int milliseconds); // false: both pipes are closed
    void stop();

    pid_t m_pid = 0;
    Output m_out;
    Output m_err;
};

Finished run(const std::string& name, const std::vector<std::string>& arguments);

// A temporary folder, removed when the test ends.
class Folder {
public:
    Folder();
    ~Folder();
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    std::string operator/(const std::string& name) const { return m_path + "/" + name; }

private:
    std::string m_path;
};

// A free port of 127.0.0.1, reserved while the object lives; a program started by the test can still listen on it.
class Port {
public:
    Port();
    ~Port();
    Port(const Port&) = delete;
    Port& operator=(const Port&) = delete;
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    uint16_t number() const { return m_port; }

private:
    int m_fd;
    uint16_t m_port = 0;
};

void writeFile(const std::string& path, const nlohmann::json&);

} // namespace process_test
