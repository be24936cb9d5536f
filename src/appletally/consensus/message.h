// Messages between replicas and their wire encoding (CBOR).
//
// Messages may be lost, delayed, duplicated or reordered; receivers rely on term, index and round, never on arrival
// order.
#pragma once

#include "appletally/base/result.h"
#include "appletally/consensus/types.h"

#include <variant>

namespace appletally::consensus {

struct VoteRequest {
    bool pre = false; // pre-vote: asks whether the receiver would grant its vote; changes no term
    LogIndex lastIndex; // of the candidate's log
    Term lastTerm;
};

struct VoteResponse {
    bool pre = false;
    bool granted = false;
};

// Without entries it is the heartbeat.
struct AppendEntries {
    LogIndex previousIndex; // index of the entry before the first of `entries`
    Term previousTerm;
    std::vector<Entry> entries;
    LogIndex commit; // of the leader
    LogIndex released; // see released.h
    uint64_t round = 0; // the leader's latest read round; repeated in the response
};

struct AppendResponse {
    bool matched = false;
    LogIndex index; // matched: durable and equal to the leader's log up to here; otherwise: where the leader probes next
    LogIndex recordedCommit; // durable
    uint64_t round = 0;
};

struct SnapshotChunk {
    SnapshotMeta meta;
    uint64_t offset = 0; // of `data` in the snapshot
    uint64_t total = 0; // size of the snapshot in bytes
    std::string data;
    uint64_t round = 0;
};

struct SnapshotResponse {
    LogIndex index; // of the snapshot
    uint64_t offset = 0; // next expected byte; once the complete snapshot is durable, an AppendResponse is sent instead
    uint64_t round = 0;
};

struct Message {
    ReplicaId from;
    ReplicaId to;
    Term term; // of the sender; a pre-vote carries the term that it would start
    std::variant<VoteRequest, VoteResponse, AppendEntries, AppendResponse, SnapshotChunk, SnapshotResponse> body;
};

std::string encode(const Message&);
base::Result<Message> decode(std::string_view); // MessageMalformed

// Encoding on disk. A write is a Persist without its snapshot.
std::string encodeWrite(const Persist&);
base::Result<Persist> decodeWrite(std::string_view);
std::string encodeMeta(const SnapshotMeta&);
base::Result<SnapshotMeta> decodeMeta(std::string_view);
std::string encodeMember(const Member&);
base::Result<Member> decodeMember(std::string_view);

} // namespace appletally::consensus
