// Settings of a control process: one JSON file, checked whole before anything starts. docs/OPERATING.md lists the keys.
#pragma once

#include "appletally/inner/cluster_key.h"

#include <string>
#include <vector>

namespace appletally::control {

// Only voters have a disk and a vote; relays take content from voters and fan it out.
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
    ProcessRole role = ProcessRole::Voter;
    base::Address listen; // nodes, other control processes and operators all come here
    std::string data; // voter: folder of the replicated log, formatted once
    std::vector<ControlPeer> voters; // all of them, this one included
    std::vector<ControlPeer> relays;

    // Without a fixed list of voters: each control process is known by the address at which it listens, and finds the
    // others through these and through whoever it meets. A host that comes back with an empty folder is let in again.
    std::vector<base::Address> seeds; // not empty: voters and relays are not looked at
    size_t maxVoters = 0; // limit on the voters; 2 f + 1 voters tolerate f losses; 0: no limit
    bool firstStart = false; // the whole mesh starts for the first time: the seeds, the same everywhere, are its first voters
    bool claims = true; // false: no node keeps claims, since callers name each send anew

    // The source says no to more than it can bring up: each start sends a snapshot and reads from a majority of voters.
    int startsPerSecond = 200; // subscribers let in
    int startsAtOnce = 50; // that it takes at one moment
    size_t mostSubscribers = 1000; // 14 sources carry 2,500 nodes with five of them gone
    bool batching = true; // false: each change leaves at once, for measurements only
    base::Duration stopBound { 5000 }; // a graceful stop takes no longer
};

base::Result<ControlSettings> readControlSettings(const std::string& file);

} // namespace appletally::control
