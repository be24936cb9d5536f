// The data folder: order of writes, and recovery at opening.
//
// Files: "replica" (id and host; its presence means formatted), "snapshot" (meta, then bytes), "log" (one frame per
// write), "lock". A replacement file is written under a temporary name, synced and renamed, then the folder is synced.
#include "appletally/consensus/disk_log.h"

#include "appletally/consensus/frame.h"
#include "appletally/consensus/message.h"

#include <cerrno>
#include <cstring>

namespace appletally::consensus {

using base::Code;
using base::fail;
using base::Result;

static base::Error diskError(int error, const std::string& what)
{
    const Code code = error == -ENOSPC || error == -EDQUOT ? Code::DiskFull : Code::DiskFailed;
    return fail(code, what + ": " + std::strerror(-error));
}

static Result<void> writeAndSync(const FileCalls& calls, int fd, std::string_view bytes, const std::string& path)
{
    while (!bytes.empty()) {
        const int64_t n = calls.write(fd, bytes.data(), bytes.size());
        if (n <= 0)
            return diskError(n < 0 ? static_cast<int>(n) : -EIO, "write " + path);
        bytes.remove_prefix(static_cast<size_t>(n));
    }
    if (const int error = calls.sync(fd); error < 0)
        return diskError(error, "sync " + path);
    return base::success();
}

// Atomic: a crash at any point leaves either the old file or the complete new one.
static Result<void> replaceFile(const FileCalls& calls, const std::string& folder, const std::string& name, std::string_view bytes)
{
    const std::string path = folder + "/" + name;
    const std::string temporaryPath = path + ".new";
    const int fd = calls.openToAppend(temporaryPath, true);
    if (fd < 0)
        return diskError(fd, "open " + temporaryPath);
    Result<void> written = writeAndSync(calls, fd, bytes, temporaryPath);
    calls.close(fd);
    if (!written)
        return written;
    if (const int error = calls.rename(temporaryPath, path); error < 0)
        return diskError(error, "rename " + temporaryPath);
    if (const int error = calls.syncFolder(folder); error < 0)
        return diskError(error, "sync " + folder);
    return base::success();
}

static std::string snapshotBytes(const Snapshot& snapshot)
{
    return frame(encodeMeta(snapshot.meta)) + frame(snapshot.data ? *snapshot.data : std::string {});
}

static Result<std::string> readFile(const FileCalls& calls, const std::string& path)
{
    std::string bytes;
    const int error = calls.readAll(path, bytes);
    if (error < 0)
        return diskError(error, "read " + path);
    return bytes;
}

// Files that are replaced atomically cannot have a torn last frame.
static Result<Frames> readCompleteFrames(const std::string& bytes, size_t count, const std::string& path)
{
    Frames frames = readFrames(bytes);
    if (frames.status != FrameStatus::Complete || frames.payloads.size() != count)
        return fail(Code::LogDamaged, path + " is incomplete or fails its checksum");
    return frames;
}

Result<void> formatFolder(const FileCalls& calls, const std::string& folder, const FormatOptions& options)
{
    if (const int error = calls.makeFolder(folder); error < 0)
        return diskError(error, "make " + folder);
    std::string old;
    const int readError = calls.readAll(folder + "/replica", old);
    if (readError == 0)
        return fail(Code::FolderAlreadyFormatted, folder + " already belongs to a replica");
    if (readError != -ENOENT)
        return diskError(readError, "read " + folder + "/replica");

    Snapshot first;
    first.meta.members.list = options.members;
    BOOST_OUTCOME_TRYV(replaceFile(calls, folder, "log", {}));
    BOOST_OUTCOME_TRYV(replaceFile(calls, folder, "snapshot", snapshotBytes(first)));
    // Last, because its presence marks the other files as complete.
    return replaceFile(calls, folder, "replica", frame(encodeMember({ options.id, options.host, Role::Learner, {} })));
}

static Result<void> readIdentity(DiskLog& log)
{
    const std::string path = log.folder + "/replica";
    std::string bytes;
    const int error = log.calls.readAll(path, bytes);
    if (error == -ENOENT)
        return fail(Code::FolderNotFormatted, log.folder + " was never formatted");
    if (error < 0)
        return diskError(error, "read " + path);
    BOOST_OUTCOME_TRY(frames, readCompleteFrames(bytes, 1, path));
    const auto self = decodeMember(frames.payloads[0]);
    if (!self)
        return fail(Code::LogDamaged, path + ": " + self.error().text);
    log.id = self.value().id;
    log.host = self.value().host;
    return base::success();
}

static Result<void> readSnapshot(DiskLog& log)
{
    const std::string path = log.folder + "/snapshot";
    BOOST_OUTCOME_TRY(bytes, readFile(log.calls, path));
    BOOST_OUTCOME_TRY(frames, readCompleteFrames(bytes, 2, path));
    const auto meta = decodeMeta(frames.payloads[0]);
    if (!meta)
        return fail(Code::LogDamaged, path + ": " + meta.error().text);
    log.snapshot.meta = meta.value();
    if (log.snapshot.meta.index.value != 0)
        log.snapshot.data = std::make_shared<const std::string>(frames.payloads[1]);
    return base::success();
}

// Returns false if the write does not continue the log.
static bool applyWrite(DiskLog& log, const Persist& p)
{
    if (p.truncateFrom.value)
        std::erase_if(log.entries, [&](const Entry& it) { return it.index >= p.truncateFrom; });
    for (const Entry& it : p.entries) {
        if (!log.entries.empty() && it.index.value != log.entries.back().index.value + 1)
            return false;
        log.entries.push_back(it);
    }
    log.state = p.state;
    return true;
}

// A crash between replacing the snapshot and rewriting the log leaves the older log. Entries that do not continue the
// snapshot were replaced by it.
static void discardDivergedEntries(DiskLog& log)
{
    const SnapshotMeta& meta = log.snapshot.meta;
    if (log.entries.empty() || log.entries.front().index.value == meta.index.value + 1)
        return;
    for (const Entry& it : log.entries)
        if (it.index == meta.index && it.term == meta.term)
            return;
    log.entries.clear();
}

static Result<void> readLog(DiskLog& log)
{
    const std::string path = log.folder + "/log";
    BOOST_OUTCOME_TRY(bytes, readFile(log.calls, path));
    const Frames frames = readFrames(bytes);
    if (frames.status == FrameStatus::Damaged)
        return fail(Code::LogDamaged, path + " is damaged at byte " + std::to_string(frames.validBytes));
    for (const std::string_view payload : frames.payloads) {
        const auto write = decodeWrite(payload);
        if (!write || !applyWrite(log, write.value()))
            return fail(Code::LogDamaged, path + " holds a write that does not continue the log");
    }
    discardDivergedEntries(log);
    const LogIndex last = log.entries.empty() ? log.snapshot.meta.index : log.entries.back().index;
    if (log.state.commit > last)
        return fail(Code::LogDamaged, path + " lacks entries that it records as committed");

    log.logFile = log.calls.openToAppend(path, false);
    if (log.logFile < 0)
        return diskError(log.logFile, "open " + path);
    log.truncatedBytes = bytes.size() - frames.validBytes;
    if (log.truncatedBytes == 0)
        return base::success();
    if (const int error = log.calls.truncate(log.logFile, frames.validBytes); error < 0)
        return diskError(error, "truncate " + path);
    if (const int error = log.calls.sync(log.logFile); error < 0)
        return diskError(error, "sync " + path);
    return base::success();
}

static Result<void> lockAndRead(DiskLog& log)
{
    BOOST_OUTCOME_TRYV(readIdentity(log));
    log.lockFile = log.calls.lock(log.folder + "/lock");
    if (log.lockFile < 0)
        return diskError(log.lockFile, "lock " + log.folder);
    BOOST_OUTCOME_TRYV(readSnapshot(log));
    return readLog(log);
}

Result<DiskLog> openFolder(const FileCalls& calls, const std::string& folder)
{
    DiskLog log;
    log.calls = calls;
    log.folder = folder;
    if (Result<void> read = lockAndRead(log); !read) {
        closeFolder(log);
        return read.error();
    }
    return log;
}

Durable durable(const DiskLog& log) { return { log.id, log.host, log.state, log.snapshot, log.entries }; }

// Rewrites the log file without the entries that the snapshot covers.
static Result<void> rewriteLog(DiskLog& log, LogIndex retainFrom)
{
    std::erase_if(log.entries, [&](const Entry& it) { return it.index < retainFrom; });
    Persist all;
    all.entries = log.entries;
    all.state = log.state;
    BOOST_OUTCOME_TRYV(replaceFile(log.calls, log.folder, "log", frame(encodeWrite(all))));
    log.calls.close(log.logFile);
    log.logFile = log.calls.openToAppend(log.folder + "/log", false);
    if (log.logFile < 0)
        return diskError(log.logFile, "open " + log.folder + "/log");
    return base::success();
}

static Result<void> writeToFiles(DiskLog& log, const Persist& p)
{
    if (!applyWrite(log, p))
        return fail(Code::Internal, "write would leave a gap in the log");
    if (!p.snapshot)
        return writeAndSync(log.calls, log.logFile, frame(encodeWrite(p)), log.folder + "/log");
    log.snapshot = *p.snapshot;
    BOOST_OUTCOME_TRYV(replaceFile(log.calls, log.folder, "snapshot", snapshotBytes(log.snapshot)));
    return rewriteLog(log, p.retainFrom);
}

Result<void> write(DiskLog& log, const Persist& p)
{
    if (log.failed)
        return fail(Code::DiskFailed, "an earlier write to " + log.folder + " failed");
    Result<void> result = writeToFiles(log, p);
    log.failed = !result;
    return result;
}

Result<void> rewriteFolder(DiskLog& log)
{
    BOOST_OUTCOME_TRYV(replaceFile(log.calls, log.folder, "snapshot", snapshotBytes(log.snapshot)));
    return rewriteLog(log, {});
}

void closeFolder(DiskLog& log)
{
    if (log.logFile >= 0)
        log.calls.close(log.logFile);
    if (log.lockFile >= 0)
        log.calls.close(log.lockFile);
    log.logFile = -1;
    log.lockFile = -1;
}

} // namespace appletally::consensus
