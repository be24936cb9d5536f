// What an upstream says of itself in the header fields of its answers: the rate of requests that it takes, and that it
// leaves.
//
// A field that cannot be read (not a number, empty, or present more than once) counts as not said and not as taken back:
// the state before it stays. Callers of readNotices() log and count it.
#pragma once

#include "appletally/http/header.h"
#include "appletally/node/dialect.h"

#include <optional>
#include <string>
#include <vector>

namespace appletally::node {

struct UpstreamNotices {
    std::optional<double> limit; // requests a second from all hosts together; empty: none named
    bool leaving = false;
    bool limitUnreadable = false;
    bool leavingUnreadable = false;
};

UpstreamNotices readNotices(const std::vector<http::HeaderField>&, const Dialect&);

} // namespace appletally::node
