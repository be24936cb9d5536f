// The keeper's side of at-most-once claims: who holds a key, and how its one run ended.
//
// Load pattern: a crew's plug command or a member's donation, sent again through another node after its answer was lost.
// Without a claim that two of three keepers grant to one attempt, both sends would run. Everything here is memory only;
// what makes that safe is that a restarted keeper first learns its claims from the other two keepers of each key, and
// that its grants carry its incarnation, so that a grant from before a restart is never counted beside a grant of a
// keeper that has seen the restart (see claim_round.h).
//
// Pure: one state, one message or a time in, one answer out. Clocks of hosts are never compared; spans travel instead.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/config/model.h"
#include "appletally/policy/keepers.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace appletally::policy {

struct ClaimSettings {
    // A resend within this time of the claim gets the first outcome, never a second run. Callers resend within seconds;
    // a minute and a half covers a crew that walks back to the cabinet. With mostRun it is also how long keyed requests
    // are refused after all keepers of a key died at once, which is what speaks against a longer one.
    base::Duration window { 90'000 };
    // Longest run that a claim is kept for on top of the window; see ClaimRoundSettings.
    base::Duration mostRun { 30'000 };
    // Two bounds, since a node may use 64 MB in all: 8 MB hold about 20,000 claims, which is 170 new ones a second
    // for their time; what outcomes take besides. A claim that is let in never waits for room for its outcome's status.
    base::Bytes claimMemory { 8 * 1024 * 1024 };
    base::Bytes outcomeMemory { 8 * 1024 * 1024 };
    // Longer bodies are not kept: a resend then learns that it ran and with which status. Answers of commands are short.
    base::Bytes maxOutcomeBytes { 4096 };
    // Claims in one catch-up message: with the longest bodies about 270 KB, a few milliseconds of a link.
    size_t catchUpBatch = 64;
};

// How long a claim may live at its keepers; what a change of the set and a restart without help wait for.
constexpr base::Duration claimLife(const ClaimSettings& it) { return it.window + it.mostRun; }

// What the upstream answered to the one run.
struct ClaimOutcome {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool bodyKept = true; // false: too long or no room; `body` is empty and must not pass as the answer

    bool operator==(const ClaimOutcome&) const = default;
};

// From an owner's node to a keeper. May be lost, doubled, late or crossed.
struct ClaimRequest {
    base::KeeperSetNumber number; // of the asker's keeper set
    ClaimKey key;
    uint64_t digest = 0; // of method, path and body: the same key with another request is refused
    base::AttemptId attempt; // drawn anew for every round, so that a doubled request is another attempt
    base::Duration runWithin; // longest time from this ask to the end of the run
};
struct ClaimFinish {
    ClaimKey key;
    uint64_t digest = 0;
    base::AttemptId attempt;
    ClaimOutcome outcome;
    base::Duration leftToRun; // of the ask's runWithin: so that each keeper forgets at about the same time
};
struct ClaimRelease { // only when the attempt is proven not to have run
    ClaimKey key;
    base::AttemptId attempt;
};

enum class ClaimReply : uint8_t {
    Granted,
    AlreadyGranted, // to the same attempt: a doubled ask
    Held, // another attempt runs, or ended without a recorded outcome
    Finished, // `outcome` is what the one run gave
    WrongSet, // the asker's keeper set is not this keeper's; `number` is this keeper's
    CatchingUp, // restarted and not yet sure of this key
    KeyReusedDifferently, // another request has this key, running or finished
    Released, // this very attempt was given up before: a late ask
    Full, // no room for a new claim; this keeper knows of no claim for the key
};

// What a keeper has seen of another keeper's restarts.
struct SeenKeeper {
    base::HostId host;
    base::Incarnation incarnation;
};

struct ClaimAnswer {
    ClaimKey key;
    base::AttemptId attempt; // of the ask
    ClaimReply reply = ClaimReply::CatchingUp;
    base::KeeperSetNumber number; // this keeper's set
    base::Incarnation incarnation; // of this keeper
    std::vector<SeenKeeper> seen; // of the key's other keepers; with Granted and AlreadyGranted
    base::AttemptId holder; // with Held
    bool overdue = false; // with Held: past its time, so its outcome is probably lost
    std::optional<ClaimOutcome> outcome; // with Finished
};
struct ClaimAck { // a keeper's answer to ClaimFinish and ClaimRelease
    ClaimKey key;
    base::AttemptId attempt;
};

// A restarted keeper asks every other keeper of its set, page by page.
struct CatchUpRequest {
    base::HostId host; // who asks
    base::Incarnation incarnation;
    config::KeeperSet set; // with which the asker came up
    std::optional<ClaimKey> after; // last key of the page before; none: the first page
};
struct ClaimHolder {
    base::AttemptId attempt;
    uint64_t digest = 0;
};
struct CatchUpClaim {
    ClaimKey key;
    std::vector<ClaimHolder> holders;
    uint64_t digest = 0; // of the request that gave `outcome`
    std::optional<ClaimOutcome> outcome;
    base::Duration keepFor; // from now on
    base::Duration overdueIn; // from now on; not positive: overdue already
};
struct CatchUpAnswer {
    base::HostId host; // who answers
    base::Incarnation incarnation; // of who answers
    base::Incarnation requester; // repeated from the ask
    bool catchingUp = false; // restarted itself and of no help: ask again later
    std::optional<ClaimKey> after; // repeated from the ask
    std::vector<CatchUpClaim> claims;
    bool last = false;
};

struct Claim {
    // Attempts that may have a majority. One, unless catching up from two keepers found two racing attempts; none once
    // there is an outcome.
    std::vector<ClaimHolder> holders;
    uint64_t digest = 0; // of the request that gave `outcome`
    std::optional<ClaimOutcome> outcome; // invariant: never replaced once set
    base::Time keepUntil; // invariant: a window after the latest time at which a holder may run
    base::Time overdueAt;
};

// One keeper's progress at another one.
struct CatchUpPeer {
    base::Incarnation incarnation; // whose pages these are; a restart of the peer begins anew
    std::optional<ClaimKey> after;
    bool done = false;
};

struct ClaimKeeper {
    base::HostId self;
    base::Incarnation incarnation;
    ClaimSettings settings;
    base::Time startedAt;
    config::KeeperSet set; // invariant: its number never falls

    // Where this process came up with a set that was agreed before: claims of an earlier incarnation may be missing.
    bool sawSet = false; // applyKeeperSet() was called
    bool caughtUp = false; // for all keys of `bootSet`
    config::KeeperSet bootSet;
    std::map<base::HostId, CatchUpPeer> peers; // the other keepers of bootSet

    std::map<ClaimKey, Claim> claims;
    std::multimap<base::Time, ClaimKey> expiry; // of claims; may hold earlier times of claims that now live longer
    std::set<std::pair<ClaimKey, base::AttemptId>> released; // given up: a late ask is told so
    std::deque<std::pair<base::Time, std::pair<ClaimKey, base::AttemptId>>> releasedExpiry; // of `released`, oldest first
    std::map<base::HostId, base::Incarnation> seen; // highest incarnation of each other keeper
    size_t claimBytes = 0; // invariant: the sum over claims without their outcomes
    size_t outcomeBytes = 0; // invariant: the sum over recorded outcomes
};

ClaimKeeper startKeeper(base::HostId self, base::Incarnation, base::Time now, ClaimSettings = {});

// A snapshot came into force. The first call after startKeeper() tells with which set the process came up: number 0 says
// that none was ever agreed, and then nothing can have been forgotten. Lower numbers than before are ignored.
void applyKeeperSet(ClaimKeeper&, const config::KeeperSet&, base::Time now);

ClaimAnswer onClaimRequest(ClaimKeeper&, const ClaimRequest&, base::Time now);
ClaimAck onClaimFinish(ClaimKeeper&, const ClaimFinish&, base::Time now);
ClaimAck onClaimRelease(ClaimKeeper&, const ClaimRelease&, base::Time now);

// Catching up. catchUpAsks() gives what to send now; call it every 50 ms or so until caughtUp, lost messages need it.
std::vector<std::pair<base::HostId, CatchUpRequest>> catchUpRequests(const ClaimKeeper&);
CatchUpAnswer onCatchUpRequest(ClaimKeeper&, const CatchUpRequest&, base::Time now);
void onCatchUpAnswer(ClaimKeeper&, const CatchUpAnswer&, base::Time now);

// Forgets what is past its time. onAsk() and the others do it too; call it every second where little comes in.
void expireClaims(ClaimKeeper&, base::Time now);

} // namespace appletally::policy
