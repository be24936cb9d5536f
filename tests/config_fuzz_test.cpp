// The replicated state machine against a plain list of accepted versions, and a node against the list's contents,
// with operators that race and resend, messages that cross, and restarts. Seeds are fixed by tests/main.cpp.
#include "config_boot_words.h"
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

// What somebody asked, in plain numbers. Equal fields: a resend.
struct Asked {
    int kind = 0;
    int by = 0;
    uint64_t number = 0;
    uint64_t base = 0;
    int team = 0;
    int value = 0; // slots, the new version, or the new share
    int from = 0; // share
    uint64_t rollout = 0; // index that started it
    bool operator==(const Asked&) const = default;
};

struct Judged {
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
        TakeItBack,
        Complete,
        Resend,
        Restore,
        OldEntry };
    static constexpr int kinds = 9;
    static const char* kindName(int kind)
    {
        static const char* const names[] = { "submit", "start", "stop", "share", "takeBack", "complete", "resend", "restore", "oldEntry" };
        return names[kind];
    }

    uint64_t index = 0;
    std::vector<uint64_t> accepted { 0 }; // the oracle: versions in the order of their acceptance
    std::vector<Asked> asked;
    std::map<std::pair<int, uint64_t>, std::pair<Asked, Judged>> answers;
    Team teams[teamCount];

    uint64_t version() const { return accepted.back(); }

    Asked read(const Step& it) const
    {
        if (it.kind == Resend && !asked.empty())
            return asked[static_cast<size_t>(it.a) % asked.size()];
        Asked out;
        out.kind = it.kind == Resend ? Submit : it.kind;
        out.team = it.c % teamCount;
        const Team& team = teams[out.team];
        if (out.kind <= Stop) {
            out.by = it.a % 3;
            out.number = static_cast<uint64_t>(it.b % 5 + 1);
            const size_t back = static_cast<size_t>(it.b / 5 % 4);
            out.base = back == 3 ? version() + 1 : accepted[accepted.size() - 1 - std::min(back, accepted.size() - 1)];
        }
        if (out.kind <= Start || out.kind == Share)
            out.value = out.kind == Share ? it.d % 1001 : it.d % 4 + 1;
        if (team.rollout && out.kind >= Stop)
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

    Judged judgeSubmit(const Asked& it)
    {
        Team& team = teams[it.team];
        if (team.exists && team.changedAt > it.base)
            return { Code::VersionConflict, version(), team.changedBy };
        team.exists = true;
        team.slots = it.value;
        return {};
    }

    Judged judgeStart(const Asked& it)
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

    Judged judgeRunning(const Asked& it)
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

    Judged judgeFresh(const Asked& it)
    {
        if (it.kind <= Start && it.base > version())
            return { Code::UnknownVersion, version() };
        Judged out = it.kind == Submit ? judgeSubmit(it) : it.kind == Start ? judgeStart(it)
                                                                            : judgeRunning(it);
        if (out.code != Code::Ok || out.version != 0)
            return out;
        accepted.push_back(index);
        if (it.kind <= Stop) {
            teams[it.team].changedAt = index;
            teams[it.team].changedBy = it.by;
        }
        return { Code::Ok, index };
    }

    Judged judge(const Asked& it)
    {
        ++index;
        if (it.kind > Stop)
            return judgeFresh(it);
        const auto answer = answers.find({ it.by, it.number });
        if (answer != answers.end())
            return answer->second.first == it ? answer->second.second : Judged { Code::RequestNumberReused, version() };
        const Judged out = judgeFresh(it);
        answers[{ it.by, it.number }] = { it, out };
        return out;
    }

    void advance(const Step& step)
    {
        if (step.kind == Restore || step.kind == OldEntry)
            return;
        const Asked it = read(step);
        judge(it);
        asked.push_back(it);
    }
};

const char* const operators[] = { "ada", "bob", "eva" };

std::string serviceOf(int team) { return "s" + std::to_string(team); }

Command commandOf(const Asked& it, int64_t at)
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
    case OperatorsModel::TakeItBack:
        return RollBackRollout { rollout, { 0 }, "bad", { at } };
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
            if (before.index > 0 && !before.asked.empty())
                RC_ASSERT(apply(state, { before.index }, commandOf(before.asked.back(), 0)).code == Code::VersionTooOld);
            return compare(before);
        }
        OperatorsModel after = before;
        const Asked asked = before.read(step);
        const Judged expected = after.judge(asked);
        const Outcome got = apply(state, { after.index }, encode(commandOf(asked, static_cast<int64_t>(after.index))));
        RC_ASSERT(got.code == expected.code);
        RC_ASSERT(got.version.value == expected.version);
        RC_ASSERT(got.winner.text == (expected.winner < 0 ? "" : operators[expected.winner]));
        compare(after);
    }
};

