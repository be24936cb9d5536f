// The data folder under torn writes, flipped bits, a full disk and crashes, on an in-memory disk that tracks what was
// synced; one test uses real files.
#include "appletally/consensus/disk_log.h"
#include "consensus_cluster.h"

#include <catch2/catch.hpp>
#include <cerrno>
#include <filesystem>
#include <map>
#include <rapidcheck.h>

using namespace appletally;
using namespace appletally::consensus;

// File names and contents; a crash reverts both to what was synced.
struct FakeDisk {
    struct File {
        std::string bytes;
        std::string synced;
    };
    std::map<std::string, std::shared_ptr<File>> names;
    std::map<std::string, std::shared_ptr<File>> syncedNames;
    std::map<int, std::shared_ptr<File>> open;
    int lastFd = 2;
    size_t freeBytes = SIZE_MAX; // free space in bytes
    int fullError = -ENOSPC;
    int syncError = 0;
    size_t calls = 0;
    size_t failAfterCalls = SIZE_MAX; // number of calls; all later ones fail

    int64_t countCall(int64_t result) { return ++calls > failAfterCalls ? -EIO : result; }

    FileCalls fileCalls()
    {
        return {
            .makeFolder = [](const std::string&) { return 0; },
            .lock = [](const std::string&) { return 1; },
            .openToAppend = [this](const std::string& path, bool empty) {
                auto& file = names[path];
                if (!file || empty)
                    file = std::make_shared<File>();
                open[++lastFd] = file;
                return lastFd; },
            .readAll = [this](const std::string& path, std::string& bytes) {
                if (!names.contains(path))
                    return -ENOENT;
                bytes = names[path]->bytes;
                return 0; },
            .write = [this](int fd, const char* bytes, size_t n) -> int64_t {
                if (countCall(0) < 0)
                    return -EIO;
                if (freeBytes == 0)
                    return fullError;
                n = std::min(n, freeBytes);
                freeBytes -= freeBytes == SIZE_MAX ? 0 : n;
                open.at(fd)->bytes.append(bytes, n);
                return static_cast<int64_t>(n); },
            .truncate = [this](int fd, uint64_t n) { open.at(fd)->bytes.resize(n); return 0; },
            .sync = [this](int fd) {
                if (countCall(syncError) < 0)
                    return -EIO;
                open.at(fd)->synced = open.at(fd)->bytes;
                return 0; },
            .syncFolder = [this](const std::string&) {
                if (countCall(0) < 0)
                    return -EIO;
                syncedNames = names;
                return 0; },
            .rename = [this](const std::string& from, const std::string& to) {
                if (countCall(0) < 0)
                    return -EIO;
                names[to] = names[from];
                names.erase(from);
                return 0; },
            .close = [](int) { return 0; },
        };
    }

    void crash()
    {
        names = syncedNames;
        for (auto& [name, file] : names)
            file->bytes = file->synced;
        failAfterCalls = SIZE_MAX;
    }
    std::string& log() { return names.at("d/log")->bytes; }
};

static Persist entryWrite(uint64_t index, uint64_t term, const std::string& data)
{
    Persist p;
    p.entries = { { { index }, { term }, EntryKind::Data, data, {} } };
    p.state = { { term }, { 7 }, { index - 1 } };
    return p;
}

static DiskLog openLog(FakeDisk& disk) { return openFolder(disk.fileCalls(), "d").value(); }

// Three writes.
static FakeDisk diskWithThreeWrites()
{
    FakeDisk disk;
    REQUIRE(formatFolder(disk.fileCalls(), "d", { { 7 }, { "h0" }, { { { 7 }, { "h0" }, Role::Voter, {} } } }));
    DiskLog log = openLog(disk);
    for (uint64_t n = 1; n <= 3; ++n)
        REQUIRE(write(log, entryWrite(n, 1, "entry " + std::to_string(n))));
    return disk;
}

static bool opensDamaged(FakeDisk& disk)
{
    const auto log = openFolder(disk.fileCalls(), "d");
    return !log && log.error().code == base::Code::LogDamaged;
}

