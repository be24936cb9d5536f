// One record for each key: held by an attempt, or finished with an outcome. See the header for why this is safe.
#include "appletally/policy/claim_keeper.h"

#include <algorithm>

namespace appletally::policy {

namespace {

    // Beside the strings: the nodes of two maps, vectors and the outcome's fixed part, measured generously.
    constexpr size_t fixedClaimBytes = 320;

    // A given-up attempt is remembered this long, so that its late ask does not hold the key. Messages between nodes
    // that are later than this belong to a link that was closed as silent.
    constexpr base::Duration releasedMemory { 10'000 };
    constexpr size_t mostReleased = 20'000;

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

    // The first recorded outcome stays: a second one would mean that the key ran twice, and callers were told the first.
    void recordOutcome(ClaimKeeper& keeper, Claim& claim, uint64_t digest, const ClaimOutcome& outcome)
    {
        if (claim.outcome)
            return;
        ClaimOutcome kept = outcome;
        const bool tooLong = bytesOf(kept) > keeper.settings.maxOutcomeBytes.count;
        if (tooLong || keeper.outcomeBytes + bytesOf(kept) > keeper.settings.outcomeMemory.count) {
            kept.headers.clear();
            kept.body.clear();
            kept.bodyKept = false;
        }
        keeper.outcomeBytes += bytesOf(kept);
        claim.digest = digest;
        claim.outcome = std::move(kept);
        claim.holders.clear();
    }

    // Is this keeper sure that it has forgotten no claim of this key?
    bool settled(const ClaimKeeper& keeper, const ClaimKey& key)
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

    void noteWindowPassed(ClaimKeeper& keeper, base::Time now)
    {
        // Every claim that was forgotten at the start has run out by now at the other keepers too, so that no keeper
        // still answers for a run that this one would let happen again.
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

    void noteSeen(ClaimKeeper& keeper, const base::HostId& host, base::Incarnation incarnation)
    {
        base::Incarnation& known = keeper.seen[host];
        known = std::max(known, incarnation);
    }

    bool heldOnlyForOthers(const Claim& claim, uint64_t digest)
    {
        return std::none_of(claim.holders.begin(), claim.holders.end(), [&](const ClaimHolder& it) { return it.digest == digest; });
    }

    void answerFromClaim(const ClaimKeeper& keeper, const Claim& claim, const ClaimRequest& ask, base::Time now, ClaimAnswer& out)
    {
        if (claim.outcome) {
            const bool same = claim.digest == ask.digest;
            out.reply = same ? ClaimReply::Finished : ClaimReply::KeyReusedDifferently;
            out.outcome = same ? claim.outcome : std::nullopt;
            return;
        }
        if (heldOnlyForOthers(claim, ask.digest)) {
            // Asked for by the round as proof that this request did not run, so only from a keeper that forgot nothing.
            out.reply = settled(keeper, ask.key) ? ClaimReply::KeyReusedDifferently : ClaimReply::CatchingUp;
            return;
        }
        const bool first = claim.holders.front().attempt == ask.attempt;
        out.reply = ClaimReply::Held;
        out.holder = first ? claim.holders.back().attempt : claim.holders.front().attempt;
        out.overdue = now >= claim.overdueAt;
    }

    bool heldOnlyBy(const Claim& claim, const ClaimRequest& ask)
    {
        return !claim.outcome && claim.holders.size() == 1 && claim.holders.front().attempt == ask.attempt;
    }

    bool hasRoom(const ClaimKeeper& keeper, const ClaimKey& key)
    {
        return keeper.claimBytes + bytesOf(key) <= keeper.settings.claimMemory.count;
    }

    void grant(ClaimKeeper& keeper, const ClaimRequest& ask, base::Time now)
    {
        Claim& claim = addClaim(keeper, ask.key);
        claim.holders = { { ask.attempt, ask.digest } };
        claim.overdueAt = now + ask.runWithin;
        setKeepUntil(keeper, ask.key, claim, now + ask.runWithin + keeper.settings.window);
    }

    // Nothing can be missing where no set was ever agreed or this host is in none: it granted nothing in any set that is
    // still asked, since a host leaves a set a whole window before it is asked no longer.
    void beginCatchUp(ClaimKeeper& keeper, const config::KeeperSet& set)
    {
        keeper.sawSet = true;
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
    noteWindowPassed(keeper, now);
    if (!keeper.sawSet)
        beginCatchUp(keeper, set);
    if (set.number > keeper.set.number)
        keeper.set = set;
}

ClaimAnswer onClaimRequest(ClaimKeeper& keeper, const ClaimRequest& ask, base::Time now)
{
    expireClaims(keeper, now);
    ClaimAnswer out;
    out.key = ask.key;
    out.attempt = ask.attempt;
    out.number = keeper.set.number;
    out.incarnation = keeper.incarnation;
    // An asker under another number asks other keepers than those who know the key's claims.
    if (ask.number != keeper.set.number) {
        out.reply = ClaimReply::WrongSet;
        return out;
    }
    const auto found = keeper.claims.find(ask.key);
    if (found != keeper.claims.end() && !heldOnlyBy(found->second, ask)) {
        answerFromClaim(keeper, found->second, ask, now, out);
        return out;
    }
    if (!settled(keeper, ask.key)) {
        out.reply = ClaimReply::CatchingUp;
        return out;
    }
    if (keeper.released.contains({ ask.key, ask.attempt })) {
        out.reply = ClaimReply::Released;
        return out;
    }
    out.seen = seenOf(keeper, ask.key);
    if (found != keeper.claims.end()) {
        out.reply = ClaimReply::AlreadyGranted;
        return out;
    }
    // Forgetting a live claim to make room would let its key run again, so a new one is refused instead.
    if (!hasRoom(keeper, ask.key)) {
        out.reply = ClaimReply::Full;
        return out;
    }
    grant(keeper, ask, now);
    out.reply = ClaimReply::Granted;
    return out;
}

ClaimAck onClaimFinish(ClaimKeeper& keeper, const ClaimFinish& finish, base::Time now)
{
    expireClaims(keeper, now);
    auto found = keeper.claims.find(finish.key);
    // The attempt ran, so it had its majority and whoever else holds the key here lost: the outcome goes over it. Beyond
    // the memory bound it is dropped where this keeper never granted; the majority that did has room reserved for it.
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
    if (keeper.released.size() < mostReleased && keeper.released.insert({ release.key, release.attempt }).second)
        keeper.releasedExpiry.push_back({ now + releasedMemory, { release.key, release.attempt } });
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

CatchUpAnswer onCatchUpRequest(ClaimKeeper& keeper, const CatchUpRequest& ask, base::Time now)
{
    expireClaims(keeper, now);
    CatchUpAnswer out;
    out.host = keeper.self;
    out.incarnation = keeper.incarnation;
    out.requester = ask.incarnation;
    out.after = ask.after;
    // From here on this keeper's grants say that the asker restarted, so that its older grants no longer count. That
    // covers a claim granted here after this page was cut.
    noteSeen(keeper, ask.host, ask.incarnation);
    if (!keeper.caughtUp) {
        out.catchingUp = true;
        return out;
    }
    auto it = ask.after ? keeper.claims.upper_bound(*ask.after) : keeper.claims.begin();
    for (; it != keeper.claims.end() && out.claims.size() < keeper.settings.catchUpBatch; ++it) {
        const auto& [key, claim] = *it;
        if (!has(keepersOf(ask.set, key).all(), ask.host))
            continue;
        out.claims.push_back({ key, claim.holders, claim.digest, claim.outcome, claim.keepUntil - now, claim.overdueAt - now });
    }
    out.last = it == keeper.claims.end();
    return out;
}

namespace {

    void mergeClaim(ClaimKeeper& keeper, const CatchUpClaim& caught, base::Time now)
    {
        std::vector<ClaimHolder> holders;
        for (const ClaimHolder& it : caught.holders) {
            if (!keeper.released.contains({ caught.key, it.attempt }))
                holders.push_back(it);
        }
        if (holders.empty() && !caught.outcome)
            return;
        // Over the memory bound as well: this claim is live, and a keeper that forgets a live one lets its key run twice.
        const auto found = keeper.claims.find(caught.key);
        Claim& claim = found == keeper.claims.end() ? addClaim(keeper, caught.key) : found->second;
        setKeepUntil(keeper, caught.key, claim, now + caught.keepFor);
        claim.overdueAt = std::max(claim.overdueAt, now + caught.overdueIn);
        if (claim.outcome)
            return;
        if (caught.outcome) {
            recordOutcome(keeper, claim, caught.digest, *caught.outcome);
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
    noteSeen(keeper, answer.host, answer.incarnation);
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
        return; // doubled or of an earlier incarnation's pages
    for (const CatchUpClaim& it : answer.claims)
        mergeClaim(keeper, it, now);
    if (!answer.claims.empty())
        peer.after = answer.claims.back().key;
    peer.done = answer.last;
    keeper.caughtUp = std::all_of(keeper.peers.begin(), keeper.peers.end(), [](const auto& it) { return it.second.done; });
}

void expireClaims(ClaimKeeper& keeper, base::Time now)
{
    noteWindowPassed(keeper, now);
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
