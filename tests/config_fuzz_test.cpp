// Compares the replicated state machine with a plain list of accepted versions, and a node with the contents of that
// list, with concurrent and resending operators, reordered messages and restarts. Seeds are fixed by tests/main.cpp.
#include "config_boot_answers.h"
#include "config_fuzz_step.h"

#include "appletally/config/codec.h"
#include "appletally/config/state_machine.h"

#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::config;
using base::Code;
using fuzz::Step;

namespace {

constexpr int teamCount = 2;

// A command in plain numbers. Equal fields: a resend.
struct Request {
    int kind = 0;
    int by = 0;
    uint64_t number = 0;
    uint64_t base = 0;
    int team = 0;
    int value = 0; // slots, the new version, or the new share
    int from = 0; // share
    uint64_t rollout = 0; // index that started it
    bool operator==(const Request&) const = default;
};

struct Expected {
    Code code = Code::Ok;
    uint64_t version = 0;
    int winner = -1;
};

struct RunningShare {
    uint64_t id = 0;
    int to = 0;
    int share = 0;
    int by = 0;
};

struct Team {
    bool exists = false;
    int slots = 0;
    int traffic = 1;
    uint64_t changedAt = 0;
    int changedBy = 0;
    std::optional<RunningShare> rollout;
};

struct OperatorsModel {
    enum Kind { Submit,
        Start,
        Stop,
        Share,
        RollBack,
        Complete,
        Resend,
        Restore,
        OldEntry,
        Evacuate, // by an operator that numbers its requests
        SetEvacuated }; // by one that does not
    static constexpr int kinds = 11;
    static const char* kindName(int kind)
    {
        static const char* const names[] = { "submit", "start", "stop", "share", "takeBack", "complete", "resend", "restore", "oldEntry", "evacuate", "setEvacuated" };
        return names[kind];
    }
    static bool isNumbered(int kind) { return kind <= Stop || kind == Evacuate; }

    uint64_t index = 0;
    std::vector<uint64_t> accepted { 0 }; // expected versions in the order of their acceptance
    std::vector<Request> requests;
    std::map<std::pair<int, uint64_t>, std::pair<Request, Expected>> outcomes;
    Team teams[teamCount];
    std::set<int> evacuated; // zones

    uint64_t version() const { return accepted.back(); }

    Request read(const Step& it) const
    {
        if (it.kind == Resend && !requests.empty())
            return requests[static_cast<size_t>(it.a) % requests.size()];
        Request out;
        out.kind = it.kind == Resend ? Submit : it.kind;
        out.team = it.c % teamCount;
        const Team& team = teams[out.team];
        if (out.kind == Evacuate || out.kind == SetEvacuated) {
            out.value = it.d % 3;
            out.from = it.d / 3 % 2; // 1: ends the evacuation
            out.team = 0;
        }
        if (isNumbered(out.kind)) {
            out.by = it.a % 3;
            out.number = static_cast<uint64_t>(it.b % 5 + 1);
            const size_t back = static_cast<size_t>(it.b / 5 % 4);
            out.base = back == 3 ? version() + 1 : accepted[accepted.size() - 1 - std::min(back, accepted.size() - 1)];
        }
        if (out.kind <= Start || out.kind == Share)
            out.value = out.kind == Share ? it.d % 1001 : it.d % 4 + 1;
        if (team.rollout && out.kind >= Stop && out.kind <= Complete)
            out.rollout = team.rollout->id;
        if (team.rollout && (out.kind == Share || out.kind == Complete))
            out.from = std::max(0, team.rollout->share - (it.b % 4 == 3 ? 1 : 0));
        return out;
    }

    void end(Team& team, bool completed)
    {
        if (completed)
            team.traffic = team.rollout->to;
        team.rollout.reset();
    }

    Expected expectSubmit(const Request& it)
    {
        Team& team = teams[it.team];
        if (team.exists && team.changedAt > it.base)
            return { Code::VersionConflict, version(), team.changedBy };
        team.exists = true;
        team.slots = it.value;
        return {};
    }

    Expected expectStart(const Request& it)
    {
        Team& team = teams[it.team];
        if (!team.exists)
            return { Code::DanglingReference, version() };
        if (team.changedAt > it.base)
            return { Code::VersionConflict, version(), team.changedBy };
        if (team.rollout)
            return { Code::RolloutConflict, version(), team.rollout->by };
        if (team.traffic == it.value)
            return { Code::AnswersInvalid, version() };
        team.rollout = { index, it.value, 0, it.by };
        return {};
    }

