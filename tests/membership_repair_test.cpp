// Repair of the members while further disks are lost: the log's step function with the leader's periodic duties,
// without a network.
#include "appletally/policy/lost_voters.h"
#include "consensus_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::consensus;
using namespace appletally::consensus::testing;

namespace {

constexpr uint32_t second = 100; // in the units of Run
constexpr uint32_t dutyInterval = 20;
constexpr uint32_t catchUpTime = 4 * second; // a new or returned host counts as lost for this long

// Periodic duties of the leader in a mesh without a fixed list of voters.
struct Duties {
    policy::LostVoters lost;
    size_t leader = SIZE_MAX;
};

void addNewReplicas(Cluster& c, size_t leader)
{
    std::vector<Member> joining;
    for (size_t host = 0; host < c.hosts.size(); ++host) {
        const ReplicaId id = c.hosts[host].id;
        if (c.hosts[host].up && !findMember(latestMembers(c.hosts[leader].replica), id))
            joining.push_back({ id, c.folders.at(id).durable.host, Role::Joining, {} });
    }
    if (!joining.empty())
        c.stepHost(leader, AddMembers { ++c.lastId, joining });
}

void removeLostVoters(Cluster& c, Duties& duties)
{
    const Replica& replica = c.hosts[duties.leader].replica;
    const base::Time now { c.now.ms * c.hosts[duties.leader].clockPercent / 100 };
    if (const auto id = policy::nextLostVoter(duties.lost, latestMembers(replica), respondingVoters(replica, now), hasStandby(replica, now), c.now))
        c.stepHost(duties.leader, RemoveMember { ++c.lastId, *id });
}

void runWithDuties(Cluster& c, Duties& duties, uint32_t units)
{
    for (; units > 0; units -= std::min(units, dutyInterval)) {
        c.run({ Op::Run, std::min(units, dutyInterval), 0 });
        const size_t leader = c.leader();
        if (leader == c.hosts.size())
            continue;
        if (duties.leader != leader)
            duties = { {}, leader };
        addNewReplicas(c, leader);
        removeLostVoters(c, duties);
    }
}

void start(Cluster& c, size_t host) { c.run({ Op::Start, static_cast<uint32_t>(host), 0 }); }

// There is a leader, and it accepts another proposal while all earlier accepted entries are kept.
bool acceptsProposals(Cluster& c, Duties& duties)
{
    runWithDuties(c, duties, 5 * second);
    const size_t leader = c.leader();
    if (leader == c.hosts.size())
        return false;
    const size_t before = c.oracle.accepted.size();
    c.run({ Op::Propose, static_cast<uint32_t>(leader), 0 });
    runWithDuties(c, duties, second);
    return c.oracle.accepted.size() == before + 1;
}

void acceptProposals(Cluster& c, Duties& duties)
{
    for (int n = 0; n < 5; ++n) {
        c.run({ Op::Propose, static_cast<uint32_t>(c.hosts.size()), 0 });
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

// Guards against hosts that are added one at a time, which delays the first configuration by one change per host.
TEST_CASE("hosts that start together are added together, and the number of voters reaches its limit", "[consensus][formation]")
{
    Duties duties;
    Cluster c = tenHostCluster(duties);
    runWithDuties(c, duties, second);
    REQUIRE(c.leader() != c.hosts.size());
    CHECK(latestMembers(c.hosts[c.leader()].replica).list.size() == 10);
    CHECK(voterCount(c) == 5);
    acceptProposals(c, duties);
    for (const Host& it : c.hosts)
        CHECK(hasCaughtUp(it.replica));
}

// Guards against lost voters that are not replaced although non-voters have the log.
TEST_CASE("non-voters replace lost voters, two at a time", "[consensus][formation]")
{
    Duties duties;
    Cluster c = tenHostCluster(duties);
    runWithDuties(c, duties, 2 * second);
    acceptProposals(c, duties);
    for (int round = 0; round < 2; ++round) {
        const std::vector<Member> members = latestMembers(c.hosts.at(c.leader()).replica).list;
        int lost = 0;
        for (const Member& it : members) {
            if (it.role == Role::Voter && lost < 2) {
                c.replaceDisk(c.hostOf.at(it.id));
                ++lost;
            }
        }
        CHECK(acceptsProposals(c, duties));
        runWithDuties(c, duties, 5 * second);
        REQUIRE(c.leader() != c.hosts.size());
        CHECK(voterCount(c) == 5);
    }
    CHECK(c.oracle.accepted.size() == 7);
}

// Guards against a failed host that still counts after another has taken its place, so that the next lost disk leaves
// no majority.
TEST_CASE("a disk lost after a control host was replaced by one at another address leaves a majority", "[consensus][formation]")
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
                acceptProposals(c, duties);
                c.hosts[replaced].up = false; // permanently, and its links only go silent
                const size_t successor = c.addHost();
                runWithDuties(c, duties, second);
                start(c, successor);
                runWithDuties(c, duties, catchUpTime + delay);
                c.replaceDisk(victim);
                for (uint32_t host = 0; host < c.hosts.size(); ++host) {
                    if (host != replaced)
                        start(c, host);
                }
                CHECK(acceptsProposals(c, duties));
            }
        }
    }
}

// Guards against a repair that counts both lost replicas of a host as voters, so that the two running voters are no
// majority.
TEST_CASE("a host that loses its disk again at any time during its repair leaves a majority", "[consensus][formation]")
{
    for (uint32_t victim = 0; victim < 3; ++victim) {
        for (uint32_t delay = 0; delay <= second; ++delay) {
            CAPTURE(victim, delay);
            Cluster c(3, 1 + delay, { 500 }, true);
            Duties duties;
            runWithDuties(c, duties, 2 * second);
            acceptProposals(c, duties);
            c.replaceDisk(victim);
            start(c, victim);
            runWithDuties(c, duties, delay);
            c.replaceDisk(victim);
            c.run({ Op::Outage, UINT32_MAX, 0 });
            c.run({ Op::StartAll, 0, 0 });
            CHECK(acceptsProposals(c, duties));
        }
    }
}