TEST_CASE("a folder is formatted once, by an explicit command", "[consensus][disk]")
{
    // Guards against a voter that forgets its earlier votes: its disk is replaced and the process starts on an empty
    // folder. It must not start a new log by itself.
    FakeDisk disk;
    CHECK(openFolder(disk.fileCalls(), "d").error().code == base::Code::FolderNotFormatted);
    const FormatOptions options { { 7 }, { "h0" }, {} };
    REQUIRE(formatFolder(disk.fileCalls(), "d", options));
    CHECK(formatFolder(disk.fileCalls(), "d", options).error().code == base::Code::FolderAlreadyFormatted);
    CHECK(openLog(disk).id == ReplicaId { 7 });
}

TEST_CASE("what was written is read back after a restart, on real files", "[consensus][disk]")
{
    const std::string folder = std::string(BINARY_FOLDER) + "/disk-log-test";
    std::filesystem::remove_all(folder);
    const FileCalls calls = systemFileCalls();
    REQUIRE(formatFolder(calls, folder, { { 7 }, { "h0" }, {} }));
    {
        DiskLog log = openFolder(calls, folder).value();
        CHECK(openFolder(calls, folder).error().code == base::Code::DiskFailed); // locked against a second process
        for (uint64_t n = 1; n <= 5; ++n)
            REQUIRE(write(log, entryWrite(n, 1, "one")));
        Persist cut = entryWrite(4, 2, std::string("\0\xff two", 6));
        cut.truncateFrom = { 4 };
        REQUIRE(write(log, cut));
        Persist compact;
        compact.snapshot = std::make_shared<const Snapshot>(Snapshot { { { 2 }, { 1 }, {} }, std::make_shared<const std::string>("state") });
        compact.retainFrom = { 2 };
        compact.state = { { 2 }, { 9 }, { 3 } };
        REQUIRE(write(log, compact));
        REQUIRE(write(log, entryWrite(5, 2, "three")));
        closeFolder(log);
    }
    DiskLog log = openFolder(calls, folder).value();
    const Durable found = durable(log);
    CHECK(found.state == HardState { { 2 }, { 7 }, { 4 } });
    CHECK(*found.snapshot.data == "state");
    REQUIRE(found.entries.size() == 4);
    CHECK(found.entries.front().index == LogIndex { 2 });
    CHECK(found.entries[2].data == std::string("\0\xff two", 6));
    CHECK(found.entries.back().data == "three");
    closeFolder(log);
    std::filesystem::remove_all(folder);
}

TEST_CASE("a write torn at any byte is truncated, and earlier data is unchanged", "[consensus][disk]")
{
    // Guards against data loss by a power failure during a write. The torn record was not synced, so nothing depends on
    // it; the replica must recover everything before it and continue to write.
    const FakeDisk whole = diskWithThreeWrites();
    DiskLog before = openFolder(FakeDisk(whole).fileCalls(), "d").value();
    const std::string record = [&] {
        FakeDisk disk = diskWithThreeWrites();
        const size_t size = disk.log().size();
        DiskLog log = openLog(disk);
        REQUIRE(write(log, entryWrite(4, 1, std::string(1500, 'x'))));
        return disk.log().substr(size);
    }();
    const auto cuts = [&](const std::string& torn) {
        FakeDisk disk = diskWithThreeWrites();
        disk.log() += torn;
        DiskLog log = openLog(disk);
        CHECK(log.entries == before.entries);
        CHECK(log.truncatedBytes == torn.size());
        REQUIRE(write(log, entryWrite(4, 1, "again")));
        CHECK(openLog(disk).entries.back().data == "again");
    };
    for (size_t n = 0; n < record.size(); ++n) {
        CAPTURE(n);
        cuts(record.substr(0, n));
    }
    // The file has its new length, but from some block on nothing was written.
    const size_t start = diskWithThreeWrites().log().size();
    for (size_t end = (start / 512 + 1) * 512; end < start + record.size() - 16; end += 512) {
        CAPTURE(end);
        cuts(record.substr(0, end - start) + std::string(start + record.size() - end, '\0'));
    }
    cuts(std::string(record.size(), '\0'));

    // The same for any position of the frame, including a header that continues in the next block.
    for (size_t padding = 0; padding < 512; ++padding) {
        CAPTURE(padding);
        FakeDisk disk = diskWithThreeWrites();
        DiskLog log = openLog(disk);
        REQUIRE(write(log, entryWrite(4, 1, std::string(padding, 'x'))));
        const size_t begin = disk.log().size();
        REQUIRE(write(log, entryWrite(5, 1, std::string(1500, 'x'))));
        const size_t block = (begin / 512 + 1) * 512;
        std::fill(disk.log().begin() + static_cast<int64_t>(block), disk.log().end(), '\0');
        CHECK(openLog(disk).entries.size() == 4);
    }
}

