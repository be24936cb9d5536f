// Replicas that repair their members while further disks are lost: the log's core with the leader's duties, no network.
#include "appletally/policy/lost_voters.h"
#include "consensus_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::consensus;
using namespace appletally::consensus::testing;

namespace {

constexpr uint32_t second = 100; // in the units of Run
constexpr uint32_t dutyEvery = 20;
constexpr uint32_t catchUp = 4 * second; // a host that is new or back counts as lost for this long

// What the leader of a mesh without a fixed list of voters does at intervals.
struct Duties {
    policy::LostVoters lost;
    size_t leader = SIZE_MAX;
};

void letInNewReplicas(Cluster& c, size_t leader)
{
    std::vector<Member> joining;
    for (size_t host = 0; host < c.hosts.size(); ++host) {
        const ReplicaId id = c.hosts[host].id;
        if (c.hosts[host].up && !findMember(latestMembers(c.hosts[leader].replica), id))
            joining.push_back({ id, c.folders.at(id).durable.host, Role::Joining, {} });
    }
    if (!joining.empty())
        c.feed(leader, AddMembers { ++c.lastId, joining });
}

void takeOutLostVoters(Cluster& c, Duties& duties)
{
    const Replica& replica = c.hosts[duties.leader].replica;
    const base::Time now { c.now.ms * c.hosts[duties.leader].clockPercent / 100 };
    if (const auto id = policy::nextLostVoter(duties.lost, latestMembers(replica), respondingVoters(replica, now), hasStandby(replica, now), c.now))
        c.feed(duties.leader, RemoveMember { ++c.lastId, *id });
}

void runWithDuties(Cluster& c, Duties& duties, uint32_t units)
{
    for (; units > 0; units -= std::min(units, dutyEvery)) {
        c.run({ Do::Run, std::min(units, dutyEvery), 0 });
        const size_t leader = c.leader();
        if (leader == c.hosts.size())
            continue;
        if (duties.leader != leader)
            duties = { {}, leader };
        letInNewReplicas(c, leader);
        takeOutLostVoters(c, duties);
    }
}

void start(Cluster& c, size_t host) { c.run({ Do::Start, static_cast<uint32_t>(host), 0 }); }

// A leader stands, takes a further proposal and has all that was accepted before.
bool serves(Cluster& c, Duties& duties)
{
    runWithDuties(c, duties, 5 * second);
    const size_t leader = c.leader();
    if (leader == c.hosts.size())
        return false;
    const size_t before = c.oracle.accepted.size();
    c.run({ Do::Propose, static_cast<uint32_t>(leader), 0 });
    runWithDuties(c, duties, second);
    return c.oracle.accepted.size() == before + 1;
}

void acceptSome(Cluster& c, Duties& duties)
{
    for (int n = 0; n < 5; ++n) {
        c.run({ Do::Propose, static_cast<uint32_t>(c.hosts.size()), 0 });
        runWithDuties(c, duties, 10);
    }
    REQUIRE(c.oracle.accepted.size() == 5);
}

size_t voterCount(const Cluster& c)
{
    const std::vector<Member> members = latestMembers(c.hosts.at(c.leader()).replica).list;
    return static_cast<size_t>(std::count_if(members.begin(), members.end(), [](const Member& it) { return it.role == Role::Voter; }));
}

// Three initial voters, a limit of five voters, and seven more hosts that have just started.
Cluster tenHostCluster(Duties& duties)
{
    Cluster c(3, 1, { 500 }, true, 5);
    runWithDuties(c, duties, second);
    for (int n = 0; n < 7; ++n)
        start(c, c.addHost());
    return c;
}

} // namespace

// Guards against: hosts that are added one at a time, which delays the first configuration by one change for each host.
TEST_CASE("hosts that start together are added together, and the number of voters reaches its limit", "[consensus][formation]")
{
    Duties duties;
    Cluster c = tenHostCluster(duties);
    runWithDuties(c, duties, second);
    REQUIRE(c.leader() != c.hosts.size());
    CHECK(latestMembers(c.hosts[c.leader()].replica).list.size() == 10);
    CHECK(voterCount(c) == 5);
    acceptSome(c, duties);
    for (const Host& it : c.hosts)
        CHECK(hasCaughtUp(it.replica));
}

// Guards against: lost voters that are not replaced although replicas without a vote have the log.
TEST_CASE("replicas without a vote replace lost voters, two at a time", "[consensus][formation]")
{
    Duties duties;
    Cluster c = tenHostCluster(duties);
    runWithDuties(c, duties, 2 * second);
    acceptSome(c, duties);
    for (int round = 0; round < 2; ++round) {
        const std::vector<Member> members = latestMembers(c.hosts.at(c.leader()).replica).list;
        int lost = 0;
        for (const Member& it : members) {
            if (it.role == Role::Voter && lost < 2) {
                c.wipe(c.hostOf.at(it.id));
                ++lost;
            }
        }
        CHECK(serves(c, duties));
        runWithDuties(c, duties, 5 * second);
        REQUIRE(c.leader() != c.hosts.size());
        CHECK(voterCount(c) == 5);
    }
    CHECK(c.oracle.accepted.size() == 7);
}

// Guards against: a dead host that is still counted after another has taken its place, so that the next lost disk leaves no majority.
TEST_CASE("a disk lost after a control host was replaced at another address leaves a majority", "[consensus][formation]")
{
    for (uint32_t replaced = 0; replaced < 3; ++replaced) {
        for (uint32_t victim = 0; victim < 4; ++victim) {
            for (uint32_t delay = 0; delay <= 10 * second; delay += 50) {
                if (victim == replaced)
                    continue;
                CAPTURE(replaced, victim, delay);
                Cluster c(3, 1 + delay, { 500 }, true);
                Duties duties;
                runWithDuties(c, duties, 2 * second);
                acceptSome(c, duties);
                c.hosts[replaced].up = false; // for good, and its links only go silent
                const size_t successor = c.addHost();
                runWithDuties(c, duties, second);
                start(c, successor);
                runWithDuties(c, duties, catchUp + delay);
                c.wipe(victim);
                for (uint32_t host = 0; host < c.hosts.size(); ++host) {
                    if (host != replaced)
                        start(c, host);
                }
                CHECK(serves(c, duties));
            }
        }
    }
}

// Guards against: a repair that counts both of a host's lost replicas as voters, so that the two that live are no majority.
TEST_CASE("a host that loses its disk again at any moment of its repair leaves a majority", "[consensus][formation]")
{
    for (uint32_t victim = 0; victim < 3; ++victim) {
        for (uint32_t delay = 0; delay <= second; ++delay) {
            CAPTURE(victim, delay);
            Cluster c(3, 1 + delay, { 500 }, true);
            Duties duties;
            runWithDuties(c, duties, 2 * second);
            acceptSome(c, duties);
            c.wipe(victim);
            start(c, victim);
            runWithDuties(c, duties, delay);
            c.wipe(victim);
            c.run({ Do::Outage, UINT32_MAX, 0 });
            c.run({ Do::Return, 0, 0 });
            CHECK(serves(c, duties));
        }
    }
}
