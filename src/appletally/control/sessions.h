// RPC sessions: the methods that an authenticated peer of each role may call on a control process.
#pragma once

#include "appletally/base/ids.h"
#include "appletally/inner/control.capnp.h"

namespace appletally::control {

class ControlProcess;

inner::rpc::Session::Client makeSession(ControlProcess&, inner::rpc::Role, const base::HostId& host);

} // namespace appletally::control
