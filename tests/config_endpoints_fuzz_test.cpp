// Endpoint records between three writers, two relays and a node's mirror, compared with a model of maps: records are
// reordered, duplicated and lost, relays and writers restart, the node switches its relay, and time passes. Seeds are
// fixed by tests/main.cpp.
#include "config_fuzz_step.h"

#include "appletally/config/endpoint_mirror.h"

#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::config;
using base::Time;
using fuzz::Step;

namespace {

constexpr int hostCount = 3; // at most the number that may expire at once without a pause
constexpr int relayCount = 2;

using Revision = std::pair<uint64_t, uint64_t>; // incarnation, sequence

struct Record {
    Revision revision { 0, 0 };
    int state = 0;
    int service = 0;
    uint64_t heartbeat = 0;
};

// The expected state of one record at one relay.
struct RelayRecord {
    Record record;
    int64_t renewed = 0;
    bool expired = false;
    bool gone() const { return expired || record.state == static_cast<int>(EndpointState::Gone); }
};

struct EndpointsModel {
    enum Kind { Announce,
        RestartWriter,
        Renew,
        Deliver,
        Drop,
        PassTime,
        Expire,
        RestartRelay,
        Exchange,
        RequestChanges,
        ReceiveChanges,
        Sync,
        SwitchRelay,
        ExpireUnconfirmed };
    static constexpr int kinds = 14;
    static const char* kindName(int kind)
    {
        static const char* const names[] = { "announce", "restartWriter", "renew", "deliver", "drop", "pass", "expire", "restartRelay", "exchange", "ask", "answer", "sync", "switch", "dropDoubted" };
        return names[kind];
    }

    struct Message {
        int host = 0;
        Record record;
        bool renewal = false;
    };

    Record writers[hostCount];
    std::map<std::pair<int, Revision>, Record> published;
    std::vector<Message> inFlight;
    std::map<int, RelayRecord> relays[relayCount];
    uint64_t relayIds[relayCount] = { 1, 2 };
    uint64_t nextId = 3;
    int64_t now = 1;

    void announce(int host)
    {
        published[{ host, writers[host].revision }] = writers[host];
        inFlight.push_back({ host, writers[host], false });
    }

    void put(int relay, int host, const Record& record, uint64_t heartbeat)
    {
        auto [it, isNew] = relays[relay].try_emplace(host);
        RelayRecord& relayRecord = it->second;
        if (!isNew && record.revision == relayRecord.record.revision)
            return applyHeartbeat(relayRecord, heartbeat);
        if (!isNew && record.revision < relayRecord.record.revision)
            return;
        relayRecord = { record, now, false };
        relayRecord.record.heartbeat = heartbeat;
    }

    void applyHeartbeat(RelayRecord& relayRecord, uint64_t heartbeat)
    {
        if (heartbeat <= relayRecord.record.heartbeat || relayRecord.record.state == static_cast<int>(EndpointState::Gone))
            return;
        relayRecord.record.heartbeat = heartbeat;
        relayRecord.renewed = now;
        relayRecord.expired = false;
    }

    void deliver(const Message& it, int relay)
    {
        const auto relayRecord = relays[relay].find(it.host);
        if (!it.renewal)
            put(relay, it.host, it.record, it.record.heartbeat);
        else if (relayRecord != relays[relay].end() && relayRecord->second.record.revision == it.record.revision)
            applyHeartbeat(relayRecord->second, it.record.heartbeat);
    }

    void expire(int relay)
    {
        for (auto it = relays[relay].begin(); it != relays[relay].end();) {
            RelayRecord& relayRecord = it->second;
            if (!relayRecord.gone() && now - relayRecord.renewed >= endpointLifetime.ms) {
                relayRecord.expired = true;
                relayRecord.renewed = now;
            }
            const bool old = relayRecord.gone() && now - relayRecord.renewed >= tombstoneLifetime.ms;
            it = old ? relays[relay].erase(it) : std::next(it);
        }
    }

    void exchange(int from, int to)
    {
        for (const auto& [host, relayRecord] : std::map(relays[from])) {
            put(to, host, relayRecord.record, 0);
            if (!relayRecord.gone() && relays[to].at(host).record.revision == relayRecord.record.revision)
                applyHeartbeat(relays[to].at(host), relayRecord.record.heartbeat);
        }
    }

