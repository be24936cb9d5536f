// Retry decisions and their cost; see retry.h.
#include "appletally/policy/retry.h"

#include <algorithm>
#include <utility>

namespace appletally::policy {
namespace {

    constexpr int64_t maxTokens = 10 * wholeToken; // a burst of ten failures may be retried, not a whole outage
    constexpr int64_t maxAllowance = 3 * wholeToken; // of one node
    constexpr int64_t totalAllowance = 20 * wholeToken; // of all nodes

    // If a second upstream, picked by load, is full as well, the service is full.
    constexpr int maxAttemptsWhenFull = 2;

    // Nodes reject a request for lack of room before it reaches their upstream, so an attempt elsewhere costs a round
    // trip and no load that a budget has to limit.
    constexpr int maxAttemptsForRoom = 3;

    constexpr double refusedShareWeight = 0.1; // of one attempt
    constexpr double maxRefusedShare = 0.2; // twice what first attempts usually earn; below it tokens last for nearly all

    constexpr base::Duration minShedPause { 50 }; // upstreams with runs of a few milliseconds need longer to recover
    constexpr base::Duration maxShedPause { 1000 };

    constexpr int64_t minPauseMs = 5; // time for a fresh fault to be detected
    constexpr int64_t maxPauseMs = 50;

    enum class Kind : uint8_t {
        Moved, // that upstream takes no work, another does, and the attempt cost nothing
        Full,
        NoRoom, // rejected by the owner's node before the upstream received it
        Broken, // retried only if idempotent, unless "not run" is proven
        Final, // a retry cannot help
    };

    Kind kindOf(base::Code code)
    {
        switch (code) {
        case base::Code::Draining:
        case base::Code::NotReady:
        case base::Code::VersionRolledBack:
        case base::Code::ZoneEvacuated:
        case base::Code::RequestBlocked: // on that upstream's version; another may serve it
        case base::Code::NoUpstream: // at that node, or the link there was never up
            return Kind::Moved;
        case base::Code::Overloaded:
            return Kind::Full;
        case base::Code::NoFreeSlot:
            return Kind::NoRoom;
        case base::Code::OutcomeUnknown:
        case base::Code::AnswerTruncated:
        case base::Code::InvalidUpstreamAnswer:
        case base::Code::PeerGone:
        case base::Code::PeerTimedOut:
            return Kind::Broken;
        default:
            return Kind::Final;
        }
    }

    // Exponential backoff, with full jitter above the minimum pause.
    base::Duration backoffAfter(int attempts, uint64_t random)
    {
        const int64_t longest = std::min(maxPauseMs, minPauseMs << std::min(attempts, 4));
        return { minPauseMs + static_cast<int64_t>(random % static_cast<uint64_t>(longest - minPauseMs + 1)) };
    }

    int maxAttemptsFor(Kind kind, const FailedAttempt& failed)
    {
        if (kind == Kind::NoRoom || kind == Kind::Moved)
            return maxAttemptsForRoom; // no upstream has received it, so none of the route's attempts is spent
        return kind == Kind::Full ? std::min(maxAttemptsWhenFull, failed.maxAttempts) : failed.maxAttempts;
    }

    RetryDecision doNotRetry(base::Code code) { return { false, {}, code }; }

} // namespace

int64_t allowanceOf(size_t nodes) { return std::min(maxAllowance, totalAllowance / static_cast<int64_t>(std::max<size_t>(nodes, 1))); }

static void earnAllowance(RetryBudget& it, base::Time now)
{
    const int64_t begun = advance(it.tokens, now);
    const int64_t slots = std::exchange(it.started, true) ? begun : TokenWindow::slotCount;
    earn(it.tokens, it.allowance * slots / static_cast<int64_t>(TokenWindow::slotCount), maxTokens);
}

int64_t available(RetryBudget& it, base::Time now)
{
    earnAllowance(it, now);
    return available(it.tokens);
}

bool takeToken(RetryBudget& it, base::Time now, uint64_t random)
{
    earnAllowance(it, now);
    return takeToken(it.tokens, random);
}

void accrue(RetryBudget& it, base::Time now)
{
    it.refusedShare *= 1 - refusedShareWeight;
    earnAllowance(it, now);
    earn(it.tokens, it.perFirstAttempt.value, maxTokens);
}

RetryDecision mayRetry(RetryBudget& it, const FailedAttempt& failed, base::Time now, uint64_t random)
{
    const Kind kind = kindOf(failed.code);
    const bool notRun = base::info(failed.code).notRun;
    if (kind == Kind::Final || (!notRun && !failed.idempotent))
        return doNotRetry(failed.code);
    if (failed.refusedDownstream || failed.attempts >= maxAttemptsFor(kind, failed))
        return doNotRetry(failed.code);
    const base::Duration pause = kind == Kind::Broken ? backoffAfter(failed.attempts, random) : base::Duration {};
    if (now + pause + failed.expected > failed.deadline)
        return doNotRetry(failed.code);
    if (kind == Kind::Moved || kind == Kind::NoRoom)
        return { true, {}, base::Code::Ok };
    if (kind == Kind::Full) {
        it.refusedShare += refusedShareWeight;
        if (!failed.callerReturned && it.refusedShare > maxRefusedShare)
            return doNotRetry(failed.code);
    }
    if (!takeToken(it, now, random >> 32)) // other bits than those of the pause
        return doNotRetry(failed.code);
    return { true, pause, base::Code::Ok };
}

bool mayHaveReachedUpstream(base::Code code)
{
    const Kind kind = kindOf(code);
    return kind != Kind::Moved && kind != Kind::NoRoom;
}

base::Duration retryAfterShed(base::Duration usualRun, uint64_t random)
{
    const base::Duration run = std::clamp(usualRun, minShedPause, maxShedPause);
    return run + base::Duration { static_cast<int64_t>(random % static_cast<uint64_t>(run.ms)) };
}

bool stopsRetriesAbove(base::Code final) { return kindOf(final) != Kind::Final || final == base::Code::DeadlineTooNear; }

base::Code finalCode(bool mayHaveRun, base::Code last)
{
    return mayHaveRun && base::info(last).notRun ? base::Code::OutcomeUnknown : last;
}

base::Duration timeLeft(base::Time deadline, base::Time now, base::Duration oneWay) { return deadline - now - oneWay * 2; }

} // namespace appletally::policy
