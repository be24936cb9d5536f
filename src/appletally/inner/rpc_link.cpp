// The client side of the Gate.
#include "appletally/inner/rpc_link.h"

#include "appletally/inner/rpc_limits.h"
#include "appletally/inner/rpc_wire.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace appletally::inner {

namespace {

    // Answers the heartbeats of the listening side.
    class PulseServer final : public rpc::Pulse::Server {
        kj::Promise<void> beat(BeatContext) override { return kj::READY_NOW; }
    };

    // A handshake in progress. Owned by the promise chain of authenticate().
    struct Handshake {
        Membership membership;
        base::Address address;
        rpc::Role role;
        Nonce client = generateNonce();
        Nonce server {};
        kj::Own<RpcLink> link = kj::heap<RpcLink>();
        rpc::Gate::Client gate = nullptr;
    };

    using Outcome = base::Result<kj::Own<RpcLink>>;

    kj::Promise<Outcome> enter(Handshake& it)
    {
        const std::string who = it.membership.host.text + "/" + std::to_string(static_cast<int>(it.role));
        auto request = it.gate.enterRequest();
        request.setProof(toData(makeProof(it.membership, Side::Client, it.client, it.server, who)));
        request.setBack(kj::heap<PulseServer>());
        return request.send().then([&it](auto&& answer) -> Outcome {
            if (failed(answer.getFailure()))
                return read(answer.getFailure());
            it.link->session = answer.getSession();
            return kj::mv(it.link);
        });
    }

    kj::Promise<Outcome> startHandshake(Handshake& it)
    {
        it.gate = it.link->connection->bootstrap().castAs<rpc::Gate>();
        auto request = it.gate.challengeRequest();
        request.setCluster(it.membership.cluster.text);
        request.setWho(it.membership.host.text);
        request.setRole(it.role);
        request.setNonce(toData(it.client));
        return request.send().then([&it](auto&& answer) -> kj::Promise<Outcome> {
            if (failed(answer.getFailure()))
                return Outcome(read(answer.getFailure()));
            it.link->peer.text = text(answer.getWho());
            Mac proof;
            const bool verified = take(answer.getNonce(), it.server) && take(answer.getProof(), proof)
                && verifyProof(it.membership, Side::Server, it.client, it.server, it.link->peer.text, proof);
            if (!verified)
                return Outcome(base::fail(base::Code::WrongKey, it.address.text() + " failed to prove the cluster key"));
            return enter(it);
        });
    }

} // namespace

kj::Promise<kj::Own<kj::AsyncIoStream>> dial(kj::AsyncIoContext& io, const base::Address& address, base::Duration limit)
{
    kj::Timer& timer = io.provider->getTimer();
    return io.provider->getNetwork().parseAddress(address.ip, address.port).then([&timer, limit](kj::Own<kj::NetworkAddress> parsed) {
        auto connecting = parsed->connect();
        return timer.timeoutAfter(limit.ms * kj::MILLISECONDS, connecting.attach(kj::mv(parsed)));
    });
}

kj::Promise<base::Result<kj::Own<RpcLink>>> authenticate(kj::AsyncIoContext& io, const Membership& membership, const base::Address& address, rpc::Role role, kj::Own<kj::AsyncIoStream> stream)
{
    kj::Timer& timer = io.provider->getTimer();
    auto handshake = kj::heap<Handshake>(Handshake { membership, address, role });
    Handshake& it = *handshake;
    const int one = 1;
    stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    it.link->address = address;
    it.link->connection = std::make_unique<RpcConnection>(timer, kj::mv(stream), RpcConnection::End::Client, nullptr);
    return startHandshake(it)
        .exclusiveJoin(timer.afterDelay(authenticationTimeout.ms * kj::MILLISECONDS).then([address]() -> Outcome {
            return base::fail(base::Code::PeerTimedOut, address.text() + " did not authenticate within " + std::to_string(authenticationTimeout.ms) + " ms");
        }))
        .catch_([address](kj::Exception&& problem) -> Outcome { return base::fail(base::Code::PeerGone, address.text() + ": " + describe(problem)); })
        .attach(kj::mv(handshake));
}

kj::Promise<base::Result<kj::Own<RpcLink>>> connect(kj::AsyncIoContext& io, const Membership& membership, const base::Address& address, rpc::Role role, base::Duration limit)
{
    return dial(io, address, limit)
        .then([&io, membership, address, role](kj::Own<kj::AsyncIoStream> stream) { return authenticate(io, membership, address, role, kj::mv(stream)); })
        .catch_([address](kj::Exception&& problem) -> Outcome { return base::fail(base::Code::PeerGone, address.text() + ": " + describe(problem)); });
}

kj::Promise<base::Error> whenDisconnected(RpcLink& link)
{
    return link.connection->ended().exclusiveJoin(link.connection->runHeartbeat(link.session));
}

} // namespace appletally::inner
