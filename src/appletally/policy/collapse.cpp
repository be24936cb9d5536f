// Bookkeeping of shared runs; see collapse.h.
#include "appletally/policy/collapse.h"

namespace appletally::policy {

bool join(Collapse& it, const ReadKey& key, RequestId id)
{
    const auto [at, fresh] = it.sharedRuns.try_emplace(key, Collapse::SharedRun { id, {} });
    at->second.waiters.push_back(id);
    it.keyByRequest[id] = key;
    return fresh;
}

std::vector<RequestId> ended(Collapse& it, RequestId run)
{
    const auto known = it.keyByRequest.find(run);
    if (known == it.keyByRequest.end())
        return {};
    const auto at = it.sharedRuns.find(known->second);
    if (at == it.sharedRuns.end() || at->second.run != run)
        return {};
    std::vector<RequestId> waiters = std::move(at->second.waiters);
    it.sharedRuns.erase(at);
    it.keyByRequest.erase(known);
    for (const RequestId id : waiters)
        it.keyByRequest.erase(id);
    return waiters;
}

std::optional<RequestId> leave(Collapse& it, RequestId id)
{
    const auto known = it.keyByRequest.find(id);
    if (known == it.keyByRequest.end())
        return std::nullopt;
    const auto at = it.sharedRuns.find(known->second);
    std::erase(at->second.waiters, id);
    const RequestId run = at->second.run;
    if (at->second.waiters.empty()) {
        it.sharedRuns.erase(at);
        it.keyByRequest.erase(run);
        it.keyByRequest.erase(id);
        return run;
    }
    if (id != run)
        it.keyByRequest.erase(known);
    return std::nullopt;
}

} // namespace appletally::policy
