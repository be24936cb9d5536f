// A replica's data folder: a log file of checksummed frames, a snapshot file, and the replica's id.
//
// Data counts as durable only once file and folder are synced. A torn last frame is left by a crash in the middle of a
// write and is truncated; it was never synced, so nothing depended on it. Damage elsewhere means that durable data is
// lost, and a replica that continued could contradict its earlier votes and responses. It is reported as LogDamaged, and
// the replica returns with a newly formatted folder and a new id.
#pragma once

#include "appletally/base/result.h"
#include "appletally/consensus/file_calls.h"
#include "appletally/consensus/types.h"

namespace appletally::consensus {

struct DiskLog {
    FileCalls calls;
    std::string folder;
    int lockFile = -1; // locks the folder against a second process
    int logFile = -1;
    ReplicaId id;
    base::HostId host;
    HardState state; // last written
    Snapshot snapshot;
    std::vector<Entry> entries; // as in the log file, for rewriting it
    uint64_t truncatedBytes = 0; // size of a torn last frame truncated at opening; 0: none
    bool failed = false; // a write or sync failed: all further writes are refused
};

struct FormatOptions {
    ReplicaId id; // random, not 0
    base::HostId host;
    std::vector<Member> members; // empty: waits until the others add it. Only itself as Voter: starts a new log
};

// Creates the folder if needed. FolderAlreadyFormatted, DiskFull, DiskFailed.
base::Result<void> formatFolder(const FileCalls&, const std::string& folder, const FormatOptions&);

// Reads and verifies all files. FolderNotFormatted, LogDamaged; DiskFailed, also if another process holds the lock.
base::Result<DiskLog> openFolder(const FileCalls&, const std::string& folder);
Durable durable(const DiskLog&);

// Writes and syncs. After DiskFull or DiskFailed the log refuses all further writes: it is unknown which data the
// kernel dropped after a failed sync, so a later successful sync would prove nothing.
base::Result<void> write(DiskLog&, const Persist&);

// Rewrites all files and syncs. After a failed sync it is unknown which of the readable bytes are on the disk; a
// replica must call this before it continues with such a folder.
base::Result<void> rewriteFolder(DiskLog&);

void closeFolder(DiskLog&);

} // namespace appletally::consensus
