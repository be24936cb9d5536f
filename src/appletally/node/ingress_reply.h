// Formats answers to callers: headers of forwarded answers, and errors as a small JSON object.
#pragma once

#include "appletally/http/caller_listener.h"
#include "appletally/http/upstream_client.h"
#include "appletally/node/dialect.h"

#include <string>
#include <vector>

namespace appletally::node {

// `notRun`: proven for this send and for every earlier one with the same key. `stopsRetries`: the layer above must not
// retry, since this layer has already made all useful attempts.
void replyError(http::CallerExchange&, const Dialect&, const base::Error&, bool notRun, bool stopsRetries);

// The upstream's headers without hop-by-hop fields, with the result code added.
std::vector<http::HeaderField> answerHeaders(const http::AnswerHead&);

int64_t headerNumber(const std::string* text, int64_t fallback); // value of a header field; `fallback` if it is missing or not a number

} // namespace appletally::node
