// The table of outcomes of operators' requests: what is kept, what is repeated, what is forgotten.
#pragma once

#include "appletally/config/state_machine.h"

#include <optional>

namespace appletally::config {

// The answer without running anything: a resend, a reused number, or a number that is forgotten. Empty: it is fresh.
std::optional<Outcome> answerFromTable(const State&, const OperatorRequest&, uint64_t hash);

// Refuses a base above what exists. Empty: fine.
std::optional<Outcome> checkBase(const State&, const OperatorRequest&);

// Printable ASCII and at most 500 bytes. The text may quote what an operator sent; kept whole and by the thousand it
// would fill the log's snapshots, and cut within a character it would come back from one as other bytes.
std::string sanitizedText(const std::string&);

void keepOutcome(State&, const OperatorRequest&, uint64_t hash, const Outcome&);

} // namespace appletally::config
