// Formats the data folder of a control process, and runs the process until a signal.
#pragma once

#include "appletally/control/settings.h"

#include <functional>
#include <kj/async-io.h>

namespace appletally::control {

// Creates the data folder; to be called once. `first`: this replica is the only initial member of the log. Format all
// others without it; the first one adds them. Two replicas formatted with `first` would form two separate meshes.
base::Result<void> formatFolder(const ControlSettings&, bool first);

class ControlProcess;

// Additional port for operators with another protocol. Exists as long as the process runs.
class ExtraPort {
public:
    virtual ~ExtraPort() noexcept(false) = default; // as in KJ, whose destructors may throw
    virtual void stopListening() = 0; // requests in progress continue
};
using MakePort = std::function<base::Result<std::unique_ptr<ExtraPort>>(kj::AsyncIoContext&, ControlProcess&)>;

// Runs until SIGTERM or SIGINT, then waits for pending changes for at most shutdownTimeout. A second signal ends the
// process at once. `makePort` may be empty.
base::Result<void> run(const ControlSettings&, const MakePort& makePort = {});

} // namespace appletally::control
