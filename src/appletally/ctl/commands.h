// The commands of appletallyctl. Each prints text, or JSON with --json.
#pragma once

#include "appletally/ctl/settings.h"

#include <string>
#include <vector>

namespace appletally::ctl {

struct CommandLine {
    std::vector<std::string> arguments; // command and its arguments
    base::RequestNumber request; // 0: the next number of the request file
    base::ConfigVersion base; // 0: the current version when the command starts
    std::string from; // rollout start: the old version; empty: the version that has the traffic
    std::string reason; // rollout stop; stored in the history
    bool json = false;
};

std::string usage();

// Runs one command; the error determines the exit code.
base::Result<void> runCommand(const CtlSettings&, const CommandLine&);

} // namespace appletally::ctl
