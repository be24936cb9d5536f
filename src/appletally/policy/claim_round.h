// The asking side of at-most-once claims: may this attempt hand its request to the upstream?
//
// Load pattern: one key, sent by its caller through several nodes at once or one after another, while messages are late,
// crossed, doubled or lost and keepers restart. The owner's node starts a round before the upstream gets a byte, and ends
// it with what became of the run. Without it a caller's resend would be a second plug disconnect or a second donation.
//
// Why two attempts never both run: a Run needs grants of a majority of the key's keepers in each group of the set (the
// members and, while the set changes, the previous members), and any two majorities share a keeper, which grants one
// attempt. A keeper that restarts between two grants is the trap: its grant from before counts only beside keepers that
// have not yet seen it restart, and if they have not, then they had granted before it asked them for their claims.
//
// What the caller is told: "not run" only where the round proves that no attempt of the key has run, which takes the
// same majorities as a run. A round that merely lost or heard too little ends as OutcomeUnknown: this attempt did not run,
// but an earlier send of the same key may have.
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
    // A round that has not decided by then is lost. Long enough for three asks over zones 1.5 ms apart and over regions;
    // far below the window, which is what makes grants of a keeper that has waited out the window harmless.
    base::Duration limit { 500 };
    base::Duration reask { 25 }; // to silent keepers, doubled each time: a lost message costs 25 ms, not the round
    base::Duration contend { 8 }; // pause before asking a keeper again that another racing attempt holds
    base::Duration mostRun { 30'000 }; // runs are given no more, and later endings count as unknown; commands end in seconds
    base::Duration finishLimit { 5000 }; // how long an ending is sent again to keepers that have not noted it
};

enum class ClaimDecision : uint8_t {
    Pending,
    Run, // hand the request to the upstream now, then call endRun()
    NotRun, // proven: no attempt of this key has run; `code` says why it does not now
    AnswerRecorded, // it ran before: `outcome` is its answer
    OutcomeUnknown, // this attempt did not run; another may have. `code`: ClaimHeld or OutcomeUnknown
};

enum class ClaimEnd : uint8_t {
    NotStarted, // proven: the upstream got no byte, or refused before starting
    Finished, // a whole answer, whatever its status
    Unknown, // cut, timed out, connection lost: the claim stays, and resends are told "outcome unknown"
};

using ClaimMessage = std::variant<ClaimRequest, ClaimFinish, ClaimRelease>;
struct OutgoingClaimMessage {
    base::HostId to;
    ClaimMessage message;
};

// One keeper as this round sees it.
struct AskedKeeper {
    std::optional<ClaimAnswer> answer; // the latest that counts
    base::Time askAgainAt; // while the round is pending, or until an ending is noted
    base::Duration pause; // until the ask after that
    bool noted = false; // has the ending
};

struct ClaimRound {
    // What was asked for; constant over the round.
    base::KeeperSetNumber number;
    KeyKeepers keepers;
    ClaimKey key;
    uint64_t digest = 0;
    base::AttemptId attempt;
    base::Duration runWithin;
    ClaimRoundSettings settings;
    base::Time startedAt;

    std::map<base::HostId, AskedKeeper> asked;

    // Result. Invariant: once not Pending, the decision never changes.
    ClaimDecision decision = ClaimDecision::Pending;
    base::Code code = base::Code::Ok; // with NotRun and OutcomeUnknown
    std::string reason; // for operators and the answer's text
    std::optional<ClaimOutcome> outcome; // with AnswerRecorded, and of the run once it finished
    std::optional<ClaimEnd> end; // of a Run
    base::Time endedAt;
};

// `attempt` is random, drawn for this round only. `runWithin` spans from now to the latest end of the run; cut to
// mostRun.
ClaimRound startRound(const config::KeeperSet&, const ClaimKey&, uint64_t digest, base::AttemptId attempt,
    base::Duration runWithin, base::Time now, ClaimRoundSettings = {});

// What to send now: asks, repeated asks, endings. Call after startRound(), after each on...() and at nextSendAt().
// `random` spreads the pauses of racing attempts.
std::vector<OutgoingClaimMessage> messagesToSend(ClaimRound&, base::Time now, uint64_t random);
std::optional<base::Time> nextSendAt(const ClaimRound&); // none: nothing left to do, the round may be dropped

// `now` has to be read after the message was taken from its socket: a process that was stopped in between would count
// a grant that is older than the round's limit.
void onClaimAnswer(ClaimRound&, const base::HostId& from, const ClaimAnswer&, base::Time now);
void onClaimAck(ClaimRound&, const base::HostId& from, const ClaimAck&);
void onRoundTick(ClaimRound&, base::Time now); // decides when time is up

// How a Run ended. Only NotStarted releases the claim; Finished after `runWithin` counts as Unknown. Without a call the
// claim stays, which is right for a lost run.
void endRun(ClaimRound&, ClaimEnd, std::optional<ClaimOutcome>, base::Time now);

} // namespace appletally::policy
