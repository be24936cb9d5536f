// The client side of an inner port: connects, authenticates both sides, sends heartbeats and reports the disconnect.
#pragma once

#include "appletally/inner/cluster_key.h"
#include "appletally/inner/rpc_connection.h"
#include "appletally/inner/rpc_limits.h"

namespace appletally::inner {

struct RpcLink {
    std::unique_ptr<RpcConnection> connection;
    base::HostId peer; // authenticated host id
    base::Address address;
    rpc::Session::Client session = nullptr; // cast it to the interface of the role
};

// Neither promise rejects. Errors: PeerGone (not reachable, or not connected within `limit`), PeerTimedOut (not authenticated
// within authenticationTimeout of the connection), WrongCluster, WrongKey (this side's or the peer's), or the peer's own
// failure.
kj::Promise<base::Result<kj::Own<RpcLink>>> connect(kj::AsyncIoContext&, const Membership&, const base::Address&, rpc::Role, base::Duration limit = connectTimeout);
kj::Promise<base::Result<kj::Own<RpcLink>>> authenticate(kj::AsyncIoContext&, const Membership&, const base::Address&, rpc::Role, kj::Own<kj::AsyncIoStream>);

// Opens the TCP connection only. Rejects on failure.
kj::Promise<kj::Own<kj::AsyncIoStream>> dial(kj::AsyncIoContext&, const base::Address&, base::Duration limit);

// Resolves with the reason when the link has ended. The link must outlive the promise.
kj::Promise<base::Error> whenDisconnected(RpcLink&);

} // namespace appletally::inner
