// Recognizes the same request in another attempt, from another caller and at another node.
//
// Ids, deadlines and headers differ between attempts and callers, so only service, method, target and body count. Bodies
// are hashed, not kept.
#pragma once

#include "appletally/base/ids.h"
#include "appletally/node/call.h"

#include <string>

namespace appletally::node {

base::RequestDigest digestOf(const Call&); // before the body is moved out of the call
std::string digestText(base::RequestDigest); // 16 hexadecimal digits, for logs

} // namespace appletally::node
