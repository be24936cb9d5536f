// Counts grants per group of keepers, decides once, and sends the ending until the keepers have noted it.
#include "appletally/policy/claim_round.h"

#include <algorithm>

namespace appletally::policy {

namespace {

    bool isGrant(ClaimReply it) { return it == ClaimReply::Granted || it == ClaimReply::AlreadyGranted; }

    // A grant from before a restart does not count once any other keeper of the key has seen that restart: the keeper
    // may have come back and caught up without this claim.
    bool isStale(const ClaimRound& round, const base::HostId& host, const ClaimAnswer& grant)
    {
        for (const auto& [other, asked] : round.asked) {
            if (!asked.answer || !isGrant(asked.answer->reply))
                continue;
            for (const SeenKeeper& it : asked.answer->seen) {
                if (it.host == host && it.incarnation > grant.incarnation)
                    return true;
            }
        }
        return false;
    }

    struct GroupCount {
        size_t size = 0;
        size_t granted = 0;
        size_t full = 0; // knows of no claim, has no room for one
        size_t reused = 0; // held for another request with the same key
        size_t held = 0;
        size_t mostHeldByOne = 0; // by one other attempt
        size_t blocked() const { return full + reused + held; }
        size_t need() const { return grantsNeeded(size); }
    };

    GroupCount countGroup(const ClaimRound& round, const std::vector<base::HostId>& group)
    {
        GroupCount out;
        out.size = group.size();
        std::map<base::AttemptId, size_t> holders;
        for (const base::HostId& host : group) {
            const AskedKeeper& asked = round.asked.at(host);
            if (!asked.answer)
                continue;
            const ClaimAnswer& it = *asked.answer;
            out.granted += isGrant(it.reply) && !isStale(round, host, it) ? 1 : 0;
            out.full += it.reply == ClaimReply::Full ? 1 : 0;
            out.reused += it.reply == ClaimReply::KeyReusedDifferently ? 1 : 0;
            if (it.reply == ClaimReply::Held) {
                ++out.held;
                out.mostHeldByOne = std::max(out.mostHeldByOne, ++holders[it.holder]);
            }
        }
        return out;
    }

    std::vector<GroupCount> countGroups(const ClaimRound& round)
    {
        std::vector<GroupCount> out;
        for (const std::vector<base::HostId>* group : { &round.keepers.current, &round.keepers.previous }) {
            if (!group->empty())
                out.push_back(countGroup(round, *group));
        }
        return out;
    }

    template <typename Condition>
    bool inEach(const std::vector<GroupCount>& groups, Condition condition)
    {
        return !groups.empty() && std::all_of(groups.begin(), groups.end(), condition);
    }

    template <typename Condition>
    bool inAny(const std::vector<GroupCount>& groups, Condition condition)
    {
        return std::any_of(groups.begin(), groups.end(), condition);
    }

    void decide(ClaimRound& round, ClaimDecision decision, base::Code code, std::string reason, base::Time now)
    {
        round.decision = decision;
        round.code = code;
        round.reason = std::move(reason);
        round.endedAt = now;
    }

    // A record tells the truth whoever has it: only the attempt that ran writes one.
    bool decidedByRecord(ClaimRound& round, const ClaimAnswer& answer, base::Time now)
    {
        if (answer.reply != ClaimReply::Finished || !answer.outcome)
            return false;
        round.outcome = answer.outcome;
        decide(round, ClaimDecision::AnswerRecorded, base::Code::Ok, "it ran before", now);
        return true;
    }

    // Racing attempts that split the keepers: the lowest attempt id keeps its grants and asks again, the others give way
    // at once. So a race ends within a round, and one of the racers runs.
    bool mustGiveWay(const ClaimRound& round)
    {
        for (const auto& [host, asked] : round.asked) {
            if (!asked.answer)
                continue;
            if (asked.answer->reply == ClaimReply::Held && asked.answer->holder < round.attempt)
                return true;
            if (asked.answer->reply == ClaimReply::KeyReusedDifferently)
                return true;
        }
        return false;
    }

