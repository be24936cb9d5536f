// Memory for the answers of pipelined requests; see answer_memory.h.
#include "appletally/policy/answer_memory.h"

namespace appletally::policy {

static bool hasRoom(const AnswerMemory& it, uint64_t answerBytes, uint64_t limit)
{
    return it.kept < limit && it.kept + it.expected + answerBytes <= limit;
}

bool hasRoomBehindOthers(const AnswerMemory& connection, const AnswerMemory& process, uint64_t answerBytes, uint64_t processLimit)
{
    return hasRoom(connection, answerBytes, processLimit / callersPerAnswerMemory) && hasRoom(process, answerBytes, processLimit);
}

} // namespace appletally::policy
