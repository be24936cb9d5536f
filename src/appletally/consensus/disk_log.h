// A replica's data folder: one log file of checksummed frames, one snapshot file, and the replica's id.
//
// Nothing is believed to be on the disk before file and folder are synced. A torn last frame is what a crash in the
// middle of a write leaves and is cut; it was never synced, so nothing depended on it. Damage is another thing:
// something promised is gone, and a replica that went on would break its promise. It is reported as LogDamaged, and the
// replica comes back with a freshly formatted folder, under a new id.
#pragma once

#include "appletally/base/result.h"
#include "appletally/consensus/file_calls.h"
#include "appletally/consensus/types.h"

namespace appletally::consensus {

struct DiskLog {
    FileCalls calls;
    std::string folder;
    int lockFile = -1; // holds the folder against a second process
    int logFile = -1;
    ReplicaId id;
    base::HostId host;
    HardState state; // newest written
    Snapshot snapshot;
    std::vector<Entry> entries; // as in the log file, for rewriting it
    uint64_t truncatedBytes = 0; // of a torn last frame, cut at opening; 0: none
    bool failed = false; // a write or sync failed: everything is refused from here on
};

struct FormatOptions {
    ReplicaId id; // random, not 0
    base::HostId host;
    std::vector<Member> members; // empty: waits to be let in by others. Itself alone as Voter: begins a new log
};

// Makes the folder if need be. FolderAlreadyFormatted, DiskFull, DiskFailed.
base::Result<void> formatFolder(const FileCalls&, const std::string& folder, const FormatOptions&);

// Reads everything and checks it. FolderNotFormatted, LogDamaged; DiskFailed, also if another process has the folder.
base::Result<DiskLog> openFolder(const FileCalls&, const std::string& folder);
Durable durable(const DiskLog&);

// Writes and syncs. After DiskFull or DiskFailed the log refuses every further write: what the kernel dropped after a
// failed sync is unknown, so a later sync that succeeds would prove nothing.
base::Result<void> write(DiskLog&, const Persist&);

// Writes all of it anew and syncs. After a failed sync nobody knows which of the bytes that can be read are on the disk; a
// replica that goes on with such a folder has to do this first.
base::Result<void> rewriteFolder(DiskLog&);

void closeFolder(DiskLog&);

} // namespace appletally::consensus
