// Converts between link messages and the structs of call.h. Conversion only, without decisions.
#pragma once

#include "appletally/inner/link.capnp.h"
#include "appletally/node/call.h"

namespace appletally::node {

// The deadline is sent as the remaining time, since the clocks of two hosts are not comparable.
void writeCall(inner::wire::Call::Builder, uint64_t id, const Call&, base::Time now);
Call readCall(inner::wire::Call::Reader, base::Time now);

void writeHead(inner::wire::AnswerHead::Builder, uint64_t id, const http::AnswerHead&);
http::AnswerHead readHead(inner::wire::AnswerHead::Reader);

void writeRefused(inner::wire::Refused::Builder, uint64_t id, const CallEnd&); // `end.error` must be set
CallEnd readRefused(inner::wire::Refused::Reader);

void writeLoad(inner::wire::Load::Builder, const policy::Load&);
policy::Load readLoad(inner::wire::Load::Reader);

} // namespace appletally::node
