// The release rule and the evaluation of the answers to a booting node.
#include "appletally/consensus/released.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace appletally::consensus {

LogIndex releasedIndex(const Replica& r) { return r.released; }

// The newest members whose index is durably recorded as committed here.
static Members recordedMembers(const Replica& r)
{
    Members result = r.snapshot->meta.members;
    for (const Entry& it : r.entries)
        if (it.kind == EntryKind::MemberChange && it.index > result.index && it.index <= r.recordedCommit)
            result = { it.index, it.members };
    return result;
}

std::optional<BootAnswer> bootAnswer(const Replica& r)
{
    // With a snapshot that is not durable yet, the members recorded before it are unknown.
    if (r.snapshot->meta.index > r.recordedCommit)
        return {};
    BootAnswer answer { r.id, r.recordedCommit, recordedMembers(r) };
    const Member* self = findMember(answer.members, r.id);
    if (!self || self->role != Role::Voter)
        return {};
    return answer;
}

// Recorded commits of the voters among the newest members known to any answer, highest first; empty: no majority of
// them.
static std::vector<LogIndex> majorityCommits(std::span<const BootAnswer> answers, size_t& majority)
{
    std::map<ReplicaId, LogIndex> commits;
    const Members* newest = nullptr;
    for (const BootAnswer& it : answers) {
        commits[it.from] = std::max(commits[it.from], it.recordedCommit);
        if (!newest || it.members.index > newest->index)
            newest = &it.members;
    }
    size_t voters = 0;
    std::vector<LogIndex> out;
    for (const Member& it : newest ? newest->list : std::vector<Member> {}) {
        if (it.role != Role::Voter)
            continue;
        voters++;
        if (const auto found = commits.find(it.id); found != commits.end())
            out.push_back(found->second);
    }
    majority = voters / 2 + 1;
    if (out.size() < majority)
        return {};
    std::sort(out.begin(), out.end(), std::greater<> {});
    return out;
}

std::optional<LogIndex> minBootIndex(std::span<const BootAnswer> answers)
{
    size_t majority = 0;
    const std::vector<LogIndex> commits = majorityCommits(answers, majority);
    return commits.empty() ? std::nullopt : std::optional(commits.front());
}

std::optional<LogIndex> provenReleasedIndex(std::span<const BootAnswer> answers)
{
    size_t majority = 0;
    const std::vector<LogIndex> commits = majorityCommits(answers, majority);
    return commits.empty() ? std::nullopt : std::optional(commits[majority - 1]);
}

} // namespace appletally::consensus