    void write(const Step& it, Record& writer)
    {
        if (it.kind == RestartWriter)
            writer = { { writer.revision.first + 1, 1 }, 0, it.b % 2, 1 };
        else
            writer = { { std::max<uint64_t>(writer.revision.first, 1), writer.revision.second + 1 }, it.b % 4, it.c % 2, 1 };
        announce(it.a % hostCount);
    }

    void advance(const Step& it)
    {
        const int host = it.a % hostCount;
        const int relay = it.b % relayCount;
        if (it.kind == Announce || it.kind == RestartWriter) {
            write(it, writers[host]);
        } else if (it.kind == Renew && writers[host].revision.second > 0) {
            ++writers[host].heartbeat;
            inFlight.push_back({ host, writers[host], true });
        } else if (it.kind == Deliver && !inFlight.empty()) {
            deliver(inFlight[static_cast<size_t>(it.a) % inFlight.size()], relay);
        } else if (it.kind == Drop && !inFlight.empty()) {
            inFlight.erase(inFlight.begin() + it.a % static_cast<int>(inFlight.size()));
        } else if (it.kind == PassTime) {
            now += it.a * 10;
        } else if (it.kind == Expire) {
            expire(relay);
        } else if (it.kind == RestartRelay) {
            relays[relay].clear();
            relayIds[relay] = nextId++;
        } else if (it.kind == Exchange) {
            exchange(relay, 1 - relay);
        }
    }
};

Endpoint endpointOf(int host, const Record& it)
{
    Endpoint out;
    out.host = { "h" + std::to_string(host) };
    out.service = { "s" + std::to_string(it.service) };
    out.state = static_cast<EndpointState>(it.state);
    out.incarnation = { it.revision.first };
    out.sequence = { it.revision.second };
    return out;
}

Revision revisionOf(const Endpoint& it) { return { it.incarnation.value, it.sequence.value }; }

struct EndpointsSut {
    EndpointRegistry registries[relayCount];
    EndpointMirror mirror;
    int linked = 0;
    Time linkedSince;
    std::vector<EndpointsDelta> deltas; // on their way to the node, from any relay that it was linked to

    EndpointsSut()
    {
        registries[0].id = 1;
        registries[1].id = 2;
    }

    void deliver(const EndpointsModel::Message& it, int relay, Time now)
    {
        const base::HostId host { "h" + std::to_string(it.host) };
        if (it.renewal)
            renew(registries[relay], { host, { it.record.revision.first }, { it.record.revision.second }, it.record.heartbeat }, now);
        else
            put(registries[relay], endpointOf(it.host, it.record), it.record.heartbeat, now);
    }

    void exchange(int from, int to, Time now)
    {
        for (const auto& [host, entry] : registries[from].entries)
            put(registries[to], entry.endpoint, 0, now);
        for (const EndpointRenewal& it : renewalsSince(registries[from], { -1 }))
            renew(registries[to], it, now);
    }

    void sync(Time now)
    {
        for (bool more = true; more;) {
            const EndpointsDelta delta = changesSince(registries[linked], mirror.cursor, nullptr, 2);
            more = delta.more;
            const auto applied = applyEndpoints(mirror, delta, now);
            RC_ASSERT((bool(applied) || applied.error().code == base::Code::VersionTooOld));
        }
    }

    void compareRegistry(const EndpointsModel& model, int relay) const
    {
        const EndpointRegistry& registry = registries[relay];
        RC_ASSERT(registry.entries.size() == model.relays[relay].size());
        RC_ASSERT(registry.byChange.size() == registry.entries.size());
        for (const auto& [host, relayRecord] : model.relays[relay]) {
            const RegistryEntry& entry = registry.entries.at({ "h" + std::to_string(host) });
            RC_ASSERT((revisionOf(entry.endpoint) == relayRecord.record.revision));
            RC_ASSERT(entry.endpoint.state == static_cast<EndpointState>(relayRecord.record.state));
            RC_ASSERT(entry.heartbeat == relayRecord.record.heartbeat);
            RC_ASSERT(entry.expired == relayRecord.expired);
        }
    }