    Expected expectRunning(const Request& it)
    {
        Team& team = teams[it.team];
        if (!team.rollout || team.rollout->id != it.rollout)
            return { Code::RolloutUnknown, version() };
        const bool namesShare = it.kind == Share || it.kind == Complete;
        if (namesShare && team.rollout->share != it.from)
            return { Code::RolloutConflict, version() };
        if (it.kind == Share && it.value == it.from)
            return { Code::Ok, version() };
        if (it.kind == Share)
            team.rollout->share = it.value;
        else
            end(team, it.kind == Complete);
        return {};
    }

    Expected expectEvacuation(const Request& it)
    {
        if (it.from == 0)
            evacuated.insert(it.value);
        else
            evacuated.erase(it.value);
        return {};
    }

    Expected expectNew(const Request& it)
    {
        if ((it.kind <= Start || it.kind == Evacuate) && it.base > version())
            return { Code::UnknownVersion, version() };
        const bool isEvacuation = it.kind == Evacuate || it.kind == SetEvacuated;
        if (isEvacuation && evacuated.contains(it.value) == (it.from == 0))
            return { Code::Ok, version() };
        Expected out = it.kind == Submit ? expectSubmit(it) : it.kind == Start ? expectStart(it)
            : isEvacuation                                                     ? expectEvacuation(it)
                                                                               : expectRunning(it);
        if (out.code != Code::Ok || out.version != 0)
            return out;
        accepted.push_back(index);
        if (it.kind <= Stop) {
            teams[it.team].changedAt = index;
            teams[it.team].changedBy = it.by;
        }
        return { Code::Ok, index };
    }

    Expected expect(const Request& it)
    {
        ++index;
        if (!isNumbered(it.kind))
            return expectNew(it);
        const auto answer = outcomes.find({ it.by, it.number });
        if (answer != outcomes.end())
            return answer->second.first == it ? answer->second.second : Expected { Code::RequestNumberReused, version() };
        const Expected out = expectNew(it);
        outcomes[{ it.by, it.number }] = { it, out };
        return out;
    }

    void advance(const Step& step)
    {
        if (step.kind == Restore || step.kind == OldEntry)
            return;
        const Request it = read(step);
        expect(it);
        requests.push_back(it);
    }
};

const char* const operators[] = { "ada", "bob", "eva" };

std::string zoneOf(int zone) { return "z" + std::to_string(zone); }

std::string serviceOf(int team) { return "s" + std::to_string(team); }

Command commandOf(const Request& it, int64_t at)
{
    const std::string team = std::to_string(it.team);
    const OperatorRequest request { { operators[it.by] }, { it.number }, { it.base }, { at } };
    const base::RolloutId rollout { serviceOf(it.team) + "-" + std::to_string(it.rollout) };
    switch (it.kind) {
    case OperatorsModel::Submit:
        return SubmitAnswers { request, R"({"name":"t)" + team + R"(","weighing":"speed-and-take-back","services":[{"name":"s)" + team + R"(","first_version":"1","slots":)" + std::to_string(it.value) + R"(,"routes":[{"name":"r)" + team + R"(","method":"GET","path_prefix":"/)" + team + "\"}]}]}" };
    case OperatorsModel::Start:
        return StartRollout { request, { serviceOf(it.team) }, {}, { std::to_string(it.value) }, { 1'000'000 } };
    case OperatorsModel::Stop:
        return StopRollout { request, rollout, "asked" };
    case OperatorsModel::Share:
        return SetShare { rollout, { it.from }, { it.value }, "step", { at } };
    case OperatorsModel::RollBack:
        return RollBackRollout { rollout, { 0 }, "bad", { at } };
    case OperatorsModel::Evacuate:
        return EvacuateZone { request, { zoneOf(it.value) }, it.from == 0 };
    case OperatorsModel::SetEvacuated:
        return SetZoneEvacuated { { zoneOf(it.value) }, it.from == 0, { at } };
    default:
        return CompleteRollout { rollout, { it.from }, "good", { at } };
    }
}

struct OperatorsSut {
    State state;

    static std::vector<VersionShare> sharesOf(const Team& team)
    {
        if (!team.rollout)
            return { { { std::to_string(team.traffic) }, { 1000 } } };
        return { { { std::to_string(team.traffic) }, { 1000 - team.rollout->share } }, { { std::to_string(team.rollout->to) }, { team.rollout->share } } };
    }

