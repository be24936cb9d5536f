// Measures the cost of the replicated log: messages, bytes and processor time per accepted entry, bytes per second when
// idle, by number of voters and learners, and the time of one synced write to a real folder.
//
// Usage: log-costs FOLDER. The folder is created and holds about 10 MB afterwards.
#include "appletally/base/clock.h"
#include "appletally/base/histogram.h"
#include "appletally/consensus/disk_log.h"
#include "appletally/consensus/replica.h"

#include <cstdio>
#include <deque>

using namespace appletally;
using namespace appletally::consensus;

static constexpr size_t entryBytes = 2048; // about the size of a rollout step or of a compressed change of one team's answers
static constexpr int entries = 2000;
static constexpr int idleSeconds = 60;
static constexpr uint64_t firstId = uint64_t { 1 } << 62; // encoded as long as random ids

// A group of replicas with immediate message delivery and instantaneous disk writes.
struct Group {
    std::vector<Replica> replicas;
    std::deque<Message> network;
    base::Time now { 1000 };
    uint64_t messages = 0;
    uint64_t bytes = 0;
    uint64_t leaderBytes = 0;
    uint64_t writes = 0;
    uint64_t accepted = 0;
    uint64_t steps = 0;

    Group(size_t voters, size_t learners)
    {
        Durable disk;
        for (size_t n = 0; n < voters + learners; ++n)
            disk.snapshot.meta.members.list.push_back({ { firstId + n }, { "control-" + std::to_string(n) }, n < voters ? Role::Voter : Role::Learner, {} });
        for (size_t n = 0; n < voters + learners; ++n) {
            disk.id = { firstId + n };
            replicas.push_back(make(disk, {}));
        }
    }

    void handleInput(Replica& replica, Input input)
    {
        ++steps;
        // The smallest election timeout makes the first replica stand for election first.
        Ready ready = step(replica, std::move(input), now, replica.id.value == firstId ? 0 : 499);
        accepted += ready.accepted.size();
        for (Message& it : ready.messages) {
            const size_t size = encode(it).size();
            ++messages;
            bytes += size;
            leaderBytes += isLeader(replica) ? size : 0;
            network.push_back(std::move(it));
        }
        if (!ready.persist)
            return;
        ++writes;
        handleInput(replica, Persisted { ready.persist->sequence });
    }

    void deliverMessages()
    {
        while (!network.empty()) {
            const Message m = std::move(network.front());
            network.pop_front();
            handleInput(replicas[m.to.value - firstId], Received { m });
        }
    }

    void runIdle(int64_t ms)
    {
        for (int64_t n = 0; n < ms; n += 25) {
            now = now + base::Duration { 25 };
            for (Replica& it : replicas)
                handleInput(it, Tick {});
            deliverMessages();
        }
    }

    void resetCounters() { messages = bytes = leaderBytes = writes = accepted = steps = 0; }
};

static void measureGroup(size_t voters, size_t learners)
{
    Group group(voters, learners);
    group.runIdle(3000);
    group.resetCounters();
    group.runIdle(idleSeconds * 1000);
    const double idleBytesPerSecond = static_cast<double>(group.leaderBytes) / idleSeconds;
    group.resetCounters();
    const int64_t begin = base::steadyMicros();
    for (int n = 0; n < entries; ++n) {
        group.handleInput(group.replicas[0], Propose { static_cast<uint64_t>(n), std::string(entryBytes, 'x') });
        group.deliverMessages();
    }
    const double micros = static_cast<double>(base::steadyMicros() - begin);
    const auto perEntry = [&](uint64_t value) { return static_cast<double>(value) / static_cast<double>(group.accepted); };
    std::printf("| %zu | %zu | %.0f | %.1f | %.0f | %.1f | %.1f |\n", voters, learners, idleBytesPerSecond, perEntry(group.messages), perEntry(group.bytes),
        perEntry(group.writes), micros / static_cast<double>(group.steps));
}

static bool measureDisk(const std::string& folder)
{
    const FileCalls calls = systemFileCalls();
    const auto formatted = formatFolder(calls, folder, { { 1 }, { "bench" }, {} });
    auto log = openFolder(calls, folder);
    if (!formatted || !log) {
        std::fprintf(stderr, "%s: %s\n", folder.c_str(), (formatted ? log.error() : formatted.error()).text.c_str());
        return false;
    }
    base::LatencyHistogram micros;
    for (uint64_t n = 1; n <= entries; ++n) {
        Persist p;
        p.entries = { { { n }, { 1 }, EntryKind::Data, std::string(entryBytes, 'x'), {} } };
        p.state.commit = { n - 1 };
        const int64_t begin = base::steadyMicros();
        if (!write(log.value(), p))
            return false;
        micros.add(base::steadyMicros() - begin);
    }
    closeFolder(log.value());
    const int64_t begin = base::steadyMicros();
    const bool reopened = openFolder(calls, folder).has_value();
    std::printf("\nsynced write of %zu bytes: median %.2f ms, p99 %.2f ms; opening %d entries: %.1f ms\n", entryBytes,
        micros.quantile(0.5) / 1000, micros.quantile(0.99) / 1000, entries, static_cast<double>(base::steadyMicros() - begin) / 1000);
    return reopened;
}

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::fprintf(stderr, "usage: log-costs FOLDER\n");
        return 2;
    }
    std::puts("| voters | learners | leader's bytes per second when idle | messages per entry | bytes per entry | synced writes per entry | us per step |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- |");
    for (const auto& [voters, learners] : { std::pair<size_t, size_t> { 1, 0 }, { 3, 0 }, { 5, 0 }, { 5, 9 } })
        measureGroup(voters, learners);
    return measureDisk(argv[1]) ? 0 : 1;
}