TEST_CASE("a flipped bit anywhere in the folder is reported as damage", "[consensus][disk]")
{
    // Guards against a disk that returns a wrong byte. If it were ignored, an accepted version would be lost or
    // changed; if it were truncated like a torn write, the voter would forget its votes and recorded commits.
    size_t tried = 0;
    for (const char* name : { "d/log", "d/snapshot", "d/replica" }) {
        const size_t size = diskWithThreeWrites().names.at(name)->bytes.size();
        for (size_t at = 0; at < size; ++at) {
            for (int bit = 0; bit < 8; ++bit) {
                CAPTURE(name, at, bit);
                FakeDisk disk = diskWithThreeWrites();
                disk.names.at(name)->bytes[at] = static_cast<char>(disk.names.at(name)->bytes[at] ^ (1 << bit));
                CHECK(opensDamaged(disk));
                ++tried;
            }
        }
    }
    CHECK(tried > 1000);
}

TEST_CASE("a frame missing from the middle of the log is reported", "[consensus][disk]")
{
    FakeDisk disk = diskWithThreeWrites();
    const size_t frame = disk.log().size() / 3;
    disk.log().erase(frame, frame);
    CHECK(opensDamaged(disk));
    disk = diskWithThreeWrites();
    std::fill_n(disk.log().begin() + static_cast<int64_t>(frame), frame, '\0'); // a write lost by the disk
    CHECK(opensDamaged(disk));
}

TEST_CASE("a full or failing disk stops the log permanently, at every byte", "[consensus][disk]")
{
    // Guards against a voter that acknowledges what it could not write when the disk is full, and against trusting a
    // sync that succeeds after a failed one, since the kernel may have dropped the data.
    FakeDisk after = diskWithThreeWrites();
    DiskLog healthy = openLog(after);
    REQUIRE(write(healthy, entryWrite(4, 1, "more")));
    const size_t record = after.log().size() - diskWithThreeWrites().log().size();
    for (size_t freeBytes = 0; freeBytes < record; ++freeBytes) {
        CAPTURE(freeBytes);
        FakeDisk disk = diskWithThreeWrites();
        DiskLog log = openLog(disk);
        disk.freeBytes = freeBytes;
        CHECK(write(log, entryWrite(4, 1, "more")).error().code == base::Code::DiskFull);
        disk.freeBytes = SIZE_MAX;
        CHECK(write(log, entryWrite(4, 1, "more")).error().code == base::Code::DiskFailed);
        CHECK(openLog(disk).entries.size() == 3);
    }
    FakeDisk disk = diskWithThreeWrites();
    DiskLog log = openLog(disk);
    disk.syncError = -EIO;
    CHECK(write(log, entryWrite(4, 1, "more")).error().code == base::Code::DiskFailed);
    disk.syncError = 0;
    CHECK(write(log, entryWrite(4, 1, "more")).error().code == base::Code::DiskFailed);
}

TEST_CASE("a folder rewritten after a failed sync loses nothing in a crash", "[consensus][disk]")
{
    // Guards against losing acknowledged data at a power failure. A sync fails and the disk works again a second later:
    // what can be read may never have reached the disk.
    for (const bool anew : { false, true }) {
        FakeDisk disk = diskWithThreeWrites();
        DiskLog log = openLog(disk);
        disk.syncError = -EIO;
        REQUIRE_FALSE(write(log, entryWrite(4, 1, "more")));
        closeFolder(log);
        disk.syncError = 0;

        DiskLog again = openLog(disk);
        REQUIRE(again.entries.size() == 4);
        if (anew)
            REQUIRE(rewriteFolder(again));
        disk.crash();
        CHECK(openLog(disk).entries.size() == (anew ? 4 : 3));
    }
}

