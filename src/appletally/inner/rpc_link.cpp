// The connecting side of the Gate.
#include "appletally/inner/rpc_link.h"

#include "appletally/inner/rpc_limits.h"
#include "appletally/inner/rpc_wire.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace appletally::inner {

namespace {

    // What the listening side beats.
    class PulseServer final : public rpc::Pulse::Server {
        kj::Promise<void> beat(BeatContext) override { return kj::READY_NOW; }
    };

    // A greeting under way. Owned by the promise chain of connect().
    struct Greeting {
        Membership membership;
        base::Address address;
        rpc::Role role;
        Nonce client = freshNonce();
        Nonce server {};
        kj::Own<RpcLink> link = kj::heap<RpcLink>();
        rpc::Gate::Client gate = nullptr;
    };

    using Outcome = base::Result<kj::Own<RpcLink>>;

    kj::Promise<Outcome> enter(Greeting& it)
    {
        const std::string who = it.membership.host.text + "/" + std::to_string(static_cast<int>(it.role));
        auto ask = it.gate.enterRequest();
        ask.setProof(toData(prove(it.membership, Side::Client, it.client, it.server, who)));
        ask.setBack(kj::heap<PulseServer>());
        return ask.send().then([&it](auto&& answer) -> Outcome {
            if (failed(answer.getFailure()))
                return read(answer.getFailure());
            it.link->session = answer.getSession();
            return kj::mv(it.link);
        });
    }

    kj::Promise<Outcome> greet(Greeting& it)
    {
        it.gate = it.link->connection->bootstrap().castAs<rpc::Gate>();
        auto ask = it.gate.challengeRequest();
        ask.setCluster(it.membership.cluster.text);
        ask.setWho(it.membership.host.text);
        ask.setRole(it.role);
        ask.setNonce(toData(it.client));
        return ask.send().then([&it](auto&& answer) -> kj::Promise<Outcome> {
            if (failed(answer.getFailure()))
                return Outcome(read(answer.getFailure()));
            it.link->peer.text = text(answer.getWho());
            Mac proof;
            const bool proven = take(answer.getNonce(), it.server) && take(answer.getProof(), proof)
                && holds(it.membership, Side::Server, it.client, it.server, it.link->peer.text, proof);
            if (!proven)
                return Outcome(base::fail(base::Code::WrongKey, it.address.text() + " does not hold the cluster's key"));
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

kj::Promise<base::Result<kj::Own<RpcLink>>> prove(kj::AsyncIoContext& io, const Membership& membership, const base::Address& address, rpc::Role role, kj::Own<kj::AsyncIoStream> stream)
{
    kj::Timer& timer = io.provider->getTimer();
    auto greeting = kj::heap<Greeting>(Greeting { membership, address, role });
    Greeting& it = *greeting;
    const int one = 1;
    stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    it.link->address = address;
    it.link->connection = std::make_unique<RpcConnection>(timer, kj::mv(stream), RpcConnection::End::Client, nullptr);
    return greet(it)
        .exclusiveJoin(timer.afterDelay(proofLimit.ms * kj::MILLISECONDS).then([address]() -> Outcome {
            return base::fail(base::Code::PeerSilent, address.text() + " did not prove itself within " + std::to_string(proofLimit.ms) + " ms");
        }))
        .catch_([address](kj::Exception&& problem) -> Outcome { return base::fail(base::Code::PeerGone, address.text() + ": " + describe(problem)); })
        .attach(kj::mv(greeting));
}

kj::Promise<base::Result<kj::Own<RpcLink>>> connect(kj::AsyncIoContext& io, const Membership& membership, const base::Address& address, rpc::Role role, base::Duration limit)
{
    return dial(io, address, limit)
        .then([&io, membership, address, role](kj::Own<kj::AsyncIoStream> stream) { return prove(io, membership, address, role, kj::mv(stream)); })
        .catch_([address](kj::Exception&& problem) -> Outcome { return base::fail(base::Code::PeerGone, address.text() + ": " + describe(problem)); });
}

kj::Promise<base::Error> whenDisconnected(RpcLink& link)
{
    return link.connection->ended().exclusiveJoin(link.connection->beat(link.session));
}

} // namespace appletally::inner
