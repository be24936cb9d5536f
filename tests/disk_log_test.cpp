// The data folder under torn writes, flipped bits, a full disk and crashes, on a disk of memory that knows what was
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

// Names and bytes; a crash takes both back to what was synced.
struct FakeDisk {
    struct File {
        std::string bytes;
        std::string synced;
    };
    std::map<std::string, std::shared_ptr<File>> names;
    std::map<std::string, std::shared_ptr<File>> syncedNames;
    std::map<int, std::shared_ptr<File>> open;
    int lastFd = 2;
    size_t room = SIZE_MAX; // bytes until it is full
    int fullError = -ENOSPC;
    int syncError = 0;
    size_t calls = 0;
    size_t dieAfter = SIZE_MAX; // calls; every later one fails

    int64_t counted(int64_t result) { return ++calls > dieAfter ? -EIO : result; }

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
                if (counted(0) < 0)
                    return -EIO;
                if (room == 0)
                    return fullError;
                n = std::min(n, room);
                room -= room == SIZE_MAX ? 0 : n;
                open.at(fd)->bytes.append(bytes, n);
                return static_cast<int64_t>(n); },
            .truncate = [this](int fd, uint64_t n) { open.at(fd)->bytes.resize(n); return 0; },
            .sync = [this](int fd) {
                if (counted(syncError) < 0)
                    return -EIO;
                open.at(fd)->synced = open.at(fd)->bytes;
                return 0; },
            .syncFolder = [this](const std::string&) {
                if (counted(0) < 0)
                    return -EIO;
                syncedNames = names;
                return 0; },
            .rename = [this](const std::string& from, const std::string& to) {
                if (counted(0) < 0)
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
        dieAfter = SIZE_MAX;
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

static DiskLog opened(FakeDisk& disk) { return openFolder(disk.fileCalls(), "d").value(); }

// Three writes.
static FakeDisk filled()
{
    FakeDisk disk;
    REQUIRE(formatFolder(disk.fileCalls(), "d", { { 7 }, { "h0" }, { { { 7 }, { "h0" }, Role::Voter, {} } } }));
    DiskLog log = opened(disk);
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
    // A voter's disk is replaced and the process starts on the empty folder. Were it to begin a fresh log by itself, it
    // would vote as if it had promised nothing.
    FakeDisk disk;
    CHECK(openFolder(disk.fileCalls(), "d").error().code == base::Code::FolderNotFormatted);
    const FormatOptions options { { 7 }, { "h0" }, {} };
    REQUIRE(formatFolder(disk.fileCalls(), "d", options));
    CHECK(formatFolder(disk.fileCalls(), "d", options).error().code == base::Code::FolderAlreadyFormatted);
    CHECK(opened(disk).id == ReplicaId { 7 });
}

TEST_CASE("what was written is there after a restart, on real files too", "[consensus][disk]")
{
    const std::string folder = std::string(BINARY_FOLDER) + "/disk-log-test";
    std::filesystem::remove_all(folder);
    const FileCalls calls = systemFileCalls();
    REQUIRE(formatFolder(calls, folder, { { 7 }, { "h0" }, {} }));
    {
        DiskLog log = openFolder(calls, folder).value();
        CHECK(openFolder(calls, folder).error().code == base::Code::DiskFailed); // a second process must keep out
        for (uint64_t n = 1; n <= 5; ++n)
            REQUIRE(write(log, entryWrite(n, 1, "one")));
        Persist cut = entryWrite(4, 2, std::string("\0\xff two", 6));
        cut.cutFrom = { 4 };
        REQUIRE(write(log, cut));
        Persist compact;
        compact.snapshot = std::make_shared<const Snapshot>(Snapshot { { { 2 }, { 1 }, {} }, std::make_shared<const std::string>("state") });
        compact.keepFrom = { 2 };
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

TEST_CASE("a write torn at any byte is cut, and nothing before it is touched", "[consensus][disk]")
{
    // The power goes while a record is written. It was not synced, so nobody was told of it; the replica must come back
    // with everything before it, and write on.
    const FakeDisk whole = filled();
    DiskLog before = openFolder(FakeDisk(whole).fileCalls(), "d").value();
    const std::string record = [&] {
        FakeDisk disk = filled();
        const size_t size = disk.log().size();
        DiskLog log = opened(disk);
        REQUIRE(write(log, entryWrite(4, 1, std::string(1500, 'x'))));
        return disk.log().substr(size);
    }();
    const auto cuts = [&](const std::string& torn) {
        FakeDisk disk = filled();
        disk.log() += torn;
        DiskLog log = opened(disk);
        CHECK(log.entries == before.entries);
        CHECK(log.truncatedBytes == torn.size());
        REQUIRE(write(log, entryWrite(4, 1, "again")));
        CHECK(opened(disk).entries.back().data == "again");
    };
    for (size_t n = 0; n < record.size(); ++n) {
        CAPTURE(n);
        cuts(record.substr(0, n));
    }
    // The file has grown, but from some block on nothing was written.
    const size_t start = filled().log().size();
    for (size_t end = (start / 512 + 1) * 512; end < start + record.size() - 16; end += 512) {
        CAPTURE(end);
        cuts(record.substr(0, end - start) + std::string(start + record.size() - end, '\0'));
    }
    cuts(std::string(record.size(), '\0'));

    // The same wherever the frame begins, also where its header goes on in the next block.
    for (size_t padding = 0; padding < 512; ++padding) {
        CAPTURE(padding);
        FakeDisk disk = filled();
        DiskLog log = opened(disk);
        REQUIRE(write(log, entryWrite(4, 1, std::string(padding, 'x'))));
        const size_t begin = disk.log().size();
        REQUIRE(write(log, entryWrite(5, 1, std::string(1500, 'x'))));
        const size_t block = (begin / 512 + 1) * 512;
        std::fill(disk.log().begin() + static_cast<int64_t>(block), disk.log().end(), '\0');
        CHECK(opened(disk).entries.size() == 4);
    }
}

TEST_CASE("a flipped bit anywhere in the folder is reported and never read over", "[consensus][disk]")
{
    // A disk returns a wrong byte. Read over, an accepted version would vanish or change; cut off like a torn write,
    // this voter would forget what it promised.
    size_t tried = 0;
    for (const char* name : { "d/log", "d/snapshot", "d/replica" }) {
        const size_t size = filled().names.at(name)->bytes.size();
        for (size_t at = 0; at < size; ++at) {
            for (int bit = 0; bit < 8; ++bit) {
                CAPTURE(name, at, bit);
                FakeDisk disk = filled();
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
    FakeDisk disk = filled();
    const size_t frame = disk.log().size() / 3;
    disk.log().erase(frame, frame);
    CHECK(opensDamaged(disk));
    disk = filled();
    std::fill_n(disk.log().begin() + static_cast<int64_t>(frame), frame, '\0'); // a write that the disk lost
    CHECK(opensDamaged(disk));
}

TEST_CASE("a full or failing disk stops the log for good, at every byte", "[consensus][disk]")
{
    // The data folder fills up. The voter must not answer for what it could not write, and after a failed sync a later
    // one that succeeds proves nothing, since the kernel may have dropped the bytes.
    FakeDisk after = filled();
    DiskLog healthy = opened(after);
    REQUIRE(write(healthy, entryWrite(4, 1, "more")));
    const size_t record = after.log().size() - filled().log().size();
    for (size_t room = 0; room < record; ++room) {
        CAPTURE(room);
        FakeDisk disk = filled();
        DiskLog log = opened(disk);
        disk.room = room;
        CHECK(write(log, entryWrite(4, 1, "more")).error().code == base::Code::DiskFull);
        disk.room = SIZE_MAX;
        CHECK(write(log, entryWrite(4, 1, "more")).error().code == base::Code::DiskFailed);
        CHECK(opened(disk).entries.size() == 3);
    }
    FakeDisk disk = filled();
    DiskLog log = opened(disk);
    disk.syncError = -EIO;
    CHECK(write(log, entryWrite(4, 1, "more")).error().code == base::Code::DiskFailed);
    disk.syncError = 0;
    CHECK(write(log, entryWrite(4, 1, "more")).error().code == base::Code::DiskFailed);
}

TEST_CASE("a folder that goes on after a failed sync is written anew, and then a crash takes nothing back", "[consensus][disk]")
{
    // The disk refuses a sync and is well again a second later. What can be read may never have reached it; a voter that
    // promised it to the others would lose it with the next loss of power.
    for (const bool anew : { false, true }) {
        FakeDisk disk = filled();
        DiskLog log = opened(disk);
        disk.syncError = -EIO;
        REQUIRE_FALSE(write(log, entryWrite(4, 1, "more")));
        closeFolder(log);
        disk.syncError = 0;

        DiskLog again = opened(disk);
        REQUIRE(again.entries.size() == 4);
        if (anew)
            REQUIRE(rewriteFolder(again));
        disk.crash();
        CHECK(opened(disk).entries.size() == (anew ? 4 : 3));
    }
}

TEST_CASE("a crash at any file call leaves the old state or the new one", "[consensus][disk]")
{
    // The process dies, and the machine with it, somewhere inside a format, a write or the taking of a snapshot.
    const auto snapshotWrite = [] {
        Persist p = entryWrite(9, 3, "after");
        p.cutFrom = { 1 };
        p.snapshot = std::make_shared<const Snapshot>(Snapshot { { { 8 }, { 3 }, {} }, std::make_shared<const std::string>("state") });
        p.keepFrom = { 9 };
        return p;
    }();
    bool finished = false;
    for (size_t n = 0; !finished; ++n) {
        CAPTURE(n);
        REQUIRE(n < 100);
        FakeDisk disk = filled();
        DiskLog log = opened(disk);
        disk.dieAfter = disk.calls + n;
        finished = write(log, snapshotWrite).has_value();
        disk.crash();
        const DiskLog after = opened(disk);
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
        disk.dieAfter = n;
        finished = formatFolder(disk.fileCalls(), "d", { { 7 }, { "h0" }, {} }).has_value();
        disk.crash();
        const auto log = openFolder(disk.fileCalls(), "d");
        CHECK((log || (!finished && log.error().code == base::Code::FolderNotFormatted)));
        if (!log)
            CHECK(formatFolder(disk.fileCalls(), "d", { { 8 }, { "h0" }, {} }));
    }
}

// One write that may follow what is there: entries after a cut, now and then a snapshot.
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
        p.keepFrom = { *rc::gen::inRange(disk.entries.front().index.value, index + 2) };
        return p;
    }
    uint64_t next = last + 1;
    if (last > committed && *rc::gen::inRange(0, 4) == 0)
        p.cutFrom = { next = *rc::gen::inRange(committed + 1, last + 1) };
    const auto count = *rc::gen::inRange<uint64_t>(0, 4);
    for (uint64_t n = 0; n < count; ++n)
        p.entries.push_back({ { next + n }, p.state.term, EntryKind::Data, *rc::gen::arbitrary<std::string>(), {} });
    p.state.commit = { *rc::gen::inRange(committed, next + count) };
    return p;
}

TEST_CASE("whatever was written, a restart finds the same", "[consensus][disk][fuzz]")
{
    // Voters write for weeks: entries, cuts, snapshots, restarts and torn tails in any order.
    const bool passed = rc::check([] {
        FakeDisk disk;
        RC_ASSERT(formatFolder(disk.fileCalls(), "d", { { 7 }, { "h0" }, {} }).has_value());
        DiskLog log = opened(disk);
        Durable expected = durable(log);
        const int writes = *rc::gen::inRange(1, 30);
        for (int n = 0; n < writes; ++n) {
            const Persist p = anyWrite(expected);
            RC_ASSERT(write(log, p).has_value());
            testing::makeDurable(expected, p);
            if (*rc::gen::inRange(0, 3) != 0)
                continue;
            disk.log() += std::string(*rc::gen::inRange<size_t>(0, 16), 'x');
            log = opened(disk);
            const Durable found = durable(log);
            RC_ASSERT(found.entries == expected.entries);
            RC_ASSERT(found.state == expected.state);
            RC_ASSERT(found.snapshot.meta == expected.snapshot.meta);
            RC_ASSERT((!found.snapshot.data || *found.snapshot.data == *expected.snapshot.data));
        }
    });
    CHECK(passed);
}
