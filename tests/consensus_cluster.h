// Several replicas in one process, over a network and disks that do what a test says, and an oracle that judges them.
//
// A command is a line of text ("cut 0 1"), so that what the state test shrinks can be pasted into a trace.
#pragma once

#include "appletally/consensus/released.h"

#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace appletally::consensus::testing {

enum class Do : uint8_t {
    Run, // a: time in units of 10 ms, everything delivered and synced as it comes
    Pass, // a: time in units of 10 ms, nothing delivered nor synced
    Propose, // a: host; past the last one: the leader
    Read, // as Propose
    Deliver, // a: which of the messages on their way
    Drop, // a: which
    Twice, // a: which; delivered and still on its way
    Sync, // a: host's oldest write becomes durable
    Crash, // a: host, b: how many of its writes reached the disk before
    Start, // a: host
    LoseDisk, // a: host; refused (then only a crash) where a majority of voters would be lost
    Freeze, // a: host
    Thaw, // a: host
    Cut, // a: from host, b: to host
    Heal, // all cuts
    Repair, // a: host's replica asks to be let in
    Remove, // a: host's replica is to be taken out
    Compact, // a: host
    Slow, // a: host's writes are not durable by themselves any more
    Fast, // a: ends it
    Split, // a: hosts by bit, cut off from the others in both directions
    Noise, // a: per cent of messages lost, kept back or doubled while it runs, and of writes kept back
    Strike, // a: host, b: it crashes right after so many further steps, with its messages sent and its writes lost
    Outage, // a: hosts by bit, all crash at once with nothing more on their disks
    Return, // all start again
    Calm, // all of these faults end
    Count,
};

struct Action {
    Do what = Do::Run;
    uint32_t a = 0;
    uint32_t b = 0;
};

std::string text(const Action&);
Action parseAction(const std::string&);

// A broken invariant.
struct Broken : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// What one data folder holds. Survives its host's loss of it, so that the oracle can still ask what was recorded.
struct Folder {
    Durable durable;
    bool lost = false;
};

void makeDurable(Durable&, const Persist&); // what a Persist means for a disk, in the plainest way

struct Host {
    ReplicaId id;
    bool up = false;
    bool frozen = false;
    bool slow = false;
    uint32_t strikeAfter = 0; // steps; 0: never
    int64_t clockPercent = 100; // how fast its clock runs
    Replica replica;
    std::vector<Persist> writes; // not durable yet
    std::string state; // the state machine: all data applied, each followed by a blank
    LogIndex applied;
};

struct OnItsWay {
    Message message;
    size_t to = 0; // host
};

// The plain list that all replicas must agree with.
struct Oracle {
    std::map<LogIndex, Entry> applied; // first seen at any host
    std::map<LogIndex, std::string> accepted; // answered as accepted
    std::map<uint64_t, std::string> proposed; // by id, not answered yet
    std::map<uint64_t, LogIndex> reads; // by id: the last index accepted before it was asked
    std::map<Term, ReplicaId> leaders;
    LogIndex released;
    uint64_t readsAnswered = 0;
    uint64_t proposalsUnknown = 0;
};

struct Cluster {
    // Hosts beyond the first `mostVoters` start without a vote; 0: all vote.
    explicit Cluster(size_t hostCount, uint64_t seed = 1, base::Duration electionTimeout = { 500 }, bool oneReplicaPerHost = false, size_t maxVoters = 0);

    Config config;
    base::Time now { 1000 };
    uint64_t random;
    std::vector<Host> hosts;
    std::map<ReplicaId, Folder> folders;
    std::map<ReplicaId, size_t> hostOf;
    std::vector<OnItsWay> network;
    std::set<std::pair<size_t, size_t>> cuts;
    Oracle oracle;
    uint64_t lastId = 0;
    uint64_t steps = 0;
    uint32_t noise = 0; // per cent

    void run(const Action&);
    void feed(size_t host, Input);
    size_t leader() const; // the up, thawed host that leads in the highest term; hosts.size(): none
    void calm(); // ends all faults
    void wipe(size_t host); // its disk is lost for good, also where a majority goes with it; the host is down
    size_t addHost(); // down, with an empty folder that nobody has let in
    void settle(); // calm, then runs until everyone has applied a fresh proposal, and compares
};

} // namespace appletally::consensus::testing
