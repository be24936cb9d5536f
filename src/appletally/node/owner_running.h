// One call at its owner's node, from its arrival to its end. Only the files of the owner include this.
#pragma once

#include "appletally/node/owner.h"

#include <event2/event.h>

namespace appletally::node {

enum class Stage { Offered, // waits for admission's word or in its queue
    Claiming, // has a slot; its key's keepers are asked
    Running,
    Done };

struct Owner::Running {
    OwnerCallId id = 0;
    std::string name; // of the request, for the logs
    Call call;
    CallHandler handler;
    Owner* owner = nullptr;
    bool offered = false; // admission knows of it
    Stage stage = Stage::Offered;
    http::UpstreamCall* upstream = nullptr;
    base::UpstreamVersion version;
    event* timer = nullptr; // first the deferred start, then the deadline
    int64_t startedMicros = 0;
    int64_t ranMicros = 0;
    uint64_t unconsumed = 0;
    std::optional<ClaimId> claim; // granted or being asked for; to be ended exactly once
    policy::ClaimOutcome outcome; // with a claim: what the upstream answered, for the keepers
    bool busy = false; // when it began to run
    int status = 0;
    bool notRunByUpstream = false;
    bool misdirected = false; // another process stands where the upstream stood
    bool detached = false; // the caller is gone; nobody listens

    ~Running()
    {
        if (timer)
            event_free(timer);
    }
};

} // namespace appletally::node