    void compare(const OperatorsModel& model) const
    {
        RC_ASSERT(current(state).version.value == model.version());
        RC_ASSERT(bool(validate(current(state))));
        RC_ASSERT(state.versions.size() == model.accepted.size() - 1);
        for (size_t n = 0; n < state.versions.size(); ++n)
            RC_ASSERT(state.versions[n].version.value == model.accepted[n + 1]);
        size_t rollouts = 0;
        for (int n = 0; n < teamCount; ++n) {
            const auto service = current(state).services.find({ serviceOf(n) });
            RC_ASSERT((service != current(state).services.end()) == model.teams[n].exists);
            if (!model.teams[n].exists)
                continue;
            RC_ASSERT(service->second.slots == model.teams[n].slots);
            RC_ASSERT((service->second.versions == sharesOf(model.teams[n])));
            rollouts += model.teams[n].rollout ? 1 : 0;
        }
        std::set<base::ZoneName> zones;
        for (const int it : model.evacuated)
            zones.insert({ zoneOf(it) });
        RC_ASSERT((current(state).evacuatedZones == zones));
        RC_ASSERT(current(state).rollouts.size() == rollouts);
        RC_ASSERT(state.running.size() == rollouts);
    }

    void restore()
    {
        const std::string bytes = encode(state);
        auto back = decodeState(bytes);
        RC_ASSERT(bool(back));
        RC_ASSERT(encode(back.value()) == bytes);
        state = std::move(back.value());
    }

    void perform(const OperatorsModel& before, const Step& step)
    {
        if (step.kind == OperatorsModel::Restore)
            return restore();
        if (step.kind == OperatorsModel::OldEntry) {
            if (before.index > 0 && !before.requests.empty())
                RC_ASSERT(apply(state, { before.index }, commandOf(before.requests.back(), 0)).code == Code::VersionTooOld);
            return compare(before);
        }
        OperatorsModel after = before;
        const Request request = before.read(step);
        const Expected expected = after.expect(request);
        const Outcome got = apply(state, { after.index }, encode(commandOf(request, static_cast<int64_t>(after.index))));
        RC_ASSERT(got.code == expected.code);
        RC_ASSERT(got.version.value == expected.version);
        RC_ASSERT(got.winner.text == (expected.winner < 0 ? "" : operators[expected.winner]));
        compare(after);
    }
};

constexpr int evacuationKey = -1; // among the contents of a version: the evacuated zones as a set of two bits

// A source with three voters and one node. A version is released to nodes once two voters have recorded it.
struct DistributionModel {
    enum Kind { Change,
        Record,
        SendDelta,
        SendSnapshot,
        Deliver,
        Drop,
        Restart,
        RequestAnswer,
        ReceiveAnswer };
    static constexpr int kinds = 9;
    static const char* kindName(int kind)
    {
        static const char* const names[] = { "change", "record", "sendDelta", "sendSnapshot", "deliver", "drop", "restart", "askVoter", "hearVoter" };
        return names[kind];
    }

    struct Message {
        size_t from = 0;
        size_t to = 0;
        bool isSnapshot = false;
    };
    struct VoterAnswer {
        size_t voter = 0;
        size_t recorded = 0;
    };

    std::vector<std::map<int, int>> contents { {} }; // expected slots by service, for each version
    size_t recorded[3] = {}; // version on each voter's disk
    std::vector<Message> inFlight;
    std::vector<VoterAnswer> voterAnswers; // requested since the last restart
    size_t held = 0;
    std::map<size_t, size_t> received; // voter to its answer
    size_t applied = 0;
    size_t highestApplied = 0; // highest version ever applied, over all restarts

    size_t released() const
    {
        size_t it[] = { recorded[0], recorded[1], recorded[2] };
        std::sort(std::begin(it), std::end(it));
        return it[1];
    }

    void updateApplied()
    {
        size_t minVersion = 0;
        for (const auto& [voter, version] : received)
            minVersion = std::max(minVersion, version);
        if (applied > 0 || (received.size() >= 2 && held >= minVersion))
            applied = held;
        highestApplied = std::max(highestApplied, applied);
    }

    void deliver(const Message& it)
    {
        if (it.to > held && (it.isSnapshot || it.from == held))
            held = it.to;
    }

    void change(const Step& it)
    {
        std::map<int, int> next = contents.back();
        if (it.c % 4 == 0)
            next[evacuationKey] = it.d % 4;
        else if (it.b % 4 == 0)
            next.erase(it.a % 3);
        else
            next[it.a % 3] = it.b % 4;
        contents.push_back(next);
    }

