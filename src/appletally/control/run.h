// The life of a control process: format, check, run until a signal.
#pragma once

#include "appletally/control/settings.h"

#include <functional>
#include <kj/async-io.h>

namespace appletally::control {

// Makes the data folder, once. `first`: this replica begins the mesh's log alone; the others are formatted without it
// and are let in by the first. Two first ones would be two meshes that know nothing of each other.
base::Result<void> formatFolder(const ControlSettings&, bool first);

class ControlProcess;

// A port beside the process's own, for operators who speak another protocol. Lives as long as the process runs.
class ExtraPort {
public:
    virtual ~ExtraPort() noexcept(false) = default; // as KJ has it
    virtual void stopListening() = 0; // what is under way goes on
};
using MakePort = std::function<base::Result<std::unique_ptr<ExtraPort>>(kj::AsyncIoContext&, ControlProcess&)>;

// Until SIGTERM or SIGINT, then at most stopBound; a second signal ends the process at once. `makePort` may be empty.
base::Result<void> run(const ControlSettings&, const MakePort& makePort = {});

} // namespace appletally::control
