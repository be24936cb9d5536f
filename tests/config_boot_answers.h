// Test helpers: the answers of voters to a starting node.
#pragma once

#include "appletally/config/applied.h"
#include "appletally/consensus/released.h"

#include <initializer_list>
#include <vector>

namespace appletally::tests {

inline consensus::Members votersOf(std::initializer_list<uint64_t> ids, uint64_t agreedAt)
{
    consensus::Members out;
    out.index = { agreedAt };
    for (const uint64_t id : ids)
        out.list.push_back({ { id }, {}, consensus::Role::Voter, {} });
    return out;
}

// Collects the answers that a node received since it started, and raises its minimum version once they prove one.
struct BootAnswers {
    std::vector<consensus::BootAnswer> answers;

    void receive(config::AppliedConfig& appliedConfig, const consensus::BootAnswer& answer)
    {
        answers.push_back(answer);
        if (const auto version = consensus::minBootIndex(answers))
            config::raiseMinVersion(appliedConfig, { version->value });
    }
};

} // namespace appletally::tests
