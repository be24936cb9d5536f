// One record per key: held by an attempt, or finished with an outcome. The header explains why this is safe.
#include "appletally/policy/claim_keeper.h"

#include <algorithm>

namespace appletally::policy {

namespace {

    // Besides the strings: the nodes of two maps, vectors and the fixed part of the outcome, rounded up.
    constexpr size_t fixedClaimBytes = 320;

    // A released attempt is remembered for this time, so that its late request does not hold the key. Messages between
    // nodes that are later than this belong to a link that was closed as silent.
    constexpr base::Duration releasedRetention { 10'000 };
    constexpr size_t maxReleased = 20'000;

    size_t bytesOf(const ClaimOutcome& it)
    {
        size_t n = it.body.size();
        for (const auto& [name, value] : it.headers)
            n += name.size() + value.size();
        return n;
    }

    size_t bytesOf(const ClaimKey& key)
    {
        return fixedClaimBytes + 2 * (key.service.text.size() + key.caller.text.size() + key.key.text.size());
    }

    bool has(const std::vector<ClaimHolder>& list, base::AttemptId attempt)
    {
        return std::any_of(list.begin(), list.end(), [&](const ClaimHolder& it) { return it.attempt == attempt; });
    }

    bool has(const std::vector<base::HostId>& list, const base::HostId& it)
    {
        return std::find(list.begin(), list.end(), it) != list.end();
    }

    void setKeepUntil(ClaimKeeper& keeper, const ClaimKey& key, Claim& claim, base::Time until)
    {
        if (until <= claim.keepUntil)
            return;
        claim.keepUntil = until;
        keeper.expiry.emplace(until, key);
    }

    Claim& addClaim(ClaimKeeper& keeper, const ClaimKey& key)
    {
        Claim& claim = keeper.claims[key];
        keeper.claimBytes += bytesOf(key);
        return claim;
    }

    void eraseClaim(ClaimKeeper& keeper, std::map<ClaimKey, Claim>::iterator it)
    {
        if (it->second.outcome)
            keeper.outcomeBytes -= bytesOf(*it->second.outcome);
        keeper.claimBytes -= bytesOf(it->first);
        keeper.claims.erase(it);
    }

    // The first recorded outcome is kept. A second one would mean that the key ran twice, and callers have received the
    // first.
    void recordOutcome(ClaimKeeper& keeper, Claim& claim, uint64_t digest, const ClaimOutcome& outcome)
    {
        if (claim.outcome)
            return;
        ClaimOutcome kept = outcome;
        const bool tooLong = bytesOf(kept) > keeper.settings.maxOutcomeBytes.count;
        if (tooLong || keeper.outcomeBytes + bytesOf(kept) > keeper.settings.maxOutcomeMemory.count) {
            kept.headers.clear();
            kept.body.clear();
            kept.bodyKept = false;
        }
        keeper.outcomeBytes += bytesOf(kept);
        claim.digest = digest;
        claim.outcome = std::move(kept);
        claim.holders.clear();
    }

    // Whether this keeper has all claims of this key that it granted before a restart.
    bool knowsAllClaims(const ClaimKeeper& keeper, const ClaimKey& key)
    {
        if (keeper.caughtUp)
            return true;
        const KeyKeepers keepers = keepersOf(keeper.bootSet, key);
        for (const std::vector<base::HostId>* group : { &keepers.current, &keepers.previous }) {
            if (!has(*group, keeper.self))
                continue;
            for (const base::HostId& host : *group) {
                if (host == keeper.self)
                    continue;
                const auto peer = keeper.peers.find(host);
                if (peer == keeper.peers.end() || !peer->second.done)
                    return false;
            }
        }
        return true;
    }

    void completeAfterWindow(ClaimKeeper& keeper, base::Time now)
    {
        // By now every claim lost at the restart has also expired at the other keepers, so that no keeper still answers
        // for a run that this one would grant again.
        if (!keeper.caughtUp && now - keeper.startedAt >= claimLife(keeper.settings))
            keeper.caughtUp = true;
    }

    std::vector<SeenKeeper> seenOf(const ClaimKeeper& keeper, const ClaimKey& key)
    {
        std::vector<SeenKeeper> out;
        for (const base::HostId& host : keepersOf(keeper.set, key).all()) {
            const auto it = keeper.seen.find(host);
            if (it != keeper.seen.end())
                out.push_back({ host, it->second });
        }
        return out;
    }

    void recordIncarnation(ClaimKeeper& keeper, const base::HostId& host, base::Incarnation incarnation)
    {
        base::Incarnation& known = keeper.seen[host];
        known = std::max(known, incarnation);
    }

    bool heldForOtherRequest(const Claim& claim, uint64_t digest)
    {
        return std::none_of(claim.holders.begin(), claim.holders.end(), [&](const ClaimHolder& it) { return it.digest == digest; });
    }

    void answerFromClaim(const ClaimKeeper& keeper, const Claim& claim, const ClaimRequest& request, base::Time now, ClaimAnswer& out)
    {
        if (claim.outcome) {
            const bool same = claim.digest == request.digest;
            out.reply = same ? ClaimReply::Finished : ClaimReply::KeyReusedDifferently;
            out.outcome = same ? claim.outcome : std::nullopt;
            return;
        }
        if (heldForOtherRequest(claim, request.digest)) {
            // The round takes this as proof that the request did not run, so only a keeper without missing claims may
            // send it.
            out.reply = knowsAllClaims(keeper, request.key) ? ClaimReply::KeyReusedDifferently : ClaimReply::CatchingUp;
            return;
        }
        const bool first = claim.holders.front().attempt == request.attempt;
        out.reply = ClaimReply::Held;
        out.holder = first ? claim.holders.back().attempt : claim.holders.front().attempt;
        out.overdue = now >= claim.overdueAt;
    }

    bool heldOnlyBy(const Claim& claim, const ClaimRequest& request)
    {
        return !claim.outcome && claim.holders.size() == 1 && claim.holders.front().attempt == request.attempt;
    }

    bool hasRoom(const ClaimKeeper& keeper, const ClaimKey& key)
    {
        return keeper.claimBytes + bytesOf(key) <= keeper.settings.maxClaimMemory.count;
    }

    void grant(ClaimKeeper& keeper, const ClaimRequest& request, base::Time now)
    {
        Claim& claim = addClaim(keeper, request.key);
        claim.holders = { { request.attempt, request.digest } };
        claim.overdueAt = now + request.runWithin;
        setKeepUntil(keeper, request.key, claim, now + request.runWithin + keeper.settings.window);
    }

    // No claim can be missing if no set was ever agreed on or this host is in none: it granted nothing in any set that
    // is still in use, since a host stays in the previous set for a whole claim lifetime before it stops receiving
    // requests.
    void beginCatchUp(ClaimKeeper& keeper, const config::KeeperSet& set)
    {
        keeper.hasAppliedSet = true;
        keeper.bootSet = set;
        bool member = false;
        for (const std::vector<config::Keeper>* group : { &set.members, &set.previous }) {
            for (const config::Keeper& it : *group) {
                if (it.host == keeper.self)
                    member = true;
                else
                    keeper.peers.try_emplace(it.host);
            }
        }
        keeper.caughtUp = keeper.caughtUp || !member;
    }

} // namespace

ClaimKeeper startKeeper(base::HostId self, base::Incarnation incarnation, base::Time now, ClaimSettings settings)
{
    ClaimKeeper keeper;
    keeper.self = std::move(self);
    keeper.incarnation = incarnation;
    keeper.settings = settings;
    keeper.startedAt = now;
    return keeper;
}

void applyKeeperSet(ClaimKeeper& keeper, const config::KeeperSet& set, base::Time now)
{
    completeAfterWindow(keeper, now);
    if (!keeper.hasAppliedSet)
        beginCatchUp(keeper, set);
    if (set.number > keeper.set.number)
        keeper.set = set;
}

ClaimAnswer onClaimRequest(ClaimKeeper& keeper, const ClaimRequest& request, base::Time now)
{
    expireClaims(keeper, now);
    ClaimAnswer out;
    out.key = request.key;
    out.attempt = request.attempt;
    out.number = keeper.set.number;
    out.incarnation = keeper.incarnation;
    // A requester with another set number contacts other keepers than those that have the key's claims.
    if (request.number != keeper.set.number) {
        out.reply = ClaimReply::WrongSet;
        return out;
    }
    const auto found = keeper.claims.find(request.key);
    if (found != keeper.claims.end() && !heldOnlyBy(found->second, request)) {
        answerFromClaim(keeper, found->second, request, now, out);
        return out;
    }
    if (!knowsAllClaims(keeper, request.key)) {
        out.reply = ClaimReply::CatchingUp;
        return out;
    }
    if (keeper.released.contains({ request.key, request.attempt })) {
        out.reply = ClaimReply::Released;
        return out;
    }
    out.seen = seenOf(keeper, request.key);
    if (found != keeper.claims.end()) {
        out.reply = ClaimReply::AlreadyGranted;
        return out;
    }
    // Evicting a live claim would let its key run again, so a new claim is rejected instead.
    if (!hasRoom(keeper, request.key)) {
        out.reply = ClaimReply::Full;
        return out;
    }
    grant(keeper, request, now);
    out.reply = ClaimReply::Granted;
    return out;
}

ClaimAck onClaimFinish(ClaimKeeper& keeper, const ClaimFinish& finish, base::Time now)
{
    expireClaims(keeper, now);
    auto found = keeper.claims.find(finish.key);
    // The attempt ran, so it had its majority and any other holder of the key here lost: the outcome replaces it.
    // Beyond the memory limit it is dropped if this keeper never granted the claim; the majority that did has memory
    // reserved for it.
    if (found == keeper.claims.end() && !hasRoom(keeper, finish.key))
        return { finish.key, finish.attempt };
    Claim& claim = found == keeper.claims.end() ? addClaim(keeper, finish.key) : found->second;
    recordOutcome(keeper, claim, finish.digest, finish.outcome);
    setKeepUntil(keeper, finish.key, claim, now + finish.leftToRun + keeper.settings.window);
    return { finish.key, finish.attempt };
}

ClaimAck onClaimRelease(ClaimKeeper& keeper, const ClaimRelease& release, base::Time now)
{
    expireClaims(keeper, now);
    if (keeper.released.size() < maxReleased && keeper.released.insert({ release.key, release.attempt }).second)
        keeper.releasedExpiry.push_back({ now + releasedRetention, { release.key, release.attempt } });
    const auto found = keeper.claims.find(release.key);
    if (found == keeper.claims.end() || found->second.outcome)
        return { release.key, release.attempt };
    std::erase_if(found->second.holders, [&](const ClaimHolder& it) { return it.attempt == release.attempt; });
    if (found->second.holders.empty())
        eraseClaim(keeper, found);
    return { release.key, release.attempt };
}

std::vector<std::pair<base::HostId, CatchUpRequest>> catchUpRequests(const ClaimKeeper& keeper)
{
    std::vector<std::pair<base::HostId, CatchUpRequest>> out;
    if (keeper.caughtUp)
        return out;
    for (const auto& [host, peer] : keeper.peers) {
        if (!peer.done)
            out.emplace_back(host, CatchUpRequest { keeper.self, keeper.incarnation, keeper.bootSet, peer.after });
    }
    return out;
}

CatchUpAnswer onCatchUpRequest(ClaimKeeper& keeper, const CatchUpRequest& request, base::Time now)
{
    expireClaims(keeper, now);
    CatchUpAnswer out;
    out.host = keeper.self;
    out.incarnation = keeper.incarnation;
    out.requester = request.incarnation;
    out.after = request.after;
    // From here on this keeper's grants report that the requester restarted, so that its older grants no longer count.
    // That covers a claim granted here after this page was created.
    recordIncarnation(keeper, request.host, request.incarnation);
    if (!keeper.caughtUp) {
        out.catchingUp = true;
        return out;
    }
    auto it = request.after ? keeper.claims.upper_bound(*request.after) : keeper.claims.begin();
    for (; it != keeper.claims.end() && out.claims.size() < keeper.settings.catchUpBatch; ++it) {
        const auto& [key, claim] = *it;
        if (!has(keepersOf(request.set, key).all(), request.host))
            continue;
        out.claims.push_back({ key, claim.holders, claim.digest, claim.outcome, claim.keepUntil - now, claim.overdueAt - now });
    }
    out.last = it == keeper.claims.end();
    return out;
}

namespace {

