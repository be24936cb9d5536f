// Endpoint records between three writers, two relays and a node's mirror, against maps: records cross, double and get
// lost, relays and writers restart, the node changes its relay, and time passes. Seeds are fixed by tests/main.cpp.
#include "config_fuzz_step.h"

#include "appletally/config/endpoint_mirror.h"

#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::config;
using base::Time;
using fuzz::Step;

namespace {

constexpr int hostCount = 3; // no more than expire at once without a hold
constexpr int relayCount = 2;

using Age = std::pair<uint64_t, uint64_t>; // incarnation, sequence

struct Record {
    Age age { 0, 0 };
    int state = 0;
    int service = 0;
    uint64_t beat = 0;
};

// The oracle's view of one record at one relay.
struct Known {
    Record record;
    int64_t renewed = 0;
    bool ranOut = false;
    bool gone() const { return ranOut || record.state == static_cast<int>(EndpointState::Gone); }
};

struct EndpointsModel {
    enum Kind { Announce,
        RestartWriter,
        Renew,
        Deliver,
        Drop,
        Pass,
        Expire,
        RestartRelay,
        Exchange,
        Ask,
        Answer,
        Sync,
        Switch,
        DropDoubted };
    static constexpr int kinds = 14;
    static const char* kindName(int kind)
    {
        static const char* const names[] = { "announce", "restartWriter", "renew", "deliver", "drop", "pass", "expire", "restartRelay", "exchange", "ask", "answer", "sync", "switch", "dropDoubted" };
        return names[kind];
    }

    struct Flight {
        int host = 0;
        Record record;
        bool renewal = false;
    };

    Record writers[hostCount];
    std::map<std::pair<int, Age>, Record> published;
    std::vector<Flight> flying;
    std::map<int, Known> relays[relayCount];
    uint64_t relayIds[relayCount] = { 1, 2 };
    uint64_t nextId = 3;
    int64_t now = 1;

    void announce(int host)
    {
        published[{ host, writers[host].age }] = writers[host];
        flying.push_back({ host, writers[host], false });
    }

    void put(int relay, int host, const Record& record, uint64_t beat)
    {
        auto [it, isNew] = relays[relay].try_emplace(host);
        Known& known = it->second;
        if (!isNew && record.age == known.record.age)
            return takeBeat(known, beat);
        if (!isNew && record.age < known.record.age)
            return;
        known = { record, now, false };
        known.record.beat = beat;
    }

    void takeBeat(Known& known, uint64_t beat)
    {
        if (beat <= known.record.beat || known.record.state == static_cast<int>(EndpointState::Gone))
            return;
        known.record.beat = beat;
        known.renewed = now;
        known.ranOut = false;
    }

    void deliver(const Flight& it, int relay)
    {
        const auto known = relays[relay].find(it.host);
        if (!it.renewal)
            put(relay, it.host, it.record, it.record.beat);
        else if (known != relays[relay].end() && known->second.record.age == it.record.age)
            takeBeat(known->second, it.record.beat);
    }

    void expire(int relay)
    {
        for (auto it = relays[relay].begin(); it != relays[relay].end();) {
            Known& known = it->second;
            if (!known.gone() && now - known.renewed >= endpointLifetime.ms) {
                known.ranOut = true;
                known.renewed = now;
            }
            const bool old = known.gone() && now - known.renewed >= tombstoneLifetime.ms;
            it = old ? relays[relay].erase(it) : std::next(it);
        }
    }

    void exchange(int from, int to)
    {
        for (const auto& [host, known] : std::map(relays[from])) {
            put(to, host, known.record, 0);
            if (!known.gone() && relays[to].at(host).record.age == known.record.age)
                takeBeat(relays[to].at(host), known.record.beat);
        }
    }

    void write(const Step& it, Record& writer)
    {
        if (it.kind == RestartWriter)
            writer = { { writer.age.first + 1, 1 }, 0, it.b % 2, 1 };
        else
            writer = { { std::max<uint64_t>(writer.age.first, 1), writer.age.second + 1 }, it.b % 4, it.c % 2, 1 };
        announce(it.a % hostCount);
    }

