// The operator's last request, stored next to the settings file. Running the same command again after a crash or a lost
// answer thereby resends the request instead of making a second one.
#pragma once

#include "appletally/base/result.h"
#include "appletally/config/commands.h"

#include <optional>
#include <string>

namespace appletally::ctl {

struct RequestFile {
    std::string path;
    base::RequestNumber last; // highest request number used
    std::optional<config::Command> pending; // sent, outcome unknown
};

// A missing file reads as an empty one. Fails with SettingsUnreadable, among others, if the file is invalid.
base::Result<RequestFile> readRequestFile(const std::string& path);

// Writes and syncs the file; call before the request is sent.
base::Result<void> writeRequestFile(const RequestFile&);

// Gives the command its request number. A command that equals the pending one except for number, base version and deadline
// becomes the pending one. `number` overrides (0: not given); with `baseGiven` the base versions must be equal too.
void numberRequest(RequestFile&, config::Command&, base::RequestNumber number, bool baseGiven);

} // namespace appletally::ctl
