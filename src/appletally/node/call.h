// A call from the ingress to the owner, and its result.
//
// The same structs are used over a link to another node and within the process, when the target is the upstream beside
// this node. What a caller receives therefore does not depend on the path of its call.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/base/result.h"
#include "appletally/config/model.h"
#include "appletally/config/suspect_request.h"
#include "appletally/http/upstream_client.h"
#include "appletally/policy/load.h"
#include "appletally/policy/local_version_monitor.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace appletally::node {

struct Call {
    base::ServiceName service;
    base::RouteName route;
    std::string method;
    std::string target; // path and query
    std::vector<http::HeaderField> headers;
    std::string body;
    uint64_t bodyBytes = 0; // of a large body, which follows as CallHandler::wantBody asks for it; `body` is then empty
    uint64_t bodyDigest = 0; // XXH3 of that body
    base::Time deadline; // on this process's clock; sent as the remaining time
    base::CallerId caller;
    base::IdempotencyKey key; // empty: not a keyed request
    base::AttemptId attempt;
    bool internal = false; // the caller is another service of the mesh
    base::ConfigVersion configVersion; // used by the ingress to route the call
    uint8_t depth = 0; // number of enclosing calls

    // Route properties known to the ingress. They are sent with the call because the owner may have just started or may
    // have applied another version, and must not treat the call as one of an unknown route.
    bool idempotent = false;
    config::Priority priority = config::Priority::Read;
    base::Duration expected { 20 }; // usual run time at the upstream
    std::optional<base::Time> targetDeadline; // an answer after it is late and of less value; sent as the remaining time
    std::optional<config::SuspectRequest> suspect; // what the caller's node knows of this request on the upstream's version
    std::optional<policy::CallerBaseline> baseline; // results of the version that a rollout replaces, as seen by the ingress; empty: no rollout or not known
};

struct CallEnd {
    std::optional<base::Error> error; // empty: the answer was complete
    std::optional<policy::Load> load; // of the owner, if known
    int64_t runMicros = 0; // run time at the upstream
    int64_t ownerMicros = 0; // from the call's arrival at the owner to its end there; 0: not known
    base::Duration usualRun {}; // recent run time of the route there over all callers; zero: not known
    std::optional<config::SuspectRequest> suspect; // with an error: what the owner knows of this request
};

constexpr uint64_t maxShortAnswerBytes = 16 * 1024; // of a body; larger answers are sent at the pace of the host's link

// Name of a request in the logs: the caller's request id, or else `own`, this process's number.
std::string requestLogName(const std::vector<http::HeaderField>& headers, const std::string& idHeader, uint64_t own);

// `head` is called before any `body`; `end` is called exactly once, last. None is called from within the function that
// starts the call.
struct CallHandler {
    std::function<void(const http::AnswerHead&)> head;
    std::function<void(evbuffer*)> body; // drains the buffer; consumed() is called when the bytes have been passed on
    std::function<void(const CallEnd&)> end;
    // With a large body: so many bytes more may be passed to appendBody(), at once or later. Not called before the call has a
    // slot, so that a refused call has cost no body.
    std::function<void(uint64_t bytes)> wantBody;
    // True: the answers that wait to be sent on take all memory that they may, and the upstream is not read on unless its
    // answer is short. Owner::readOn() ends it. Empty: never.
    std::function<bool()> isFull;
};

// Flow-control window, in each direction: body bytes that may be sent before the receiver has passed them on. Smaller request
// bodies are part of their call. Large enough for a
// delay of 1.5 ms at 1 Gbit/s, small enough that a hundred stalled callers hold 25 MB.
constexpr uint64_t bodyWindowBytes = 256 * 1024;

} // namespace appletally::node
