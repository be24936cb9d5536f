// The names of the header fields by which callers, nodes and upstreams tell each other what a request needs.
//
// Other platforms have names of their own for the same things. Everything else in a head is passed on as it came.
#pragma once

#include <string>

namespace appletally::node {

struct Dialect {
    std::string timeLeft = "Appletally-Timeout-Ms"; // milliseconds that the caller still waits; to the upstream: that it has
    std::string caller = "Appletally-Caller"; // who calls, so that callers share what there is
    std::string depth = "Appletally-Depth"; // how many calls stand above this one; empty: not told
    std::string notRun = "Appletally-Not-Run"; // on a refusal: the request has not run and never will
    std::string service; // set to the service of the host where a request began, whatever was sent; empty: not set
    std::string requestId; // names one send of a request; upstreams repeat it; empty: not used
    std::string upstreamId; // names the upstream process that is meant, which refuses what is meant for another; empty: not set
    std::string completeAnswerHeader; // an upstream puts it on every whole answer; a success without it is a broken one; empty: not checked
    bool allowContentCoding = true; // false: callers ask for none, so a body in a content coding is not the upstream's
    bool fractionalRetryAfter = false; // Retry-After may have a fraction
};

// What of the call path is used. Callers who name each send anew never resend a key and never share an answer.
struct CallFeatures {
    bool sharedReads = true; // identical reads of one caller share a run
    bool hedges = true; // a second copy of a late read
    bool claims = true; // keyed requests run at most once over all nodes
};

} // namespace appletally::node