TEST_CASE("a crash at any file call leaves the old state or the new one", "[consensus][disk]")
{
    // Guards against partial states when the process and its machine fail during a format, a write or a snapshot.
    const auto snapshotWrite = [] {
        Persist p = entryWrite(9, 3, "after");
        p.truncateFrom = { 1 };
        p.snapshot = std::make_shared<const Snapshot>(Snapshot { { { 8 }, { 3 }, {} }, std::make_shared<const std::string>("state") });
        p.retainFrom = { 9 };
        return p;
    }();
    bool finished = false;
    for (size_t n = 0; !finished; ++n) {
        CAPTURE(n);
        REQUIRE(n < 100);
        FakeDisk disk = diskWithThreeWrites();
        DiskLog log = openLog(disk);
        disk.failAfterCalls = disk.calls + n;
        finished = write(log, snapshotWrite).has_value();
        disk.crash();
        const DiskLog after = openLog(disk);
        const bool old = after.snapshot.meta.index.value == 0 && after.entries.size() == 3;
        const bool between = after.snapshot.meta.index.value == 8 && after.entries.empty();
        const bool fresh = after.snapshot.meta.index.value == 8 && after.entries.size() == 1 && after.state.term.value == 3;
        CHECK((finished ? fresh : old || between || fresh));
    }
    finished = false;
    for (size_t n = 0; !finished; ++n) {
        CAPTURE(n);
        REQUIRE(n < 100);
        FakeDisk disk;
        disk.failAfterCalls = n;
        finished = formatFolder(disk.fileCalls(), "d", { { 7 }, { "h0" }, {} }).has_value();
        disk.crash();
        const auto log = openFolder(disk.fileCalls(), "d");
        CHECK((log || (!finished && log.error().code == base::Code::FolderNotFormatted)));
        if (!log)
            CHECK(formatFolder(disk.fileCalls(), "d", { { 8 }, { "h0" }, {} }));
    }
}

// A random write that may follow the current contents: entries, optionally after a truncation, sometimes a snapshot.
static Persist anyWrite(const Durable& disk)
{
    const uint64_t first = disk.snapshot.meta.index.value + 1;
    const uint64_t last = disk.entries.empty() ? first - 1 : disk.entries.back().index.value;
    const uint64_t committed = std::max(first - 1, disk.state.commit.value);
    Persist p;
    p.state = { { disk.state.term.value + *rc::gen::inRange(0, 2) }, { *rc::gen::inRange<uint64_t>(0, 4) }, { committed } };
    if (committed >= first && *rc::gen::inRange(0, 4) == 0) {
        const uint64_t index = *rc::gen::inRange(first, committed + 1);
        const SnapshotMeta meta { { index }, disk.entries[index - disk.entries.front().index.value].term, {} };
        p.snapshot = std::make_shared<const Snapshot>(Snapshot { meta, std::make_shared<const std::string>(*rc::gen::arbitrary<std::string>()) });
        p.retainFrom = { *rc::gen::inRange(disk.entries.front().index.value, index + 2) };
        return p;
    }
    uint64_t next = last + 1;
    if (last > committed && *rc::gen::inRange(0, 4) == 0)
        p.truncateFrom = { next = *rc::gen::inRange(committed + 1, last + 1) };
    const auto count = *rc::gen::inRange<uint64_t>(0, 4);
    for (uint64_t n = 0; n < count; ++n)
        p.entries.push_back({ { next + n }, p.state.term, EntryKind::Data, *rc::gen::arbitrary<std::string>(), {} });
    p.state.commit = { *rc::gen::inRange(committed, next + count) };
    return p;
}

TEST_CASE("any sequence of writes is read back after a restart", "[consensus][disk][fuzz]")
{
    // Guards against differences after long use: entries, truncations, snapshots, restarts and torn last frames in any
    // order.
    const bool passed = rc::check([] {
        FakeDisk disk;
        RC_ASSERT(formatFolder(disk.fileCalls(), "d", { { 7 }, { "h0" }, {} }).has_value());
        DiskLog log = openLog(disk);
        Durable expected = durable(log);
        const int writes = *rc::gen::inRange(1, 30);
        for (int n = 0; n < writes; ++n) {
            const Persist p = anyWrite(expected);
            RC_ASSERT(write(log, p).has_value());
            testing::applyPersist(expected, p);
            if (*rc::gen::inRange(0, 3) != 0)
                continue;
            disk.log() += std::string(*rc::gen::inRange<size_t>(0, 16), 'x');
            log = openLog(disk);
            const Durable found = durable(log);
            RC_ASSERT(found.entries == expected.entries);
            RC_ASSERT(found.state == expected.state);
            RC_ASSERT(found.snapshot.meta == expected.snapshot.meta);
            RC_ASSERT((!found.snapshot.data || *found.snapshot.data == *expected.snapshot.data));
        }
    });
    CHECK(passed);
}
