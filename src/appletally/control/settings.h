// Settings of a control process: one JSON file, validated completely before the process starts. docs/OPERATING.md lists
// the keys.
#pragma once

#include "appletally/inner/cluster_key.h"

#include <string>
#include <vector>

namespace appletally::control {

// Only voters have a disk and a vote; relays receive content from voters and distribute it.
enum class ProcessRole : uint8_t { Voter,
    Relay };

struct ControlPeer {
    base::HostId host;
    base::Address address;
};

struct ControlSettings {
    inner::Membership membership;
    base::ZoneName zone;
    base::RegionName region;
    std::vector<base::ZoneName> zones; // availability zones of the mesh; empty: not known, and any may be evacuated
    ProcessRole role = ProcessRole::Voter;
    base::Address listen; // for nodes, other control processes and operators
    std::string data; // voters only: folder of the replicated log, formatted once
    std::vector<ControlPeer> voters; // all voters, including this process
    std::vector<ControlPeer> relays;

    // For a mesh without a fixed list of voters: each control process is identified by its listen address, and discovers
    // the others through the seeds and through processes that connect to it. A host that returns with an empty folder is
    // added again.
    std::vector<base::Address> seeds; // if not empty, voters and relays are ignored
    size_t maxVoters = 0; // 2 f + 1 voters tolerate f losses; 0: no limit
    bool firstStart = false; // first start of the whole mesh: the seeds are its first voters and must be the same in all settings
    bool claims = true; // false: no node keeps claims, since callers use a new key for each send

    // Admission of starting subscribers: each start sends a snapshot and reads from a majority of voters.
    int startsPerSecond = 200; // subscribers admitted per second
    int startBurst = 50; // subscribers admitted at the same moment
    size_t maxSubscribers = 1000; // 14 sources carry 2,500 nodes even with five of them down
    bool batching = true; // false: each change is sent at once; for measurements only
    base::Duration shutdownTimeout { 5000 }; // limit of a graceful shutdown
};

base::Result<ControlSettings> readControlSettings(const std::string& file);

} // namespace appletally::control