    void mergeClaim(ClaimKeeper& keeper, const CatchUpClaim& received, base::Time now)
    {
        std::vector<ClaimHolder> holders;
        for (const ClaimHolder& it : received.holders) {
            if (!keeper.released.contains({ received.key, it.attempt }))
                holders.push_back(it);
        }
        if (holders.empty() && !received.outcome)
            return;
        // Also beyond the memory limit: this claim is live, and a keeper that drops a live claim lets its key run
        // twice.
        const auto found = keeper.claims.find(received.key);
        Claim& claim = found == keeper.claims.end() ? addClaim(keeper, received.key) : found->second;
        setKeepUntil(keeper, received.key, claim, now + received.keepFor);
        claim.overdueAt = std::max(claim.overdueAt, now + received.overdueIn);
        if (claim.outcome)
            return;
        if (received.outcome) {
            recordOutcome(keeper, claim, received.digest, *received.outcome);
            return;
        }
        for (const ClaimHolder& it : holders) {
            if (!has(claim.holders, it.attempt))
                claim.holders.push_back(it);
        }
    }

} // namespace

void onCatchUpAnswer(ClaimKeeper& keeper, const CatchUpAnswer& answer, base::Time now)
{
    recordIncarnation(keeper, answer.host, answer.incarnation);
    const auto found = keeper.peers.find(answer.host);
    if (keeper.caughtUp || found == keeper.peers.end() || answer.requester != keeper.incarnation || answer.catchingUp)
        return;
    CatchUpPeer& peer = found->second;
    if (peer.done)
        return;
    // Pages of one incarnation of the peer belong together; a peer that restarted meanwhile is read from the start.
    if (peer.incarnation != answer.incarnation) {
        peer = { answer.incarnation, std::nullopt, false };
    }
    if (answer.after != peer.after)
        return; // a duplicate, or a page of a previous incarnation
    for (const CatchUpClaim& it : answer.claims)
        mergeClaim(keeper, it, now);
    if (!answer.claims.empty())
        peer.after = answer.claims.back().key;
    peer.done = answer.last;
    keeper.caughtUp = std::all_of(keeper.peers.begin(), keeper.peers.end(), [](const auto& it) { return it.second.done; });
}

void expireClaims(ClaimKeeper& keeper, base::Time now)
{
    completeAfterWindow(keeper, now);
    while (!keeper.expiry.empty() && keeper.expiry.begin()->first <= now) {
        const auto found = keeper.claims.find(keeper.expiry.begin()->second);
        keeper.expiry.erase(keeper.expiry.begin());
        if (found != keeper.claims.end() && found->second.keepUntil <= now)
            eraseClaim(keeper, found);
    }
    while (!keeper.releasedExpiry.empty() && keeper.releasedExpiry.front().first <= now) {
        keeper.released.erase(keeper.releasedExpiry.front().second);
        keeper.releasedExpiry.pop_front();
    }
}

} // namespace appletally::policy
