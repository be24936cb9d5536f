// Decodes a command, answers resends from the table of outcomes, and runs its handler (state_change.h).
#include "appletally/config/state_machine.h"

#include "appletally/config/outcomes.h"
#include "appletally/config/state_change.h"

#include <algorithm>

namespace appletally::config {

using base::Code;

static Outcome runRequest(State& state, base::LogIndex index, const Command& command, const OperatorRequest& request)
{
    if (!nameIsValid(request.by.text) || request.number.value == 0)
        return refuse(state, Code::AnswersInvalid, "an operator needs a name, and numbers start at 1");
    const uint64_t hash = requestHash(command);
    if (auto answer = findStoredAnswer(state, request, hash))
        return *answer;
    const bool isStop = std::holds_alternative<StopRollout>(command);
    std::optional<Outcome> out = isStop ? std::nullopt : checkBase(state, request);
    if (!out)
        out = std::visit([&](const auto& it) { return run(state, index, it); }, command);
    out->text = sanitizedText(out->text);
    storeOutcome(state, request, hash, *out);
    return *out;
}

const Snapshot& current(const State& state) { return state.snapshot; }

Outcome apply(State& state, base::LogIndex index, const Command& command)
{
    if (index <= state.applied)
        return refuse(state, Code::VersionTooOld, "entry " + std::to_string(index.value) + " was applied before");
    state.applied = index;
    if (const OperatorRequest* request = requestOf(command))
        return runRequest(state, index, command, *request);
    return std::visit([&](const auto& it) { return run(state, index, it); }, command);
}

Outcome apply(State& state, base::LogIndex index, std::string_view commandBytes)
{
    auto command = decodeCommand(commandBytes);
    if (command)
        return apply(state, index, command.value());
    state.applied = std::max(state.applied, index);
    return refuse(state, command.error().code, command.error().text);
}

} // namespace appletally::config