    void decideByCount(ClaimRound& round, base::Time now)
    {
        const std::vector<GroupCount> groups = countGroups(round);
        if (inEach(groups, [](const GroupCount& it) { return it.granted >= it.need(); })) {
            decide(round, ClaimDecision::Run, base::Code::Ok, "granted", now);
            return;
        }
        if (inEach(groups, [](const GroupCount& it) { return it.reused >= it.need(); })) {
            decide(round, ClaimDecision::NotRun, base::Code::KeyReusedDifferently, "another request has the key", now);
            return;
        }
        if (inAny(groups, [](const GroupCount& it) { return it.mostHeldByOne >= it.need(); })) {
            decide(round, ClaimDecision::OutcomeUnknown, base::Code::ClaimHeld, "another attempt of the key holds its claim", now);
            return;
        }
        const bool blocked = inAny(groups, [](const GroupCount& it) { return it.size - it.blocked() < it.need(); });
        if (!blocked)
            return;
        const bool onlyRoom = inEach(groups, [](const GroupCount& it) { return it.granted + it.full >= it.need(); });
        if (onlyRoom)
            decide(round, ClaimDecision::NotRun, base::Code::Overloaded, "the key's keepers have no room for a claim", now);
        else if (mustGiveWay(round))
            decide(round, ClaimDecision::OutcomeUnknown, base::Code::ClaimHeld, "gave way to a racing attempt of the key", now);
    }

    bool counts(const AskedKeeper& asked, const ClaimAnswer& answer)
    {
        if (!asked.answer)
            return true;
        if (answer.incarnation != asked.answer->incarnation)
            return answer.incarnation > asked.answer->incarnation;
        // Within one incarnation a grant stands until this round gives it up, so anything else was sent before it.
        return !isGrant(asked.answer->reply);
    }

    // Which answers are worth asking again for: all that may change while the round lasts.
    bool mayChange(const ClaimRound& round, const AskedKeeper& asked)
    {
        if (!asked.answer)
            return true;
        switch (asked.answer->reply) {
        case ClaimReply::Granted:
        case ClaimReply::AlreadyGranted:
        case ClaimReply::Finished:
        case ClaimReply::Released:
            return false;
        case ClaimReply::WrongSet:
            return asked.answer->number < round.number; // it follows soon; one ahead never comes back
        default:
            return true;
        }
    }

    bool isStaleGrant(const ClaimRound& round, const base::HostId& host, const AskedKeeper& asked)
    {
        return asked.answer && isGrant(asked.answer->reply) && isStale(round, host, *asked.answer);
    }

    void planNextAsk(const ClaimRound& round, AskedKeeper& asked, base::Time now, uint64_t random)
    {
        const bool contended = asked.answer && asked.answer->reply == ClaimReply::Held;
        if (contended) {
            const auto spread = static_cast<int64_t>(random % static_cast<uint64_t>(round.settings.contend.ms + 1));
            asked.askAgainAt = now + round.settings.contend + base::Duration { spread };
            return;
        }
        asked.askAgainAt = now + asked.pause;
        asked.pause = asked.pause * 2;
    }

    void sendAsks(ClaimRound& round, base::Time now, uint64_t random, std::vector<OutgoingClaimMessage>& out)
    {
        for (auto& [host, asked] : round.asked) {
            if (asked.askAgainAt > now || !(mayChange(round, asked) || isStaleGrant(round, host, asked)))
                continue;
            out.push_back({ host, ClaimRequest { round.number, round.key, round.digest, round.attempt, round.runWithin } });
            planNextAsk(round, asked, now, random);
        }
    }

    // Whether the ending is a finish, a release, or nothing that keepers need to hear.
    std::optional<ClaimMessage> endingOf(const ClaimRound& round, base::Time now)
    {
        if (round.decision == ClaimDecision::Pending)
            return std::nullopt;
        if (round.decision != ClaimDecision::Run)
            return ClaimRelease { round.key, round.attempt };
        if (round.end == ClaimEnd::NotStarted)
            return ClaimRelease { round.key, round.attempt };
        if (round.end == ClaimEnd::Finished)
            return ClaimFinish { round.key, round.digest, round.attempt, *round.outcome, round.startedAt + round.runWithin - now };
        return std::nullopt;
    }

    void sendEnding(ClaimRound& round, const ClaimMessage& ending, base::Time now, std::vector<OutgoingClaimMessage>& out)
    {
        if (now - round.endedAt >= round.settings.finishLimit)
            return;
        for (auto& [host, asked] : round.asked) {
            if (asked.noted || asked.askAgainAt > now)
                continue;
            out.push_back({ host, ending });
            asked.askAgainAt = now + asked.pause;
            asked.pause = asked.pause * 2;
        }
    }

