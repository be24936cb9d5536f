// A proven connection to an inner port: connects, proves the key both ways, beats, and says when it is over.
#pragma once

#include "appletally/inner/cluster_key.h"
#include "appletally/inner/rpc_connection.h"
#include "appletally/inner/rpc_limits.h"

namespace appletally::inner {

struct RpcLink {
    std::unique_ptr<RpcConnection> connection;
    base::HostId peer; // as it proved
    base::Address address;
    rpc::Session::Client session = nullptr; // cast to the interface of the role
};

// Neither rejects. Errors: PeerGone (cannot be reached), PeerSilent (no connection within `limit`, no proof within proofLimit of the
// connection), WrongCluster, WrongKey (this side's or the peer's), or what the peer refuses with.
kj::Promise<base::Result<kj::Own<RpcLink>>> connect(kj::AsyncIoContext&, const Membership&, const base::Address&, rpc::Role, base::Duration limit = connectTimeout);
kj::Promise<base::Result<kj::Own<RpcLink>>> prove(kj::AsyncIoContext&, const Membership&, const base::Address&, rpc::Role, kj::Own<kj::AsyncIoStream>);

// The connection alone. Rejects.
kj::Promise<kj::Own<kj::AsyncIoStream>> dial(kj::AsyncIoContext&, const base::Address&, base::Duration limit);

// Resolves once the link is over, with why. The link must outlive the promise.
kj::Promise<base::Error> whenDisconnected(RpcLink&);

} // namespace appletally::inner
