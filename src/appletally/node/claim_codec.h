// Encodes and decodes claim messages between nodes with Cap'n Proto. Conversion only; the protocol is implemented in policy/.
#pragma once

#include "appletally/base/result.h"
#include "appletally/policy/claim_keeper.h"

#include <string>
#include <variant>

namespace appletally::node {

using ClaimMessage = std::variant<policy::ClaimRequest, policy::ClaimFinish, policy::ClaimRelease, policy::ClaimAnswer, policy::ClaimAck,
    policy::CatchUpRequest, policy::CatchUpAnswer>;

std::string encodeClaim(const ClaimMessage&);
base::Result<ClaimMessage> decodeClaim(const std::string& bytes); // MessageMalformed

} // namespace appletally::node
