// Several replicas in one process over a simulated network and simulated disks, and an oracle that checks invariants.
//
// A command is a line of text ("cut 0 1"), so that a shrunk run of the state test can be pasted into a trace.
#pragma once

#include "appletally/consensus/released.h"

#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace appletally::consensus::testing {

enum class Op : uint8_t {
    Run, // a: time in units of 10 ms; messages are delivered and writes synced immediately
    AdvanceClock, // a: time in units of 10 ms; nothing is delivered or synced
    Propose, // a: host; beyond the last host: the leader
    Read, // as Propose
    Deliver, // a: index of a message in flight
    Drop, // a: index of a message in flight
    Duplicate, // a: index of a message in flight; delivered and kept in flight
    Sync, // a: host; its oldest write becomes durable
    Crash, // a: host, b: number of its pending writes that reached the disk before
    Start, // a: host
    LoseDisk, // a: host; only a crash where a majority of voters would be lost
    Freeze, // a: host
    Thaw, // a: host
    CutLink, // a: from host, b: to host
    RestoreLinks, // removes all cuts
    AddReplica, // a: host whose replica requests to be added
    RemoveReplica, // a: host whose replica is to be removed
    TakeSnapshot, // a: host whose replica takes a snapshot
    StallDisk, // a: host; its writes become durable only by Sync
    ResumeDisk, // a: host; ends StallDisk
    Partition, // a: bit mask of hosts, cut off from the others in both directions
    Noise, // a: percentage of messages lost, delayed or duplicated by Run, and of writes delayed
    CrashAfter, // a: host, b: it crashes after b + 1 further steps, with its messages sent and its pending writes lost
    Outage, // a: bit mask of hosts; all crash at once and lose their pending writes
    StartAll, // starts all hosts
    ClearFaults, // ends all faults
    Count,
};

struct Action {
    Op what = Op::Run;
    uint32_t a = 0;
    uint32_t b = 0;
};

std::string toString(const Action&);
Action parseAction(const std::string&);

// A violated invariant.
struct InvariantViolation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Contents of one data folder. Kept after the host loses it, so that the oracle can still check what was recorded.
struct Folder {
    Durable durable;
    bool lost = false;
};

void applyPersist(Durable&, const Persist&); // reference implementation of the effect of a Persist on a disk

struct Host {
    ReplicaId id;
    bool up = false;
    bool frozen = false;
    bool diskStalled = false;
    uint32_t crashAfterSteps = 0; // in steps; 0: never
    int64_t clockPercent = 100; // speed of its clock
    Replica replica;
    std::vector<Persist> writes; // not durable yet
    std::string state; // the state machine: all applied data, each followed by a space
    LogIndex applied;
};

struct InFlightMessage {
    Message message;
    size_t to = 0; // host index
};

// The expected history that all replicas must agree with.
struct Oracle {
    std::map<LogIndex, Entry> applied; // by the first host that applied it
    std::map<LogIndex, std::string> accepted; // reported as accepted
    std::map<uint64_t, std::string> proposed; // by id, without a result yet
    std::map<uint64_t, LogIndex> reads; // by id: the last index accepted before the read was requested
    std::map<Term, ReplicaId> leaders;
    LogIndex released;
    uint64_t readsAnswered = 0;
    uint64_t proposalsUnknown = 0;
};

struct Cluster {
    // Hosts beyond the first `maxVoters` start as non-voters; 0: all are voters.
    explicit Cluster(size_t hostCount, uint64_t seed = 1, base::Duration electionTimeout = { 500 }, bool oneReplicaPerHost = false, size_t maxVoters = 0);

    Config config;
    base::Time now { 1000 };
    uint64_t random;
    std::vector<Host> hosts;
    std::map<ReplicaId, Folder> folders;
    std::map<ReplicaId, size_t> hostOf;
    std::vector<InFlightMessage> network;
    std::set<std::pair<size_t, size_t>> cuts;
    Oracle oracle;
    uint64_t lastId = 0;
    uint64_t steps = 0;
    uint32_t noise = 0; // in percent

    void run(const Action&);
    void stepHost(size_t host, Input);
    size_t leader() const; // the running host that leads in the highest term; hosts.size(): none
    void clearFaults(); // ends all faults
    void replaceDisk(size_t host); // loses its disk permanently, even if a majority is lost with it; the host is down afterwards
    size_t addHost(); // down, with an empty folder that was not added to the members
    void settle(); // ends all faults, runs until all hosts have applied a new proposal, and compares their states
};

} // namespace appletally::consensus::testing
