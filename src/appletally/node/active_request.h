// State of one caller's request at the ingress and of its attempts at upstreams. Private to the ingress sources.
#pragma once

#include "appletally/node/ingress.h"

#include <event2/event.h>

namespace appletally::node {

// Answers up to this size are buffered until complete, so that a caller never receives the beginning of one that breaks.
// Larger ones are streamed; one that breaks after its head was sent ends the caller's connection.
constexpr int64_t maxBufferedAnswerBytes = 256 * 1024;

// Retry-After in ms when there is no configuration or no upstream. A node that has just started usually has both within
// half a second, and a service that has lost all upstreams rarely gets one back sooner.
constexpr base::Duration startupRetryAfter { 500 };

// One copy of the request, sent to one upstream. At most one is active besides those at hosts that fell silent and a hedge.
struct Ingress::Attempt {
    uint64_t number = 0; // unique within the node; tells a late callback of an ended attempt from one of an active attempt
    bool local = false; // sent to the upstream beside this node
    uint64_t callId = 0; // OwnerCallId or PeerCallId
    policy::Pick pick;
    base::Time sentAt;
    bool isHedge = false;

    std::optional<http::AnswerHead> head;
    std::string bufferedBody;
    uint64_t bodyBytes = 0;
    uint64_t bodySent = 0; // of a large request body
    uint64_t uncreditedBytes = 0; // body bytes received for which no credit has been returned to the owner
    base::Duration ran {}; // of a complete answer: at the upstream
    base::Duration transit {}; // of a complete answer: between this node and the owner, both ways; zero for a local attempt
};

struct Ingress::ActiveRequest {
    uint64_t id = 0;
    std::string name; // identifies the request in the logs of all processes: the caller's request id, if it sent one
    Ingress* ingress = nullptr;
    http::CallerExchange* exchange = nullptr; // null: the caller disconnected, and other callers share this run
    std::shared_ptr<const config::Snapshot> snapshot; // applied when the request arrived
    const config::Route* route = nullptr; // points into `snapshot`
    Call call;
    std::shared_ptr<const http::LargeBody> body; // null: the body is in `call`. Kept to the end, for further attempts
    base::RequestDigest digest;
    base::Time startedAt;
    base::Duration earlierWait; // estimated time that the caller has spent on earlier sends
    int64_t startedMicros = 0;
    event* timer = nullptr; // deadline, or delay before a retry
    event* hedgeTimer = nullptr;
    bool retryPending = false;
    bool awaitingSharedRun = false; // waits for the answer of an identical read
    bool streaming = false;
    bool mayHaveRun = false; // an earlier attempt ended with its outcome unknown
    std::optional<base::Error> firstRefusal; // of the first refused attempt; its retryAfter is the shortest of all refusals
    int attemptCount = 0;
    int spentAttempts = 0; // ended ones that an upstream may have received
    bool hedged = false; // a copy was sent because an answer was late
    std::vector<base::HostId> attemptedHosts;
    std::vector<std::unique_ptr<Attempt>> activeAttempts;

    ~ActiveRequest()
    {
        if (timer)
            event_free(timer);
        if (hedgeTimer)
            event_free(hedgeTimer);
    }
};

} // namespace appletally::node
