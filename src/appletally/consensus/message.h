// What replicas say to each other, and its bytes on the wire (CBOR).
//
// All messages may be lost, late, doubled or crossed; the receiver goes by term, index and round, never by order.
#pragma once

#include "appletally/base/result.h"
#include "appletally/consensus/types.h"

#include <variant>

namespace appletally::consensus {

struct VoteAsk {
    bool pre = false; // pre-vote: "would you vote for me?", changes no term
    LogIndex lastIndex; // of the candidate's log
    Term lastTerm;
};

struct VoteAnswer {
    bool pre = false;
    bool granted = false;
};

// Also the heartbeat, then without entries.
struct AppendEntries {
    LogIndex previousIndex; // the entry before the first of `entries`
    Term previousTerm;
    std::vector<Entry> entries;
    LogIndex commit; // the leader's
    LogIndex released; // see released.h
    uint64_t round = 0; // the leader's latest read round; the answer repeats it
};

struct AppendAnswer {
    bool matched = false;
    LogIndex index; // matched: durable and equal to the leader's up to here; else: where to try next
    LogIndex recordedCommit; // durable
    uint64_t round = 0;
};

struct SnapshotChunk {
    SnapshotMeta meta;
    uint64_t offset = 0; // of `data` in the whole
    uint64_t total = 0; // bytes of the whole
    std::string data;
    uint64_t round = 0;
};

struct SnapshotAnswer {
    LogIndex index; // of the snapshot
    uint64_t offset = 0; // the next byte wanted; when the whole is durable an AppendAnswer comes instead
    uint64_t round = 0;
};

struct Message {
    ReplicaId from;
    ReplicaId to;
    Term term; // of the sender; a pre-vote carries the term that it would begin
    std::variant<VoteAsk, VoteAnswer, AppendEntries, AppendAnswer, SnapshotChunk, SnapshotAnswer> body;
};

std::string encode(const Message&);
base::Result<Message> decode(std::string_view); // MessageMalformed

// For the disk. A write is a Persist without its snapshot.
std::string encodeWrite(const Persist&);
base::Result<Persist> decodeWrite(std::string_view);
std::string encodeMeta(const SnapshotMeta&);
base::Result<SnapshotMeta> decodeMeta(std::string_view);
std::string encodeMember(const Member&);
base::Result<Member> decodeMember(std::string_view);

} // namespace appletally::consensus
