// Words of voters to a starting node, for the tests of what it applies.
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

// The words heard since the node began, and the floor as soon as they prove one.
struct BootWords {
    std::vector<consensus::BootAnswer> heard;

    void hear(config::AppliedConfig& node, const consensus::BootAnswer& word)
    {
        heard.push_back(word);
        if (const auto floor = consensus::provenBoot(heard))
            config::raiseMinVersion(node, { floor->value });
    }
};

} // namespace appletally::tests
