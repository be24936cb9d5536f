// The table of outcomes of operators' requests, from which resends are answered.
#pragma once

#include "appletally/config/state_machine.h"

#include <optional>

namespace appletally::config {

// The answer to a resend, a reused number or a number whose outcome was dropped, without running the request. Empty: the
// request is new.
std::optional<Outcome> findStoredAnswer(const State&, const OperatorRequest&, uint64_t hash);

// Refuses a base version that does not exist yet. Empty: valid.
std::optional<Outcome> checkBase(const State&, const OperatorRequest&);

// Printable ASCII, at most 500 bytes. The text may quote an operator's input: thousands of unlimited texts would fill the
// log's snapshots, and a text truncated within a multi-byte character would be decoded to other bytes.
std::string sanitizedText(const std::string&);

void storeOutcome(State&, const OperatorRequest&, uint64_t hash, const Outcome&);

} // namespace appletally::config
