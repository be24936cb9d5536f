// What callers see: headers of answers, and refusals as a small JSON object.
#pragma once

#include "appletally/http/caller_listener.h"
#include "appletally/http/upstream_client.h"
#include "appletally/node/dialect.h"

#include <string>
#include <vector>

namespace appletally::node {

// `notRun`: proven, of this send and of every earlier one with the same key. `stopsRetries`: the layer above must not
// try again, since this layer has done what can be done.
void replyError(http::CallerExchange&, const Dialect&, const base::Error&, bool notRun, bool stopsRetries);

// The upstream's headers without those that belong to one connection, and the result code.
std::vector<http::HeaderField> answerHeaders(const http::AnswerHead&);

int64_t numberIn(const std::string* text, int64_t fallback); // of a header; what is no number is passed over

} // namespace appletally::node
