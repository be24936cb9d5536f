// Suspicion by ends and answers; see suspect_requests.h.
#include "appletally/policy/suspect_requests.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace appletally::policy {

using base::Duration;
using base::Time;
using config::RequestOnVersion;
using config::SuspectRequest;

namespace {

    // Two may be bad luck in a mesh where upstreams are replaced one after the other; the request of a fourth caller must
    // not cost a fourth upstream.
    constexpr size_t endsToBlock = 3;
    constexpr uint8_t minOrderToBlock = 2; // upstreams that fail together end side by side

    constexpr Duration firstBlock { 60'000 };
    constexpr int maxBlockDoublings = 6; // about an hour

    constexpr Duration answerCounts { 10'000 }; // a request may become fatal when the data change that it reads
    constexpr Duration suspectMemory { 600'000 };
    constexpr size_t maxKnown = 512;
    constexpr size_t maxEnds = 16; // of one request

    uint8_t highestOrder(const SuspectRequest& it)
    {
        uint8_t out = 0;
        for (const config::UpstreamEnd& end : it.ends)
            out = std::max(out, end.order);
        return out;
    }

    bool isVerdict(const SuspectRequest& it) { return it.ends.size() >= endsToBlock && highestOrder(it) >= minOrderToBlock; }

    Duration blockTime(const SuspectRequest& it)
    {
        const int doublings = std::clamp(highestOrder(it) - static_cast<int>(endsToBlock), 0, maxBlockDoublings);
        return firstBlock * (int64_t { 1 } << doublings);
    }

    uint64_t hashOf(const RequestOnVersion& it) { return XXH3_64bits_withSeed(it.version.text.data(), it.version.text.size(), it.request.value); }

    void remember(RecentAnswers& it, const RequestOnVersion& key, Time now)
    {
        if (!it.slots)
            it.slots = std::make_unique<std::array<RecentAnswers::Slot, RecentAnswers::slotCount>>();
        const uint64_t hash = hashOf(key);
        (*it.slots)[hash % RecentAnswers::slotCount] = { hash, now };
    }

    // Returns whether it was answered here recently, and forgets it: an answer excuses one end, not all that follow.
    bool takeRecentAnswer(RecentAnswers& it, const RequestOnVersion& key, Time now)
    {
        const uint64_t hash = hashOf(key);
        if (!it.slots || (*it.slots)[hash % RecentAnswers::slotCount].key != hash)
            return false;
        const RecentAnswers::Slot slot = std::exchange((*it.slots)[hash % RecentAnswers::slotCount], {});
        return now - slot.at < answerCounts;
    }

    KnownSuspect& entryOf(SuspectRequests& it, const RequestOnVersion& key, Time now)
    {
        const auto [found, added] = it.known.try_emplace(key);
        if (added) {
            found->second = { { key, 0, {} }, now };
            if (it.known.size() > maxKnown) {
                it.known.erase(std::min_element(it.known.begin(), it.known.end(), [&](const auto& a, const auto& b) {
                    return std::pair(a.first == key, a.second.changedAt) < std::pair(b.first == key, b.second.changedAt);
                }));
            }
        }
        return found->second;
    }

    SuspectRequest acquit(KnownSuspect& it, Time now)
    {
        ++it.evidence.round;
        it.evidence.ends.clear();
        it.changedAt = now;
        return it.evidence;
    }

    void addEnd(SuspectRequest& it, const config::UpstreamEnd& end)
    {
        if (std::any_of(it.ends.begin(), it.ends.end(), [&](const auto& known) { return known.id == end.id; }))
            return;
        it.ends.push_back(end);
        if (it.ends.size() > maxEnds)
            it.ends.erase(std::min_element(it.ends.begin(), it.ends.end(), [](const auto& a, const auto& b) { return std::pair(a.order, a.id) < std::pair(b.order, b.id); }));
    }

    // The order counts only in the round in which the run began.
    uint8_t orderAtStart(const SuspectRequests& it, const RunAtEnd& run)
    {
        return run.atStart.round == standingOf(it, run.key).round ? run.atStart.order : 0;
    }

} // namespace

const SuspectRequest* evidenceOf(const SuspectRequests& it, const RequestOnVersion& key)
{
    const auto found = it.known.find(key);
    return found == it.known.end() ? nullptr : &found->second.evidence;
}

Standing standingOf(const SuspectRequests& it, const RequestOnVersion& key)
{
    const SuspectRequest* known = evidenceOf(it, key);
    return known ? Standing { known->round, highestOrder(*known) } : Standing {};
}

Duration blockedFor(const SuspectRequests& it, const RequestOnVersion& key, Time now)
{
    const auto found = it.known.find(key);
    if (found == it.known.end() || !isVerdict(found->second.evidence))
        return {};
    return std::max(found->second.changedAt + blockTime(found->second.evidence) - now, Duration {});
}

Suspicion suspicionOf(const SuspectRequests& it, const RequestOnVersion& key, Time now)
{
    const SuspectRequest* known = evidenceOf(it, key);
    if (!known || known->ends.empty())
        return Suspicion::None;
    return blockedFor(it, key, now) > Duration {} ? Suspicion::Blocked : Suspicion::Suspected;
}

std::vector<SuspectRequest> onUpstreamEnded(SuspectRequests& it, std::span<const RunAtEnd> runs, uint64_t endId, Time now)
{
    // Of the runs of one request, the one that knew most counts.
    std::map<RequestOnVersion, uint8_t> orders;
    for (const RunAtEnd& run : runs) {
        uint8_t& order = orders[run.key];
        order = std::max(order, orderAtStart(it, run));
    }
    uint8_t highest = 0;
    for (const auto& [key, order] : orders)
        highest = std::max(highest, order);
    const auto suspects = std::count_if(orders.begin(), orders.end(), [&](const auto& entry) { return entry.second == highest; });
    // Several suspects side by side: the end is that of one of them, and confirms none.
    const bool confirms = highest == 0 || suspects == 1;
    std::vector<SuspectRequest> out;
    for (const auto& [key, order] : orders) {
        if (order < highest)
            continue;
        KnownSuspect& entry = entryOf(it, key, now);
        if (takeRecentAnswer(it.answers, key, now)) {
            out.push_back(acquit(entry, now));
            continue;
        }
        const int next = order + (confirms ? 1 : 0);
        addEnd(entry.evidence, { endId, static_cast<uint8_t>(std::min<int>(next, UINT8_MAX)) });
        entry.changedAt = now;
        out.push_back(entry.evidence);
    }
    return out;
}

std::optional<SuspectRequest> onAnswered(SuspectRequests& it, const RequestOnVersion& key, Time now)
{
    remember(it.answers, key, now);
    const auto found = it.known.find(key);
    if (found == it.known.end() || found->second.evidence.ends.empty())
        return {};
    return acquit(found->second, now);
}

MergeResult merge(SuspectRequests& it, const SuspectRequest& told, Time now)
{
    const auto found = it.known.find(told.key);
    if (found != it.known.end() && told.round < found->second.evidence.round)
        return {};
    KnownSuspect& entry = entryOf(it, told.key, now);
    const SuspectRequest before = entry.evidence;
    if (told.round > entry.evidence.round)
        entry.evidence = { told.key, told.round, {} };
    for (const config::UpstreamEnd& end : told.ends)
        addEnd(entry.evidence, end);
    if (entry.evidence == before)
        return {};
    entry.changedAt = now;
    const bool answeredHere = takeRecentAnswer(it.answers, told.key, now);
    if (answeredHere && !entry.evidence.ends.empty())
        return { true, acquit(entry, now) };
    return { true, {} };
}

void forgetOld(SuspectRequests& it, Time now)
{
    std::erase_if(it.known, [&](const auto& entry) {
        const KnownSuspect& suspect = entry.second;
        const Duration kept = isVerdict(suspect.evidence) ? blockTime(suspect.evidence) + suspectMemory : suspectMemory;
        return now - suspect.changedAt > kept;
    });
}

} // namespace appletally::policy
