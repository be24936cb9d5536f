// Counts grants per group of keepers, decides once, and sends end messages until the keepers acknowledge them.
#include "appletally/policy/claim_round.h"

#include <algorithm>

namespace appletally::policy {

namespace {

    bool isGrant(ClaimReply it) { return it == ClaimReply::Granted || it == ClaimReply::AlreadyGranted; }

    // A grant from before a restart does not count once any other keeper of the key has seen that restart: the keeper
    // may have restarted and caught up without this claim.
    bool isStale(const ClaimRound& round, const base::HostId& host, const ClaimAnswer& grant)
    {
        for (const auto& [other, requested] : round.requested) {
            if (!requested.answer || !isGrant(requested.answer->reply))
                continue;
            for (const SeenKeeper& it : requested.answer->seen) {
                if (it.host == host && it.incarnation > grant.incarnation)
                    return true;
            }
        }
        return false;
    }

    struct GroupCount {
        size_t size = 0;
        size_t granted = 0;
        size_t full = 0; // has no claim for the key and no memory for one
        size_t reused = 0; // held for a different request with the same key
        size_t held = 0;
        size_t maxHeldByOne = 0; // by one other attempt
        size_t blocked() const { return full + reused + held; }
        size_t need() const { return grantsNeeded(size); }
    };

