// One TCP connection with Cap'n Proto RPC: counts bytes, records why it ended, sends heartbeats and detects silence.
//
// A connection can stop delivering data for good without an error at either end, because a device between them lost its
// state. Calls on it would then never complete. Every byte read counts as a sign of life; a connection that reads none
// for rpcSilenceTimeout ends with PeerTimedOut, and its owner opens a new one.
#pragma once

#include "appletally/base/result.h"
#include "appletally/inner/control.capnp.h"
#include "appletally/inner/rpc_limits.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <memory>

namespace appletally::inner {

class RpcConnection {
public:
    enum class End { Client,
        Server };

    // `bootstrap` is the capability that the peer's bootstrap() returns; clients pass none.
    RpcConnection(kj::Timer&, kj::Own<kj::AsyncIoStream>, End, kj::Maybe<capnp::Capability::Client> bootstrap);
    ~RpcConnection();
    RpcConnection(const RpcConnection&) = delete;
    RpcConnection& operator=(const RpcConnection&) = delete;

    capnp::Capability::Client bootstrap(); // of the peer

    // Resolves once, with the reason: PeerGone, MessageMalformed, MessageTooLarge. Never rejects.
    kj::Promise<base::Error> ended();

    // Sends heartbeats until the peer has been silent for rpcSilenceTimeout, then resolves. Drop the promise to stop.
    kj::Promise<base::Error> runHeartbeat(rpc::Pulse::Client peer);

    base::Duration silence() const; // since the last byte read
    uint64_t bytesIn() const;
    uint64_t bytesOut() const;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

// The exception's description, as one line for the log.
std::string describe(const kj::Exception&);

} // namespace appletally::inner
