// One TCP connection that speaks Cap'n Proto RPC: counts bytes, notes why it ended, beats and watches for silence.
//
// A connection may go silent for good without either end being told, because something between them lost track of it.
// Calls on it would then wait for ever. Every byte read is a sign of life; a connection without one for rpcSilenceTimeout
// ends with PeerSilent, and whoever owns it makes a new one.
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

    // `bootstrap` is what the other side gets from its bootstrap(); a client has none.
    RpcConnection(kj::Timer&, kj::Own<kj::AsyncIoStream>, End, kj::Maybe<capnp::Capability::Client> bootstrap);
    ~RpcConnection();
    RpcConnection(const RpcConnection&) = delete;
    RpcConnection& operator=(const RpcConnection&) = delete;

    capnp::Capability::Client bootstrap(); // of the other side

    // Resolves once, with why: PeerGone, MessageMalformed, MessageTooLarge. Never rejects.
    kj::Promise<base::Error> ended();

    // Beats the peer until it is silent for too long; then resolves. Drop the promise to stop.
    kj::Promise<base::Error> beat(rpc::Pulse::Client peer);

    base::Duration silence() const; // since the last byte read
    uint64_t bytesIn() const;
    uint64_t bytesOut() const;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

// One line for a log, from what KJ throws.
std::string describe(const kj::Exception&);

} // namespace appletally::inner
