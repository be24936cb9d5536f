// One caller's request at its node, and its tries at upstreams. Only the files of the ingress include this.
#pragma once

#include "appletally/node/ingress.h"

#include <event2/event.h>

namespace appletally::node {

// Answers up to this size are held until they are known to be whole, so that a caller never sees the beginning of one
// that breaks; larger ones stream, and a break is shown by a reset connection.
constexpr int64_t heldAnswerBytes = 256 * 1024;

// A node that has just started has its configuration and its upstreams within half a second as a rule, and a service that has
// lost all of them seldom has one sooner.
constexpr base::Duration startingPause { 500 };

// One copy of the request on its way to one upstream. There are two at most: the first, and a hedge.
struct Ingress::Try {
    uint64_t number = 0; // counted over the request's life; tells a late callback from one of the present try
    bool local = false; // the upstream beside this node
    uint64_t callId = 0; // OwnerCallId or PeerCallId
    policy::Pick pick;
    base::Time sentAt;
    bool isHedge = false;

    std::optional<http::AnswerHead> head;
    std::string held;
    uint64_t bodyBytes = 0;
    uint64_t uncredited = 0; // of body bytes taken here, for which the owner may not send more yet
};

struct Ingress::Active {
    uint64_t id = 0;
    std::string name; // under which the logs of all processes speak of it: the caller's id for this send
    Ingress* ingress = nullptr;
    http::CallerExchange* exchange = nullptr; // null: the caller left, and others wait for this run
    std::shared_ptr<const config::Snapshot> snapshot; // that the request began with
    const config::Route* route = nullptr; // in `snapshot`
    Call call;
    base::Time began;
    int64_t beganMicros = 0;
    event* timer = nullptr; // the deadline, or the wait before a retry
    event* hedgeTimer = nullptr;
    bool waitsToRetry = false;
    bool waitsForRun = false; // shares the run of an identical read
    bool streaming = false;
    bool mayHaveRun = false; // an earlier try ended with its outcome unknown
    std::optional<base::Error> refusal; // of the first try that was refused
    int tries = 0;
    std::vector<base::HostId> tried;
    std::vector<std::unique_ptr<Try>> underWay;

    ~Active()
    {
        if (timer)
            event_free(timer);
        if (hedgeTimer)
            event_free(hedgeTimer);
    }
};

} // namespace appletally::node
