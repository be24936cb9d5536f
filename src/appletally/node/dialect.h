// Names of the HTTP header fields that callers, nodes and upstreams exchange.
//
// Other platforms use other names for the same fields. All other header fields are passed on unchanged.
#pragma once

#include <string>

namespace appletally::node {

struct Dialect {
    std::string timeLeft = "Appletally-Timeout-Ms"; // remaining time of the caller in ms; towards the upstream: time left for the run
    std::string caller = "Appletally-Caller"; // identity of the caller, for fair sharing of capacity
    std::string depth = "Appletally-Depth"; // number of enclosing calls; empty: not reported
    std::string notRun = "Appletally-Not-Run"; // on a refusal: the request has not run and will not run
    std::string limit = "Appletally-Limit"; // on an upstream's answer: the requests a second that it takes from all hosts
    std::string leaving = "Appletally-Leaving"; // on an upstream's answer: "1" if it takes no new requests
    std::string service; // overwritten with the service of the host where the request entered the mesh; empty: not set
    std::string requestId; // id of one send of a request, repeated by upstreams in the answer; empty: not used
    std::string sendId = "Appletally-Request-Id"; // id of one send, chosen by the owner; upstreams may repeat it in the answer. Empty: `requestId` serves for this
    std::string upstreamId; // id of the target upstream process, which refuses requests for another; empty: not set
    std::string completeAnswerHeader; // present on every complete answer of an upstream; a success without it is broken; empty: not checked
    bool allowContentCoding = true; // false: callers accept no content coding, so an answer with Content-Encoding did not come from the upstream
    bool fractionalRetryAfter = false; // Retry-After may have decimals
};

// Optional features of the call path. Callers that use a new id for every send never resend a key and never share an
// answer.
struct CallFeatures {
    bool sharedReads = true; // concurrent identical reads of one caller share a run
    bool hedges = true; // send a second copy of a late read
    bool claims = true; // keyed requests run at most once across all nodes
};

} // namespace appletally::node