    void advance(const Step& it)
    {
        const int host = it.a % hostCount;
        const int relay = it.b % relayCount;
        if (it.kind == Announce || it.kind == RestartWriter) {
            write(it, writers[host]);
        } else if (it.kind == Renew && writers[host].age.second > 0) {
            ++writers[host].beat;
            flying.push_back({ host, writers[host], true });
        } else if (it.kind == Deliver && !flying.empty()) {
            deliver(flying[static_cast<size_t>(it.a) % flying.size()], relay);
        } else if (it.kind == Drop && !flying.empty()) {
            flying.erase(flying.begin() + it.a % static_cast<int>(flying.size()));
        } else if (it.kind == Pass) {
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
    out.incarnation = { it.age.first };
    out.sequence = { it.age.second };
    return out;
}

Age ageOf(const Endpoint& it) { return { it.incarnation.value, it.sequence.value }; }

struct EndpointsSut {
    EndpointRegistry registries[relayCount];
    EndpointMirror mirror;
    int linked = 0;
    Time linkedSince;
    std::vector<EndpointsDelta> answers; // on their way to the node, from any relay that it was linked to

    EndpointsSut()
    {
        registries[0].id = 1;
        registries[1].id = 2;
    }

    void deliver(const EndpointsModel::Flight& it, int relay, Time now)
    {
        const base::HostId host { "h" + std::to_string(it.host) };
        if (it.renewal)
            renew(registries[relay], { host, { it.record.age.first }, { it.record.age.second }, it.record.beat }, now);
        else
            put(registries[relay], endpointOf(it.host, it.record), it.record.beat, now);
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
        for (const auto& [host, known] : model.relays[relay]) {
            const RegistryEntry& entry = registry.entries.at({ "h" + std::to_string(host) });
            RC_ASSERT((ageOf(entry.endpoint) == known.record.age));
            RC_ASSERT(entry.endpoint.state == static_cast<EndpointState>(known.record.state));
            RC_ASSERT(entry.beat == known.record.beat);
            RC_ASSERT(entry.ranOut == known.ranOut);
        }
    }

    // What the node shows is what its writer said under that age, or gone; and it never goes back to an older word.
    void checkMirror(const EndpointsModel& model, const EndpointMirror& before) const
    {
        for (const auto& [host, entry] : mirror.entries) {
            const int n = host.text[1] - '0';
            const auto said = model.published.find({ n, ageOf(entry.endpoint) });
            RC_ASSERT(said != model.published.end());
            const bool asSaid = entry.endpoint.state == static_cast<EndpointState>(said->second.state) && entry.endpoint.service.text == "s" + std::to_string(said->second.service);
            RC_ASSERT((asSaid || entry.endpoint.state == EndpointState::Gone));
            const auto earlier = before.entries.find(host);
            RC_ASSERT((earlier == before.entries.end() || ageOf(earlier->second.endpoint) <= ageOf(entry.endpoint)));
        }
    }

    // Having read all that its relay has, the node knows it all, and what the relay lacks is in doubt or gone.
    void checkSynced() const
    {
        for (const auto& [host, known] : registries[linked].entries) {
            const auto held = mirror.entries.find(host);
            if (held == mirror.entries.end()) { // the node dropped its tombstone before the relay did
                RC_ASSERT((known.ranOut || known.endpoint.state == EndpointState::Gone));
                continue;
            }
            const Endpoint& shown = held->second.endpoint;
            RC_ASSERT(ageOf(shown) >= ageOf(known.endpoint));
            if (ageOf(shown) == ageOf(known.endpoint))
                RC_ASSERT(shown.state == (known.ranOut ? EndpointState::Gone : known.endpoint.state));
        }
        for (const auto& [host, entry] : mirror.entries) {
            const bool known = registries[linked].entries.contains(host);
            RC_ASSERT((known || entry.unconfirmedSince || entry.endpoint.state == EndpointState::Gone));
        }
    }

    void act(const EndpointsModel& before, const EndpointsModel& after, const Step& step)
    {
        const int relay = step.b % relayCount;
        const Time now { before.now };
        switch (step.kind) {
        case EndpointsModel::Deliver:
            if (!before.flying.empty())
                deliver(before.flying[static_cast<size_t>(step.a) % before.flying.size()], relay, now);
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
        case EndpointsModel::Ask:
            answers.push_back(changesSince(registries[linked], mirror.cursor, nullptr, static_cast<size_t>(step.a % 3 + 1)));
            break;
        case EndpointsModel::Answer: // stays on its way: it may come again, and late
            if (!answers.empty())
                (void)applyEndpoints(mirror, answers[static_cast<size_t>(step.a) % answers.size()], now);
            break;
        case EndpointsModel::Switch:
            linked = relay;
            linkedSince = now;
            break;
        case EndpointsModel::DropDoubted:
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

TEST_CASE("a node's endpoints are what their writers said last, over any relay", "[config][fuzz]")
{
    // Records cross and double on their way over two relays that restart. A caller would notice an upstream that is
    // leaving and gets work again, or one that is back and gets none.
    CHECK(rc::check("registry and mirror against maps", fuzz::checkSteps<EndpointsModel, EndpointsSut>));
}
