// State of one call at the owner, from arrival to end. Private to the owner sources.
#pragma once

#include "appletally/node/owner.h"

#include <event2/event.h>

namespace appletally::node {

enum class Stage { Offered, // not yet admitted, or queued by admission
    Claiming, // holds a slot and waits for the keepers' answers
    Running,
    Lost, // its connection broke; waits until it is known whether the upstream ended
    Done };

struct Owner::ActiveCall {
    OwnerCallId id = 0;
    std::string name; // identifies the request in the logs
    Call call;
    base::RequestDigest digest;
    CallHandler handler;
    Owner* owner = nullptr;
    bool offered = false; // has been passed to admission
    std::optional<base::Time> heldSince; // a suspect that waits for the run of another one
    policy::Standing standing; // of the request, when its run began
    Stage stage = Stage::Offered;
    std::weak_ptr<http::UpstreamCall> upstream; // expired: not sent, ended, or its client is gone
    base::UpstreamVersion version; // to which it was admitted; empty: not yet
    event* timer = nullptr; // first the deferred start, then the deadline
    int64_t arrivedMicros = 0;
    int64_t startedMicros = 0;
    int64_t ranMicros = 0;
    uint64_t bodyAppended = 0; // of a large request body
    uint64_t unconsumedBytes = 0;
    uint64_t discardedBytes = 0; // of a body that nobody reads
    std::optional<ClaimId> claim; // granted or requested; must be ended exactly once
    policy::ClaimOutcome outcome; // with a claim: the upstream's answer, recorded by the keepers
    bool upstreamBusy = false; // at least three quarters of the slots were in use when the run started
    int status = 0;
    bool notRunByUpstream = false;
    std::optional<base::Error> lostWith; // in stage Lost
    bool misdirected = false; // another process listens at the upstream's address
    bool detached = false; // the caller disconnected; the handler must not be called

    ~ActiveCall()
    {
        if (timer)
            event_free(timer);
    }
};

} // namespace appletally::node
