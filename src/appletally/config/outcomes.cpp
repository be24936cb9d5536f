// Stores and drops outcomes by the rule documented at OperatorRecord.
#include "appletally/config/outcomes.h"

#include <algorithm>

namespace appletally::config {

using base::Code;

namespace {

    Outcome refuse(const State& state, Code code, std::string text)
    {
        return { code, std::move(text), state.snapshot.version, {}, {} };
    }

    constexpr size_t maxOutcomeBytes = 500;

    void dropOldestNumber(OperatorRecord& record)
    {
        const auto oldest = record.outcomes.begin();
        record.forgotten = std::max(record.forgotten, oldest->first);
        record.outcomes.erase(oldest);
    }

    void dropOldestOperator(State& state)
    {
        const auto earlier = [](const auto& a, const auto& b) { return a.second.last < b.second.last; };
        const auto oldest = std::min_element(state.operators.begin(), state.operators.end(), earlier);
        state.operators.erase(oldest);
    }

} // namespace

const StoredOutcome* findOutcome(const State& state, const base::OperatorId& by, base::RequestNumber number)
{
    const auto record = state.operators.find(by);
    if (record == state.operators.end())
        return nullptr;
    const auto it = record->second.outcomes.find(number);
    return it == record->second.outcomes.end() ? nullptr : &it->second;
}

std::optional<Outcome> findStoredAnswer(const State& state, const OperatorRequest& request, uint64_t hash)
{
    if (const StoredOutcome* kept = findOutcome(state, request.by, request.number)) {
        if (kept->hash == hash)
            return kept->outcome;
        return refuse(state, Code::RequestNumberReused, "operator " + request.by.text + " used number " + std::to_string(request.number.value) + " for another request");
    }
    const auto record = state.operators.find(request.by);
    if (record != state.operators.end() && request.number <= record->second.forgotten)
        return refuse(state, Code::RequestNumberReused, "number " + std::to_string(request.number.value) + " is older than the outcomes that are kept; go on from a higher one");
    return {};
}

std::optional<Outcome> checkBase(const State& state, const OperatorRequest& request)
{
    if (request.base > state.snapshot.version)
        return refuse(state, Code::UnknownVersion, "version " + std::to_string(request.base.value) + " does not exist yet");
    return {};
}

std::string sanitizedText(const std::string& text)
{
    std::string out = text.substr(0, maxOutcomeBytes);
    std::replace_if(
        out.begin(), out.end(), [](unsigned char c) { return c < ' ' || c > '~'; }, '?');
    return out;
}

void storeOutcome(State& state, const OperatorRequest& request, uint64_t hash, const Outcome& outcome)
{
    if (!state.operators.contains(request.by) && state.operators.size() >= maxOperators)
        dropOldestOperator(state);
    OperatorRecord& record = state.operators[request.by];
    record.last = state.applied;
    record.outcomes[request.number] = { hash, outcome };
    if (record.outcomes.size() > maxOutcomesPerOperator)
        dropOldestNumber(record);
}

} // namespace appletally::config
