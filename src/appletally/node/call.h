// One call on its way from the caller's node to the upstream's own node, and what comes back.
//
// The same structs serve both ways: over a link to another node, and within the process where the upstream beside this
// node is the target. So what a caller gets does not depend on which way its call took.
#pragma once

#include "appletally/base/clock.h"
#include "appletally/base/ids.h"
#include "appletally/base/result.h"
#include "appletally/config/model.h"
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
    base::Time deadline; // on this process's clock; on the wire it is what remains
    base::CallerId caller;
    base::IdempotencyKey key; // empty: none
    base::AttemptId attempt;
    bool internal = false; // another service of the mesh calls
    base::ConfigVersion configVersion; // that the caller's node routed by
    uint8_t depth = 0; // how many calls stand above this one

    // What the caller's node knows of the route. It travels with the call, since the upstream's node may have started a
    // moment ago, or have another version in force, and must not take a caller's request for an unknown one.
    bool idempotent = false;
    config::Priority priority = config::Priority::Read;
    base::Duration expected { 20 }; // usual run at the upstream
    std::optional<base::Time> fullWorthBy; // as in policy::Arrival; on the wire it is what remains
    std::optional<policy::CallerBaseline> old; // how the version that a rollout moves away from does, as the caller's node sees it
};

struct CallEnd {
    std::optional<base::Error> error; // none: the answer was whole
    std::optional<policy::Load> load; // of the owner, where it could say
    int64_t runMicros = 0; // at the upstream
    base::Duration usualRun {}; // of the route there lately, over all callers; zero: not known
};

// Under which name the logs speak of a request: what its caller calls this send, or else what this process does.
std::string nameOf(const std::vector<http::HeaderField>& headers, const std::string& idHeader, uint64_t own);

// `end` comes once and last; `head` before any `body`. None is called from within the function that starts the call.
struct CallHandler {
    std::function<void(const http::AnswerHead&)> head;
    std::function<void(evbuffer*)> body; // takes all; then consumed() says when it has been passed on
    std::function<void(const CallEnd&)> end;
};

// Body bytes that may be on the way to the caller's node without having been passed on. Large enough for 1.5 ms of
// way at 1 Gbit/s, small enough that a hundred stalled callers hold 25 MB.
constexpr uint64_t bodyWindow = 256 * 1024;

} // namespace appletally::node