    void beginEnding(ClaimRound& round, base::Time now)
    {
        round.endedAt = now;
        for (auto& [host, asked] : round.asked) {
            asked.askAgainAt = now;
            asked.pause = round.settings.reask;
        }
    }

} // namespace

ClaimRound startRound(const config::KeeperSet& set, const ClaimKey& key, uint64_t digest, base::AttemptId attempt,
    base::Duration runWithin, base::Time now, ClaimRoundSettings settings)
{
    ClaimRound round;
    round.number = set.number;
    round.keepers = keepersOf(set, key);
    round.key = key;
    round.digest = digest;
    round.attempt = attempt;
    round.runWithin = std::min(runWithin, settings.mostRun);
    round.settings = settings;
    round.startedAt = now;
    for (const base::HostId& host : round.keepers.all())
        round.asked[host] = { std::nullopt, now, settings.reask, false };
    if (round.asked.empty())
        decide(round, ClaimDecision::OutcomeUnknown, base::Code::OutcomeUnknown, "no keepers of claims are known here", now);
    return round;
}

std::vector<OutgoingClaimMessage> messagesToSend(ClaimRound& round, base::Time now, uint64_t random)
{
    std::vector<OutgoingClaimMessage> out;
    if (round.decision == ClaimDecision::Pending)
        sendAsks(round, now, random, out);
    else if (const std::optional<ClaimMessage> ending = endingOf(round, now))
        sendEnding(round, *ending, now, out);
    return out;
}

std::optional<base::Time> nextSendAt(const ClaimRound& round)
{
    const bool pending = round.decision == ClaimDecision::Pending;
    if (!pending && !endingOf(round, {}))
        return std::nullopt;
    const base::Time last = pending ? round.startedAt + round.settings.limit : round.endedAt + round.settings.finishLimit;
    std::optional<base::Time> next;
    for (const auto& [host, asked] : round.asked) {
        const bool open = pending ? mayChange(round, asked) || isStaleGrant(round, host, asked) : !asked.noted;
        if (open)
            next = next ? std::min(*next, asked.askAgainAt) : asked.askAgainAt;
    }
    if (pending)
        return next ? std::min(*next, last) : last;
    return next && *next < last ? next : std::nullopt;
}

void onClaimAnswer(ClaimRound& round, const base::HostId& from, const ClaimAnswer& answer, base::Time now)
{
    const auto found = round.asked.find(from);
    if (found == round.asked.end() || answer.key != round.key || answer.attempt != round.attempt)
        return;
    if (round.decision != ClaimDecision::Pending)
        return;
    // Past the limit nothing counts, even if the process was stopped and the answers were waiting in its sockets.
    onRoundTick(round, now);
    if (round.decision != ClaimDecision::Pending || !counts(found->second, answer))
        return;
    found->second.answer = answer;
    if (answer.reply == ClaimReply::Held)
        found->second.askAgainAt = now + round.settings.contend;
    if (!decidedByRecord(round, answer, now))
        decideByCount(round, now);
    if (round.decision != ClaimDecision::Pending)
        beginEnding(round, now);
}

void onClaimAck(ClaimRound& round, const base::HostId& from, const ClaimAck& noted)
{
    const auto found = round.asked.find(from);
    if (found != round.asked.end() && noted.key == round.key && noted.attempt == round.attempt && endingOf(round, {}))
        found->second.noted = true;
}

void onRoundTick(ClaimRound& round, base::Time now)
{
    if (round.decision != ClaimDecision::Pending || now - round.startedAt < round.settings.limit)
        return;
    const std::vector<GroupCount> groups = countGroups(round);
    const bool held = inAny(groups, [](const GroupCount& it) { return it.held + it.reused > 0; });
    if (held)
        decide(round, ClaimDecision::OutcomeUnknown, base::Code::ClaimHeld, "another attempt of the key holds part of its claim", now);
    else
        decide(round, ClaimDecision::OutcomeUnknown, base::Code::OutcomeUnknown, "no majority of the key's keepers answered", now);
    beginEnding(round, now);
}

void endRun(ClaimRound& round, ClaimEnd end, std::optional<ClaimOutcome> outcome, base::Time now)
{
    if (round.decision != ClaimDecision::Run || round.end)
        return;
    // A finish without its outcome would leave resends with nothing to repeat. One past its time may come after the key's
    // claim has run out, and would be kept as the answer of a later run.
    const bool late = now - round.startedAt > round.runWithin;
    round.end = end == ClaimEnd::Finished && (!outcome || late) ? ClaimEnd::Unknown : end;
    if (round.end == ClaimEnd::Finished)
        round.outcome = std::move(outcome);
    beginEnding(round, now);
}

} // namespace appletally::policy
