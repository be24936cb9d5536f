// Which tries may be repeated, and at what cost; see retry.h.
#include "appletally/policy/retry.h"

#include <algorithm>

namespace appletally::policy {
namespace {

    constexpr int64_t tokensPerRetry = 1000;
    constexpr int64_t mostTokens = 10 * tokensPerRetry; // a burst of ten failures may be retried, not a whole outage
    // A second upstream chosen with care that is full as well says that the service is full.
    constexpr int mostTriesWhenFull = 2;

    // Nodes refuse for want of room before their upstream hears of it, so asking another one costs a round trip and nothing
    // that a budget has to protect.
    constexpr int mostTriesForRoom = 3;

    constexpr int64_t leastPause = 5; // milliseconds; what broke a moment ago is given time to be noticed
    constexpr int64_t mostPause = 50;

    enum class Kind : uint8_t {
        Moved, // that upstream takes no work; another does, and the try cost nothing
        Full,
        NoRoom, // there, and the upstream was not asked
        Broken, // idempotent ones only, unless "not run" is proven
        Final, // trying again can't help
    };

    Kind kindOf(base::Code code)
    {
        switch (code) {
        case base::Code::Draining:
        case base::Code::NotReady:
        case base::Code::VersionRolledBack:
        case base::Code::NoUpstream: // there, or the link there was never up
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

    // Exponential, with full jitter above the least pause.
    base::Duration pauseAfter(int tries, uint64_t random)
    {
        const int64_t most = std::min(mostPause, leastPause << std::min(tries, 4));
        return { leastPause + static_cast<int64_t>(random % static_cast<uint64_t>(most - leastPause + 1)) };
    }

    int mostTriesFor(Kind kind, const FailedTry& failed)
    {
        if (kind == Kind::NoRoom || kind == Kind::Moved)
            return mostTriesForRoom; // no upstream has heard of it, so none of the route's attempts is spent
        return kind == Kind::Full ? std::min(mostTriesWhenFull, failed.mostTries) : failed.mostTries;
    }

    RetryDecision no(base::Code code) { return { false, {}, code }; }

} // namespace

void earn(RetryBudget& it) { it.tokens = std::min(mostTokens, it.tokens + it.perFirstTry.value); }

RetryDecision mayRetry(RetryBudget& it, const FailedTry& failed, base::Time now, uint64_t random)
{
    const Kind kind = kindOf(failed.code);
    const bool notRun = base::info(failed.code).notRun;
    if (kind == Kind::Final || (!notRun && !failed.idempotent))
        return no(failed.code);
    if (failed.refusedBelow || failed.tries >= mostTriesFor(kind, failed))
        return no(failed.code);
    const base::Duration pause = kind == Kind::Broken ? pauseAfter(failed.tries, random) : base::Duration {};
    if (now + pause + failed.expected > failed.deadline)
        return no(failed.code);
    if (kind == Kind::Moved || kind == Kind::NoRoom)
        return { true, {}, base::Code::Ok };
    if (it.tokens < tokensPerRetry)
        return no(failed.code);
    it.tokens -= tokensPerRetry;
    return { true, pause, base::Code::Ok };
}

bool stopsRetriesAbove(base::Code final) { return kindOf(final) != Kind::Final || final == base::Code::DeadlineTooNear; }

base::Code finalCode(bool mayHaveRun, base::Code last)
{
    return mayHaveRun && base::info(last).notRun ? base::Code::OutcomeUnknown : last;
}

base::Duration timeLeft(base::Time deadline, base::Time now, base::Duration oneWay) { return deadline - now - oneWay * 2; }

} // namespace appletally::policy
