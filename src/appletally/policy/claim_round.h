// Requesting side of at-most-once claims: decides whether this attempt may send its request to the upstream.
//
// Load pattern: one key, sent by its caller through several nodes at once or one after another, while messages are
// delayed, reordered, duplicated or lost and keepers restart. The owner's node starts a round before any byte is sent
// to the upstream, and ends it with the result of the run. Without it a caller's resend would cause a second plug
// disconnect or a second donation.
//
// Why two attempts never both run: Run requires grants of a majority of the key's keepers in each group of the set (the
// members and, during a change of the set, the previous members). Any two majorities share a keeper, which grants one
// attempt. The critical case is a keeper that restarts between two grants: its grant from before the restart counts
// only together with keepers that have not yet seen it restart, and those granted before it requested their claims.
//
// What the caller receives: "not run" only if the round proves that no attempt of the key has run, which takes the same
// majorities as a run. A round that lost, or got too few answers, ends as OutcomeUnknown: this attempt did not run, but
// an earlier request with the same key may have.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/base/result.h"
#include "appletally/policy/claim_keeper.h"
#include "appletally/policy/keepers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace appletally::policy {

struct ClaimRoundSettings {
    // A round without a decision by then fails. Long enough for three requests between zones 1.5 ms apart and between
    // regions; far below the claim window, which makes grants of a keeper that has waited out the window harmless.
    base::Duration timeout { 500 };
    base::Duration initialResendDelay { 25 }; // to keepers that do not answer, doubled each time: a lost message costs 25 ms, not the round
    base::Duration contentionDelay { 8 }; // delay before requesting again from a keeper that granted a racing attempt
    base::Duration maxRun { 30'000 }; // maximum run time; a later end counts as unknown. Commands end in seconds
    base::Duration endResendTimeout { 5000 }; // how long an end message is resent to keepers that have not acknowledged it
};

enum class ClaimDecision : uint8_t {
    Pending,
    Run, // send the request to the upstream now, then call endRun()
    NotRun, // proven: no attempt of this key has run; `code` says why this one does not run now
    AnswerRecorded, // the request ran before: `outcome` is its answer
    OutcomeUnknown, // this attempt did not run; another may have. `code`: ClaimHeld or OutcomeUnknown
};

enum class ClaimEnd : uint8_t {
    NotStarted, // proven: the upstream received no byte, or rejected the request before starting
    Finished, // a complete answer with any status
    Unknown, // cut off, timed out, connection lost: the claim stays, and resends get "outcome unknown"
};

using ClaimMessage = std::variant<ClaimRequest, ClaimFinish, ClaimRelease>;
struct OutgoingClaimMessage {
    base::HostId to;
    ClaimMessage message;
};

// State of one keeper in this round.
struct RequestedKeeper {
    std::optional<ClaimAnswer> answer; // the latest valid answer
    base::Time resendAt; // while the round is pending, or until the end message is acknowledged
    base::Duration resendDelay; // delay until the next resend
    bool acknowledged = false; // the keeper has acknowledged the end message
};

struct ClaimRound {
    // Parameters; constant during the round.
    base::KeeperSetNumber number;
    KeyKeepers keepers;
    ClaimKey key;
    uint64_t digest = 0;
    base::AttemptId attempt;
    base::Duration runWithin;
    ClaimRoundSettings settings;
    base::Time startedAt;

    std::map<base::HostId, RequestedKeeper> requested;

    // Result. Invariant: once not Pending, the decision never changes.
    ClaimDecision decision = ClaimDecision::Pending;
    base::Code code = base::Code::Ok; // with NotRun and OutcomeUnknown
    std::string reason; // for operators and the text of the answer
    std::optional<ClaimOutcome> outcome; // with AnswerRecorded, or of the run once it has finished
    std::optional<ClaimEnd> end; // of a Run
    base::Time endedAt;
};

// `attempt` is random, drawn for this round only. `runWithin` is the time from now to the latest end of the run,
// limited to maxRun.
ClaimRound startRound(const config::KeeperSet&, const ClaimKey&, uint64_t digest, base::AttemptId attempt,
    base::Duration runWithin, base::Time now, ClaimRoundSettings = {});

// Returns the messages to send now: requests, resends, end messages. Call after startRound(), after each on...() and at
// nextSendAt(). `random` spreads the delays of racing attempts.
std::vector<OutgoingClaimMessage> messagesToSend(ClaimRound&, base::Time now, uint64_t random);
std::optional<base::Time> nextSendAt(const ClaimRound&); // none: nothing left to send, the round may be discarded

// `now` must be read after the message was taken from its socket: a process that was suspended in between would
// otherwise count a grant that is older than the round's timeout.
void onClaimAnswer(ClaimRound&, const base::HostId& from, const ClaimAnswer&, base::Time now);
void onClaimAck(ClaimRound&, const base::HostId& from, const ClaimAck&);
void onRoundTick(ClaimRound&, base::Time now); // decides once the timeout has expired

// How a Run ended. Only NotStarted releases the claim; Finished after `runWithin` counts as Unknown. Without a call the
// claim stays, which is right for a run whose result was lost.
void endRun(ClaimRound&, ClaimEnd, std::optional<ClaimOutcome>, base::Time now);

} // namespace appletally::policy
