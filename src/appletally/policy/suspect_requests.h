// Requests under which upstreams end: which are suspected, which are blocked, and until when.
//
// Load pattern: one request ends each upstream that runs it. Attempts, callers that return and other callers bring it to
// one upstream after the other; each end loses everything that ran there, and a service of n upstreams is gone after n
// sends. A limit for an attempt, a caller or a node does not bound this, because all of them share the upstreams.
//
// An upstream that ends makes suspects of the requests that ran there. A suspect runs alone: one run at a time in the whole
// mesh as far as nodes agree on the upstream for it. It is blocked after three ends that were not all side by side.
//
// Who is to blame: upstreams also end for other reasons, and whatever ran there did nothing. A request that is answered
// is innocent, since one that ends upstreams never is; so is one that was answered shortly before, once. An end under a
// suspect makes no suspects of what ran beside it. A wrong verdict would be an outage caused by this mesh, so none is for
// good: a blocked request gets one run after a time that doubles with each further end.
//
// One process's state; nodes exchange config::SuspectRequest.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/config/suspect_request.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace appletally::policy {

enum class Suspicion : uint8_t {
    None,
    Suspected, // runs alone
    Blocked, // does not run
};

struct KnownSuspect {
    config::SuspectRequest evidence;
    base::Time changedAt;
};

// Requests that were answered here recently. A later one may replace an earlier one, which is then taken for unanswered.
struct RecentAnswers {
    struct Slot {
        uint64_t key = 0;
        base::Time at;
    };
    static constexpr size_t slotCount = 4096;
    std::unique_ptr<std::array<Slot, slotCount>> slots; // null until the first answer
};

struct SuspectRequests {
    std::map<config::RequestOnVersion, KnownSuspect> known; // bounded; the least recently changed is dropped first
    RecentAnswers answers;
};

// What was known of a request when its run began.
struct Standing {
    uint32_t round = 0;
    uint8_t order = 0; // of the last of its ends; 0: not suspected
};

struct RunAtEnd {
    config::RequestOnVersion key;
    Standing atStart;
};

Suspicion suspicionOf(const SuspectRequests&, const config::RequestOnVersion&, base::Time now);
Standing standingOf(const SuspectRequests&, const config::RequestOnVersion&);
base::Duration blockedFor(const SuspectRequests&, const config::RequestOnVersion&, base::Time now); // zero: not blocked
const config::SuspectRequest* evidenceOf(const SuspectRequests&, const config::RequestOnVersion&); // null: never suspected

// The upstream beside this node ended while `runs` were at it. Returns what other nodes must be told.
std::vector<config::SuspectRequest> onUpstreamEnded(SuspectRequests&, std::span<const RunAtEnd> runs, uint64_t endId, base::Time now);

// The upstream beside this node has answered it completely, with whatever status. Returns what other nodes must be told.
std::optional<config::SuspectRequest> onAnswered(SuspectRequests&, const config::RequestOnVersion&, base::Time now);

struct MergeResult {
    bool changed = false;
    std::optional<config::SuspectRequest> objection; // it was answered here shortly before: other nodes must be told
};
MergeResult merge(SuspectRequests&, const config::SuspectRequest&, base::Time now);

void forgetOld(SuspectRequests&, base::Time now);

} // namespace appletally::policy
