// Decides whether a caller's request may start while the answers in front of it are not delivered.
//
// Load pattern: callers that send many reads on one connection and do not read the answers, or read them slowly. Each answer
// is kept until it is the first in line and its caller has read it; a hundred such callers would take a process over its
// memory limit, and all requests that it has passed on would be lost with it. The size of an answer is not known when its
// request starts, so a request counts for the largest answer that is kept whole until its answer begins.
#pragma once

#include <cstdint>

namespace appletally::policy {

// Of one connection, or of all connections of a process.
struct AnswerMemory {
    uint64_t kept = 0; // bytes of answers that wait behind others, or for their callers to read them
    uint64_t expected = 0; // bytes that requests which were started behind others may add
};

// One caller may use this part of the memory for all.
constexpr uint64_t callersPerAnswerMemory = 8;

// Whether a further request with an answer of up to `answerBytes` may start behind others. The first request of a connection
// needs no room: it replaces the answer before it, which its caller has read.
bool hasRoomBehindOthers(const AnswerMemory& connection, const AnswerMemory& process, uint64_t answerBytes, uint64_t processLimit);

} // namespace appletally::policy