    void advance(const Step& it)
    {
        switch (it.kind) {
        case Change:
            change(it);
            break;
        case Record:
            recorded[it.a % 3] = std::max(recorded[it.a % 3], static_cast<size_t>(it.b) % contents.size());
            break;
        case SendDelta:
            if (released() > 0)
                inFlight.push_back({ static_cast<size_t>(it.a) % released(), released(), false });
            break;
        case SendSnapshot:
            inFlight.push_back({ 0, static_cast<size_t>(it.a) % (released() + 1), true }); // any: caches lag
            break;
        case Deliver: // stays in flight: it may come again
            if (!inFlight.empty())
                deliver(inFlight[static_cast<size_t>(it.a) % inFlight.size()]);
            break;
        case Drop:
            if (!inFlight.empty())
                inFlight.erase(inFlight.begin() + it.a % static_cast<int>(inFlight.size()));
            break;
        case Restart:
            held = applied = 0;
            received.clear();
            voterAnswers.clear();
            break;
        case RequestAnswer:
            voterAnswers.push_back({ static_cast<size_t>(it.a % 3), recorded[it.a % 3] });
            break;
        default:
            if (!voterAnswers.empty()) {
                const VoterAnswer& voterAnswer = voterAnswers[static_cast<size_t>(it.a) % voterAnswers.size()];
                received[voterAnswer.voter] = std::max(received[voterAnswer.voter], voterAnswer.recorded);
            }
        }
        updateApplied();
    }
};

Snapshot snapshotOf(const DistributionModel& model, size_t version)
{
    Snapshot out;
    out.version = { version };
    for (const auto& [service, slots] : model.contents[version]) {
        if (service == evacuationKey) {
            for (int zone = 0; zone < 2; ++zone)
                if (slots >> zone & 1)
                    out.evacuatedZones.insert({ zoneOf(zone) });
            continue;
        }
        const base::ServiceName name { serviceOf(service) };
        out.services[name].name = name;
        out.services[name].slots = slots;
        Route& route = out.routes[{ "r" + std::to_string(service) }];
        route = { { "r" + std::to_string(service) }, name, "GET", "/" + std::to_string(service), true, {}, {}, {}, {}, {} };
    }
    return out;
}

struct DistributionSut {
    AppliedConfig node;
    tests::BootAnswers bootAnswers;

    void deliver(const DistributionModel& model, const DistributionModel::Message& it)
    {
        if (it.isSnapshot) {
            auto sent = decodeSnapshot(encode(snapshotOf(model, it.to)));
            (void)applySnapshot(node, sent.value());
            return;
        }
        auto sent = decodeDelta(encode(difference(snapshotOf(model, it.from), snapshotOf(model, it.to))));
        (void)applyDelta(node, sent.value());
    }

    void receive(const DistributionModel::VoterAnswer& it)
    {
        bootAnswers.receive(node, { { it.voter }, { it.recorded }, tests::votersOf({ 0, 1, 2 }, 1) });
    }

    void perform(const DistributionModel& before, const Step& step)
    {
        DistributionModel after = before;
        after.advance(step);
        const auto pick = [&](const auto& list) { return list[static_cast<size_t>(step.a) % list.size()]; };
        if (step.kind == DistributionModel::Restart)
            *this = {};
        if (step.kind == DistributionModel::Deliver && !before.inFlight.empty())
            deliver(before, pick(before.inFlight));
        if (step.kind == DistributionModel::ReceiveAnswer && !before.voterAnswers.empty())
            receive(pick(before.voterAnswers));
        const size_t version = appliedVersion(node).value;
        RC_ASSERT(version == after.applied);
        RC_ASSERT(version == 0 || version >= after.highestApplied);
        RC_ASSERT(heldVersion(node).value == after.held);
        if (version > 0)
            RC_ASSERT((*node.applied == snapshotOf(after, version)));
    }
};

} // namespace

TEST_CASE("operators that race and resend see one list of accepted versions", "[config][fuzz]")
{
    // Guards against confirmed changes that are lost or applied twice: operators use equal request numbers at the same
    // time, lose answers and resend, and replicas are restored from snapshots in between.
    CHECK(rc::check("state machine against the list", fuzz::checkSteps<OperatorsModel, OperatorsSut>));
}

TEST_CASE("a node holds exactly one accepted version and never an older one again", "[config][fuzz]")
{
    // Guards against limits and shares that return after they were replaced: deltas and snapshots are reordered,
    // duplicated and lost, caches lag, and the node restarts without its state.
    CHECK(rc::check("node against the list's contents", fuzz::checkSteps<DistributionModel, DistributionSut>));
}
