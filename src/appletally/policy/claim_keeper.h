// Keeper side of at-most-once claims: which attempt holds a key, and how its single run ended.
//
// Load pattern: a command such as a plug disconnect or a donation is resent through another node after its answer was
// lost. Without a claim that two of three keepers grant to one attempt, both requests would run. All state is in
// memory. This is safe because a restarted keeper first fetches its claims from the other two keepers of each key, and
// because grants carry the keeper's incarnation, so that a grant from before a restart is never counted together with a
// grant of a keeper that has seen the restart (see claim_round.h).
//
// Pure functions: one state and a message or a time in, one answer out. Clocks of different hosts are never compared;
// messages carry durations instead.
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
    // 90 s covers a crew that walks back to the cabinet. Together with maxRun it is also how long keyed requests are
    // rejected after all keepers of a key failed at once, which limits it.
    base::Duration window { 90'000 };
    // Longest run for which a claim is kept in addition to the window; see ClaimRoundSettings.
    base::Duration maxRun { 30'000 };
    // Two separate limits, since a node may use 64 MB in total. 8 MB hold about 20,000 claims, which is 170 new ones a
    // second over their lifetime; outcomes are counted separately. A granted claim always has room for its outcome's
    // status.
    base::Bytes maxClaimMemory { 8 * 1024 * 1024 };
    base::Bytes maxOutcomeMemory { 8 * 1024 * 1024 };
    // Larger outcomes are stored without headers and body; a resend then learns that the request ran and with which
    // status. Answers of commands are short.
    base::Bytes maxOutcomeBytes { 4096 };
    // Claims in one catch-up message: with the largest outcomes about 270 KB, a few milliseconds of a link.
    size_t catchUpBatch = 64;
};

// Maximum lifetime of a claim at its keepers. A keeper set change waits this long, and so does a restarted keeper that
// cannot catch up.
constexpr base::Duration claimLife(const ClaimSettings& it) { return it.window + it.maxRun; }

// The upstream's answer to the single run.
struct ClaimOutcome {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool bodyKept = true; // false: too long or no memory; `body` is empty and must not be passed on as the answer

    bool operator==(const ClaimOutcome&) const = default;
};

// Sent by an owner to a keeper. May be lost, duplicated, delayed or reordered.
struct ClaimRequest {
    base::KeeperSetNumber number; // of the requester's keeper set
    ClaimKey key;
    uint64_t digest = 0; // of method, path and body: the same key with a different request is rejected
    base::AttemptId attempt; // drawn for every round, so that a duplicate of a caller's request is another attempt
    base::Duration runWithin; // longest time from this request to the end of the run
};
struct ClaimFinish {
    ClaimKey key;
    uint64_t digest = 0;
    base::AttemptId attempt;
    ClaimOutcome outcome;
    base::Duration leftToRun; // of the request's runWithin, so that all keepers expire the claim at about the same time
};
struct ClaimRelease { // only if the attempt is proven not to have run
    ClaimKey key;
    base::AttemptId attempt;
};

enum class ClaimReply : uint8_t {
    Granted,
    AlreadyGranted, // to the same attempt: a duplicate request
    Held, // another attempt is running, or ended without a recorded outcome
    Finished, // `outcome` is the result of the single run
    WrongSet, // the requester's keeper set differs from this keeper's; `number` is this keeper's
    CatchingUp, // restarted and may not have all claims of this key yet
    KeyReusedDifferently, // a different request has this key, running or finished
    Released, // this attempt was released before; the request is late
    Full, // no memory for a new claim; this keeper has no claim for the key
};

// Highest incarnation of another keeper that a keeper has seen.
struct SeenKeeper {
    base::HostId host;
    base::Incarnation incarnation;
};

struct ClaimAnswer {
    ClaimKey key;
    base::AttemptId attempt; // of the request
    ClaimReply reply = ClaimReply::CatchingUp;
    base::KeeperSetNumber number; // this keeper's set
    base::Incarnation incarnation; // of this keeper
    std::vector<SeenKeeper> seen; // of the key's other keepers; with Granted and AlreadyGranted
    base::AttemptId holder; // with Held
    bool overdue = false; // with Held: the run exceeded its time, so its outcome is probably lost
    std::optional<ClaimOutcome> outcome; // with Finished
};
struct ClaimAck { // acknowledges ClaimFinish and ClaimRelease
    ClaimKey key;
    base::AttemptId attempt;
};

// Sent by a restarted keeper to every other keeper of its set, page by page.
struct CatchUpRequest {
    base::HostId host; // of the requester
    base::Incarnation incarnation;
    config::KeeperSet set; // with which the requester started
    std::optional<ClaimKey> after; // last key of the previous page; none: the first page
};
struct ClaimHolder {
    base::AttemptId attempt;
    uint64_t digest = 0;
};
struct CatchUpClaim {
    ClaimKey key;
    std::vector<ClaimHolder> holders;
    uint64_t digest = 0; // of the request that produced `outcome`
    std::optional<ClaimOutcome> outcome;
    base::Duration keepFor; // remaining lifetime
    base::Duration overdueIn; // remaining time; not positive: already overdue
};
struct CatchUpAnswer {
    base::HostId host; // of the sender
    base::Incarnation incarnation; // of the sender
    base::Incarnation requester; // copied from the request
    bool catchingUp = false; // the sender itself is catching up; request again later
    std::optional<ClaimKey> after; // copied from the request
    std::vector<CatchUpClaim> claims;
    bool last = false;
};

struct Claim {
    // Attempts that may have a majority. One, unless catching up from two keepers found two racing attempts; none once
    // there is an outcome.
    std::vector<ClaimHolder> holders;
    uint64_t digest = 0; // of the request that produced `outcome`
    std::optional<ClaimOutcome> outcome; // invariant: never replaced once set
    base::Time keepUntil; // invariant: one window after the latest time at which a holder may run
    base::Time overdueAt;
};

// Progress of catching up from one other keeper.
struct CatchUpPeer {
    base::Incarnation incarnation; // incarnation that sent the pages; if the peer restarts, catching up starts again
    std::optional<ClaimKey> after;
    bool done = false;
};

struct ClaimKeeper {
    base::HostId self;
    base::Incarnation incarnation;
    ClaimSettings settings;
    base::Time startedAt;
    config::KeeperSet set; // invariant: its number never decreases

    // If this process started with a keeper set agreed on earlier, claims of a previous incarnation may be missing.
    bool hasAppliedSet = false; // applyKeeperSet() was called
    bool caughtUp = false; // for all keys of `bootSet`
    config::KeeperSet bootSet;
    std::map<base::HostId, CatchUpPeer> peers; // the other keepers of bootSet

    std::map<ClaimKey, Claim> claims;
    std::multimap<base::Time, ClaimKey> expiry; // of claims; may contain outdated times of claims whose lifetime was extended
    std::set<std::pair<ClaimKey, base::AttemptId>> released; // released attempts, so that a late request of them is rejected
    std::deque<std::pair<base::Time, std::pair<ClaimKey, base::AttemptId>>> releasedExpiry; // of `released`, oldest first
    std::map<base::HostId, base::Incarnation> seen; // highest incarnation of each other keeper
    size_t claimBytes = 0; // invariant: the sum over claims without their outcomes
    size_t outcomeBytes = 0; // invariant: the sum over recorded outcomes
};

ClaimKeeper startKeeper(base::HostId self, base::Incarnation, base::Time now, ClaimSettings = {});

// A snapshot has been applied. The first call after startKeeper() determines with which set the process started: number
// 0 means that none was ever agreed on, so that no claim can be missing. Lower numbers than before are ignored.
void applyKeeperSet(ClaimKeeper&, const config::KeeperSet&, base::Time now);

ClaimAnswer onClaimRequest(ClaimKeeper&, const ClaimRequest&, base::Time now);
ClaimAck onClaimFinish(ClaimKeeper&, const ClaimFinish&, base::Time now);
ClaimAck onClaimRelease(ClaimKeeper&, const ClaimRelease&, base::Time now);

// Catching up. catchUpRequests() returns the messages to send now. Call it about every 50 ms until caughtUp, because
// messages may be lost.
std::vector<std::pair<base::HostId, CatchUpRequest>> catchUpRequests(const ClaimKeeper&);
CatchUpAnswer onCatchUpRequest(ClaimKeeper&, const CatchUpRequest&, base::Time now);
void onCatchUpAnswer(ClaimKeeper&, const CatchUpAnswer&, base::Time now);

// Removes expired claims. The message handlers do so too; call it every second for keepers that receive few messages.
void expireClaims(ClaimKeeper&, base::Time now);

} // namespace appletally::policy