    GroupCount countGroup(const ClaimRound& round, const std::vector<base::HostId>& group)
    {
        GroupCount out;
        out.size = group.size();
        std::map<base::AttemptId, size_t> holders;
        for (const base::HostId& host : group) {
            const RequestedKeeper& requested = round.requested.at(host);
            if (!requested.answer)
                continue;
            const ClaimAnswer& it = *requested.answer;
            out.granted += isGrant(it.reply) && !isStale(round, host, it) ? 1 : 0;
            out.full += it.reply == ClaimReply::Full ? 1 : 0;
            out.reused += it.reply == ClaimReply::KeyReusedDifferently ? 1 : 0;
            if (it.reply == ClaimReply::Held) {
                ++out.held;
                out.maxHeldByOne = std::max(out.maxHeldByOne, ++holders[it.holder]);
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

    // A recorded outcome is valid from any keeper: only the attempt that ran records one.
    bool decidedByRecord(ClaimRound& round, const ClaimAnswer& answer, base::Time now)
    {
        if (answer.reply != ClaimReply::Finished || !answer.outcome)
            return false;
        round.outcome = answer.outcome;
        decide(round, ClaimDecision::AnswerRecorded, base::Code::Ok, "the request ran before", now);
        return true;
    }

    // When racing attempts split the keepers, the lowest attempt id keeps its grants and requests again, and the others
    // yield immediately. So a race ends within one round, and one of the attempts runs.
    bool mustYield(const ClaimRound& round)
    {
        for (const auto& [host, requested] : round.requested) {
            if (!requested.answer)
                continue;
            if (requested.answer->reply == ClaimReply::Held && requested.answer->holder < round.attempt)
                return true;
            if (requested.answer->reply == ClaimReply::KeyReusedDifferently)
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
            decide(round, ClaimDecision::NotRun, base::Code::KeyReusedDifferently, "the key was used for a different request", now);
            return;
        }
        if (inAny(groups, [](const GroupCount& it) { return it.maxHeldByOne >= it.need(); })) {
            decide(round, ClaimDecision::OutcomeUnknown, base::Code::ClaimHeld, "another attempt with the key holds its claim", now);
            return;
        }
        const bool blocked = inAny(groups, [](const GroupCount& it) { return it.size - it.blocked() < it.need(); });
        if (!blocked)
            return;
        const bool onlyRoom = inEach(groups, [](const GroupCount& it) { return it.granted + it.full >= it.need(); });
        if (onlyRoom)
            decide(round, ClaimDecision::NotRun, base::Code::Overloaded, "the key's keepers have no memory for another claim", now);
        else if (mustYield(round))
            decide(round, ClaimDecision::OutcomeUnknown, base::Code::ClaimHeld, "yielded to a racing attempt with the key", now);
    }

    bool supersedes(const RequestedKeeper& requested, const ClaimAnswer& answer)
    {
        if (!requested.answer)
            return true;
        if (answer.incarnation != requested.answer->incarnation)
            return answer.incarnation > requested.answer->incarnation;
        // Within one incarnation a grant is valid until this round releases it, so any other answer was sent before it.
        return !isGrant(requested.answer->reply);
    }

    // Whether a keeper's answer may still change while the round lasts, so that the request is worth repeating.
    bool mayChange(const ClaimRound& round, const RequestedKeeper& requested)
    {
        if (!requested.answer)
            return true;
        switch (requested.answer->reply) {
        case ClaimReply::Granted:
        case ClaimReply::AlreadyGranted:
        case ClaimReply::Finished:
        case ClaimReply::Released:
            return false;
        case ClaimReply::WrongSet:
            return requested.answer->number < round.number; // a keeper behind will catch up; one ahead never returns to an older set
        default:
            return true;
        }
    }

    bool isStaleGrant(const ClaimRound& round, const base::HostId& host, const RequestedKeeper& requested)
    {
        return requested.answer && isGrant(requested.answer->reply) && isStale(round, host, *requested.answer);
    }

    void scheduleResend(const ClaimRound& round, RequestedKeeper& requested, base::Time now, uint64_t random)
    {
        const bool contended = requested.answer && requested.answer->reply == ClaimReply::Held;
        if (contended) {
            const auto spread = static_cast<int64_t>(random % static_cast<uint64_t>(round.settings.contentionDelay.ms + 1));
            requested.resendAt = now + round.settings.contentionDelay + base::Duration { spread };
            return;
        }
        requested.resendAt = now + requested.resendDelay;
        requested.resendDelay = requested.resendDelay * 2;
    }

    void sendRequests(ClaimRound& round, base::Time now, uint64_t random, std::vector<OutgoingClaimMessage>& out)
    {
        for (auto& [host, requested] : round.requested) {
            if (requested.resendAt > now || !(mayChange(round, requested) || isStaleGrant(round, host, requested)))
                continue;
            out.push_back({ host, ClaimRequest { round.number, round.key, round.digest, round.attempt, round.runWithin } });
            scheduleResend(round, requested, now, random);
        }
    }

    // The end message: a finish, a release, or none if the keepers need none.
    std::optional<ClaimMessage> endMessageOf(const ClaimRound& round, base::Time now)
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

    void sendEndMessage(ClaimRound& round, const ClaimMessage& endMessage, base::Time now, std::vector<OutgoingClaimMessage>& out)
    {
        if (now - round.endedAt >= round.settings.endResendTimeout)
            return;
        for (auto& [host, requested] : round.requested) {
            if (requested.acknowledged || requested.resendAt > now)
                continue;
            out.push_back({ host, endMessage });
            requested.resendAt = now + requested.resendDelay;
            requested.resendDelay = requested.resendDelay * 2;
        }
    }

    void startEndMessages(ClaimRound& round, base::Time now)
    {
        round.endedAt = now;
        for (auto& [host, requested] : round.requested) {
            requested.resendAt = now;
            requested.resendDelay = round.settings.initialResendDelay;
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
    round.runWithin = std::min(runWithin, settings.maxRun);
    round.settings = settings;
    round.startedAt = now;
    for (const base::HostId& host : round.keepers.all())
        round.requested[host] = { std::nullopt, now, settings.initialResendDelay, false };
    if (round.requested.empty())
        decide(round, ClaimDecision::OutcomeUnknown, base::Code::OutcomeUnknown, "this node knows no keepers of claims", now);
    return round;
}

std::vector<OutgoingClaimMessage> messagesToSend(ClaimRound& round, base::Time now, uint64_t random)
{
    std::vector<OutgoingClaimMessage> out;
    if (round.decision == ClaimDecision::Pending)
        sendRequests(round, now, random, out);
    else if (const std::optional<ClaimMessage> endMessage = endMessageOf(round, now))
        sendEndMessage(round, *endMessage, now, out);
    return out;
}

std::optional<base::Time> nextSendAt(const ClaimRound& round)
{
    const bool pending = round.decision == ClaimDecision::Pending;
    if (!pending && !endMessageOf(round, {}))
        return std::nullopt;
    const base::Time last = pending ? round.startedAt + round.settings.timeout : round.endedAt + round.settings.endResendTimeout;
    std::optional<base::Time> next;
    for (const auto& [host, requested] : round.requested) {
        const bool open = pending ? mayChange(round, requested) || isStaleGrant(round, host, requested) : !requested.acknowledged;
        if (open)
            next = next ? std::min(*next, requested.resendAt) : requested.resendAt;
    }
    if (pending)
        return next ? std::min(*next, last) : last;
    return next && *next < last ? next : std::nullopt;
}

void onClaimAnswer(ClaimRound& round, const base::HostId& from, const ClaimAnswer& answer, base::Time now)
{
    const auto found = round.requested.find(from);
    if (found == round.requested.end() || answer.key != round.key || answer.attempt != round.attempt)
        return;
    if (round.decision != ClaimDecision::Pending)
        return;
    // After the timeout no answer counts, even if the process was suspended and the answers were waiting in its
    // sockets.
    onRoundTick(round, now);
    if (round.decision != ClaimDecision::Pending || !supersedes(found->second, answer))
        return;
    found->second.answer = answer;
    if (answer.reply == ClaimReply::Held)
        found->second.resendAt = now + round.settings.contentionDelay;
    if (!decidedByRecord(round, answer, now))
        decideByCount(round, now);
    if (round.decision != ClaimDecision::Pending)
        startEndMessages(round, now);
}

void onClaimAck(ClaimRound& round, const base::HostId& from, const ClaimAck& ack)
{
    const auto found = round.requested.find(from);
    if (found != round.requested.end() && ack.key == round.key && ack.attempt == round.attempt && endMessageOf(round, {}))
        found->second.acknowledged = true;
}

void onRoundTick(ClaimRound& round, base::Time now)
{
    if (round.decision != ClaimDecision::Pending || now - round.startedAt < round.settings.timeout)
        return;
    const std::vector<GroupCount> groups = countGroups(round);
    const bool held = inAny(groups, [](const GroupCount& it) { return it.held + it.reused > 0; });
    if (held)
        decide(round, ClaimDecision::OutcomeUnknown, base::Code::ClaimHeld, "another attempt with the key holds part of its claim", now);
    else
        decide(round, ClaimDecision::OutcomeUnknown, base::Code::OutcomeUnknown, "no majority of the key's keepers answered", now);
    startEndMessages(round, now);
}

void endRun(ClaimRound& round, ClaimEnd end, std::optional<ClaimOutcome> outcome, base::Time now)
{
    if (round.decision != ClaimDecision::Run || round.end)
        return;
    // A finish without its outcome would leave resends without an answer. A late one may arrive after the key's claim
    // has expired, and would be stored as the answer of a later run.
    const bool late = now - round.startedAt > round.runWithin;
    round.end = end == ClaimEnd::Finished && (!outcome || late) ? ClaimEnd::Unknown : end;
    if (round.end == ClaimEnd::Finished)
        round.outcome = std::move(outcome);
    startEndMessages(round, now);
}

} // namespace appletally::policy
