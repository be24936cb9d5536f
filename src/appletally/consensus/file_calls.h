// The file system calls of the disk log, as function objects: tests substitute a disk that is full, tears a write at
// byte n, or loses data that was not synced.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace appletally::consensus {

// All functions return -errno on failure.
struct FileCalls {
    std::function<int(const std::string& path)> makeFolder; // 0, also if it exists
    std::function<int(const std::string& path)> lock; // descriptor that holds the lock; -EWOULDBLOCK if another process holds it
    std::function<int(const std::string& path, bool empty)> openToAppend; // descriptor; creates the file if needed
    std::function<int(const std::string& path, std::string& bytes)> readAll; // 0; -ENOENT if missing
    std::function<int64_t(int fd, const char* bytes, size_t n)> write; // bytes written, possibly fewer than n
    std::function<int(int fd, uint64_t bytes)> truncate; // 0
    std::function<int(int fd)> sync; // 0
    std::function<int(const std::string& path)> syncFolder; // 0
    std::function<int(const std::string& from, const std::string& to)> rename; // 0
    std::function<int(int fd)> close; // 0
};

FileCalls systemFileCalls();

} // namespace appletally::consensus
