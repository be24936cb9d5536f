// File system calls of the operating system.
#include "appletally/consensus/file_calls.h"

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace appletally::consensus {

static constexpr mode_t folderMode = 0700;
static constexpr mode_t fileMode = 0600;

static int resultOrErrno(int result) { return result < 0 ? -errno : result; }

static int readAll(const std::string& path, std::string& bytes)
{
    const int fd = resultOrErrno(open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (fd < 0)
        return fd;
    bytes.clear();
    char buf[64 * 1024];
    ssize_t n = 0;
    while ((n = read(fd, buf, sizeof buf)) > 0)
        bytes.append(buf, static_cast<size_t>(n));
    const int result = n < 0 ? -errno : 0;
    close(fd);
    return result;
}

static int lock(const std::string& path)
{
    const int fd = resultOrErrno(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode));
    if (fd < 0)
        return fd;
    const int result = resultOrErrno(flock(fd, LOCK_EX | LOCK_NB));
    if (result < 0)
        close(fd);
    return result < 0 ? result : fd;
}

static int syncFolder(const std::string& path)
{
    const int fd = resultOrErrno(open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd < 0)
        return fd;
    const int result = resultOrErrno(fsync(fd));
    close(fd);
    return result;
}

FileCalls systemFileCalls()
{
    return {
        .makeFolder = [](const std::string& path) { return mkdir(path.c_str(), folderMode) == 0 || errno == EEXIST ? 0 : -errno; },
        .lock = lock,
        .openToAppend = [](const std::string& path, bool empty) { return resultOrErrno(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | (empty ? O_TRUNC : 0), fileMode)); },
        .readAll = readAll,
        .write = [](int fd, const char* bytes, size_t n) -> int64_t {
            const ssize_t written = ::write(fd, bytes, n);
            return written < 0 ? -errno : written;
        },
        .truncate = [](int fd, uint64_t bytes) { return resultOrErrno(ftruncate(fd, static_cast<off_t>(bytes))); },
        .sync = [](int fd) { return resultOrErrno(fsync(fd)); },
        .syncFolder = syncFolder,
        .rename = [](const std::string& from, const std::string& to) { return resultOrErrno(std::rename(from.c_str(), to.c_str())); },
        .close = [](int fd) { return resultOrErrno(::close(fd)); },
    };
}

} // namespace appletally::consensus