    // Each endpoint of the node equals the record that its writer published with that revision, or is gone, and never
    // returns to a lower revision.
    void checkMirror(const EndpointsModel& model, const EndpointMirror& before) const
    {
        for (const auto& [host, entry] : mirror.entries) {
            const int n = host.text[1] - '0';
            const auto latest = model.published.find({ n, revisionOf(entry.endpoint) });
            RC_ASSERT(latest != model.published.end());
            const bool asPublished = entry.endpoint.state == static_cast<EndpointState>(latest->second.state) && entry.endpoint.service.text == "s" + std::to_string(latest->second.service);
            RC_ASSERT((asPublished || entry.endpoint.state == EndpointState::Gone));
            const auto earlier = before.entries.find(host);
            RC_ASSERT((earlier == before.entries.end() || revisionOf(earlier->second.endpoint) <= revisionOf(entry.endpoint)));
        }
    }

    // After reading all records of its relay, the node has all of them; others are unconfirmed or gone.
    void checkSynced() const
    {
        for (const auto& [host, relayRecord] : registries[linked].entries) {
            const auto held = mirror.entries.find(host);
            if (held == mirror.entries.end()) { // the node dropped its tombstone before the relay did
                RC_ASSERT((relayRecord.expired || relayRecord.endpoint.state == EndpointState::Gone));
                continue;
            }
            const Endpoint& mirrored = held->second.endpoint;
            RC_ASSERT(revisionOf(mirrored) >= revisionOf(relayRecord.endpoint));
            if (revisionOf(mirrored) == revisionOf(relayRecord.endpoint))
                RC_ASSERT(mirrored.state == (relayRecord.expired ? EndpointState::Gone : relayRecord.endpoint.state));
        }
        for (const auto& [host, entry] : mirror.entries) {
            const bool relayRecord = registries[linked].entries.contains(host);
            RC_ASSERT((relayRecord || entry.unconfirmedSince || entry.endpoint.state == EndpointState::Gone));
        }
    }

    void act(const EndpointsModel& before, const EndpointsModel& after, const Step& step)
    {
        const int relay = step.b % relayCount;
        const Time now { before.now };
        switch (step.kind) {
        case EndpointsModel::Deliver:
            if (!before.inFlight.empty())
                deliver(before.inFlight[static_cast<size_t>(step.a) % before.inFlight.size()], relay, now);
            break;
        case EndpointsModel::Expire:
            expire(registries[relay], now);
            break;
        case EndpointsModel::RestartRelay:
            registries[relay] = {};
            registries[relay].id = after.relayIds[relay];
            break;
        case EndpointsModel::Exchange:
            exchange(relay, 1 - relay, now);
            break;
        case EndpointsModel::RequestChanges:
            deltas.push_back(changesSince(registries[linked], mirror.cursor, nullptr, static_cast<size_t>(step.a % 3 + 1)));
            break;
        case EndpointsModel::ReceiveChanges: // stays on its way: it may come again, and late
            if (!deltas.empty())
                (void)applyEndpoints(mirror, deltas[static_cast<size_t>(step.a) % deltas.size()], now);
            break;
        case EndpointsModel::SwitchRelay:
            linked = relay;
            linkedSince = now;
            break;
        case EndpointsModel::ExpireUnconfirmed:
            expireUnconfirmed(mirror, linkedSince, now);
            break;
        default:
            break;
        }
    }

    void perform(const EndpointsModel& before, const Step& step)
    {
        EndpointsModel after = before;
        after.advance(step);
        const EndpointMirror mirrorBefore = mirror;
        act(before, after, step);
        if (step.kind == EndpointsModel::Sync) {
            sync({ before.now });
            checkSynced();
        }
        checkMirror(after, mirrorBefore);
        for (int n = 0; n < relayCount; ++n)
            compareRegistry(after, n);
    }
};

} // namespace

TEST_CASE("a node's endpoints equal the latest records of their writers, over any relay", "[config][fuzz]")
{
    // Guards against an upstream that is leaving and gets requests again, or one that is back and gets none: records are
    // reordered and duplicated between two relays that restart.
    CHECK(rc::check("registry and mirror against maps", fuzz::checkSteps<EndpointsModel, EndpointsSut>));
}