// A source with three voters and one node. A version is released to nodes once two voters have recorded it.
struct DistributionModel {
    enum Kind { Change,
        Record,
        SendDelta,
        SendSnapshot,
        Deliver,
        Drop,
        Restart,
        AskVoter,
        HearVoter };
    static constexpr int kinds = 9;
    static const char* kindName(int kind)
    {
        static const char* const names[] = { "change", "record", "sendDelta", "sendSnapshot", "deliver", "drop", "restart", "askVoter", "hearVoter" };
        return names[kind];
    }

    struct Message {
        size_t from = 0;
        size_t to = 0;
        bool whole = false;
    };
    struct Word {
        size_t voter = 0;
        size_t recorded = 0;
    };

    std::vector<std::map<int, int>> contents { {} }; // the oracle: slots by service, for each version
    size_t recorded[3] = {}; // by the voters' disks
    std::vector<Message> flying;
    std::vector<Word> words; // asked since the last restart
    size_t held = 0;
    std::map<size_t, size_t> heard; // voter to its word
    size_t inForce = 0;
    size_t highestEver = 0; // in force at any time, over all restarts

    size_t released() const
    {
        size_t it[] = { recorded[0], recorded[1], recorded[2] };
        std::sort(std::begin(it), std::end(it));
        return it[1];
    }

    void settle()
    {
        size_t floor = 0;
        for (const auto& [voter, version] : heard)
            floor = std::max(floor, version);
        if (inForce > 0 || (heard.size() >= 2 && held >= floor))
            inForce = held;
        highestEver = std::max(highestEver, inForce);
    }

    void deliver(const Message& it)
    {
        if (it.to > held && (it.whole || it.from == held))
            held = it.to;
    }

    void change(const Step& it)
    {
        std::map<int, int> next = contents.back();
        if (it.b % 4 == 0)
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
                flying.push_back({ static_cast<size_t>(it.a) % released(), released(), false });
            break;
        case SendSnapshot:
            flying.push_back({ 0, static_cast<size_t>(it.a) % (released() + 1), true }); // any: caches lag
            break;
        case Deliver: // stays in flight: it may come again
            if (!flying.empty())
                deliver(flying[static_cast<size_t>(it.a) % flying.size()]);
            break;
        case Drop:
            if (!flying.empty())
                flying.erase(flying.begin() + it.a % static_cast<int>(flying.size()));
            break;
        case Restart:
            held = inForce = 0;
            heard.clear();
            words.clear();
            break;
        case AskVoter:
            words.push_back({ static_cast<size_t>(it.a % 3), recorded[it.a % 3] });
            break;
        default:
            if (!words.empty()) {
                const Word& word = words[static_cast<size_t>(it.a) % words.size()];
                heard[word.voter] = std::max(heard[word.voter], word.recorded);
            }
        }
        settle();
    }
};

Snapshot snapshotOf(const DistributionModel& model, size_t version)
{
    Snapshot out;
    out.version = { version };
    for (const auto& [service, slots] : model.contents[version]) {
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
    tests::BootWords words;

    void deliver(const DistributionModel& model, const DistributionModel::Message& it)
    {
        if (it.whole) {
            auto sent = decodeSnapshot(encode(snapshotOf(model, it.to)));
            (void)applySnapshot(node, sent.value());
            return;
        }
        auto sent = decodeDelta(encode(difference(snapshotOf(model, it.from), snapshotOf(model, it.to))));
        (void)applyDelta(node, sent.value());
    }

    void hear(const DistributionModel::Word& it)
    {
        words.hear(node, { { it.voter }, { it.recorded }, tests::votersOf({ 0, 1, 2 }, 1) });
    }

    void perform(const DistributionModel& before, const Step& step)
    {
        DistributionModel after = before;
        after.advance(step);
        const auto pick = [&](const auto& list) { return list[static_cast<size_t>(step.a) % list.size()]; };
        if (step.kind == DistributionModel::Restart)
            *this = {};
        if (step.kind == DistributionModel::Deliver && !before.flying.empty())
            deliver(before, pick(before.flying));
        if (step.kind == DistributionModel::HearVoter && !before.words.empty())
            hear(pick(before.words));
        const size_t version = appliedVersion(node).value;
        RC_ASSERT(version == after.applied);
        RC_ASSERT(version == 0 || version >= after.highestEver);
        RC_ASSERT(heldVersion(node).value == after.held);
        if (version > 0)
            RC_ASSERT((*node.applied == snapshotOf(after, version)));
    }
};

} // namespace

TEST_CASE("operators that race and resend see one list of accepted versions", "[config][fuzz]")
{
    // Operators race with equal numbers, lose answers and send again, and replicas are made from snapshots in between.
    // A user would notice a change that was confirmed and is gone, or one that happened twice.
    CHECK(rc::check("state machine against the list", fuzz::checkSteps<OperatorsModel, OperatorsSut>));
}

TEST_CASE("a node holds exactly one accepted version and never an older one again", "[config][fuzz]")
{
    // Deltas and snapshots cross, double and get lost, caches lag, and the node restarts with an empty memory. Callers
    // would notice an old version as limits and shares that come back after they were replaced.
    CHECK(rc::check("node against the list's contents", fuzz::checkSteps<DistributionModel, DistributionSut>));
}
