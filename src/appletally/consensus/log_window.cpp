// The part of the log that a replica holds in memory, and the members that it determines.
#include "appletally/consensus/core.h"

#include <algorithm>

namespace appletally::consensus::core {

LogIndex firstIndex(const Replica& r)
{
    return r.entries.empty() ? LogIndex { r.snapshot->meta.index.value + 1 } : r.entries.front().index;
}

std::optional<Term> termAt(const Replica& r, LogIndex index)
{
    if (index == r.snapshot->meta.index)
        return r.snapshot->meta.term;
    const LogIndex first = firstIndex(r);
    if (index < first || index > lastIndex(r))
        return {};
    return r.entries[index.value - first.value].term;
}

void append(Context& c, Entry entry)
{
    Replica& r = c.replica;
    if (entry.kind == EntryKind::MemberChange)
        r.members.push_back({ entry.index, entry.members });
    r.persist.entries.push_back(entry);
    r.entries.push_back(std::move(entry));
}

void truncateFrom(Context& c, LogIndex index)
{
    Replica& r = c.replica;
    while (!r.entries.empty() && r.entries.back().index >= index)
        r.entries.pop_back();
    while (!r.persist.entries.empty() && r.persist.entries.back().index >= index)
        r.persist.entries.pop_back();
    if (r.persist.truncateFrom.value == 0 || index < r.persist.truncateFrom)
        r.persist.truncateFrom = index;

    // Entries from here on, durable or in a pending write, are replaced.
    const LogIndex before { index.value - 1 };
    r.durableIndex = std::min(r.durableIndex, before);
    for (auto& [sequence, pending] : r.pendingPersists)
        pending.first = std::min(pending.first, before);
    rebuildMembers(r);
}

Members membersAt(const Replica& r, LogIndex index)
{
    Members result = r.snapshot->meta.members;
    for (const Entry& it : r.entries)
        if (it.kind == EntryKind::MemberChange && it.index > r.snapshot->meta.index && it.index <= index)
            result = { it.index, it.members };
    return result;
}

void rebuildMembers(Replica& r)
{
    r.members = { membersAt(r, r.commit) };
    for (const Entry& it : r.entries)
        if (it.kind == EntryKind::MemberChange && it.index > r.commit)
            r.members.push_back({ it.index, it.members });
}

void setCommit(Context& c, LogIndex index)
{
    Replica& r = c.replica;
    r.commit = index;
    r.state.commit = index;
    r.persist.stateChanged = true;
    while (r.members.size() > 1 && r.members[1].index <= index)
        r.members.erase(r.members.begin());
}

} // namespace appletally::consensus::core
