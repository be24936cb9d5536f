// Authentication at the inner ports, and handling of foreign, broken or silent peers.
#include "appletally/inner/rpc_link.h"
#include "appletally/inner/rpc_port.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace appletally;
using namespace appletally::inner;

namespace {

class PlainSession final : public rpc::Session::Server {
    kj::Promise<void> beat(BeatContext) override { return kj::READY_NOW; }
};

Membership member(const std::string& cluster, uint8_t keyByte)
{
    Membership out { { cluster }, {}, { "tester" } };
    out.key.bytes.fill(keyByte);
    return out;
}

// A port and its clients in one event loop. The clock is real, but each wait ends with an event, not after a fixed time.
struct PortFixture {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    RpcPort port { io, member("mesh", 1), [](rpc::Role, const base::HostId&) -> rpc::Session::Client { return kj::heap<PlainSession>(); } };
    base::Address address = port.listen({ "127.0.0.1", 0 }).value();

    base::Result<kj::Own<RpcLink>> link(const Membership& as) { return connect(io, as, address, rpc::Role::NODE).wait(io.waitScope); }

    kj::Own<kj::AsyncIoStream> raw()
    {
        auto parsed = io.provider->getNetwork().parseAddress(address.ip, address.port).wait(io.waitScope);
        return parsed->connect().wait(io.waitScope);
    }

    // Whether the port closes the connection.
    bool closes(kj::AsyncIoStream& stream)
    {
        char buf[4096];
        for (;;) {
            size_t n = 0;
            try {
                n = stream.tryRead(buf, 1, sizeof buf).wait(io.waitScope);
            } catch (const kj::Exception&) {
                return true; // reset
            }
            if (n == 0)
                return true;
        }
    }

    void works(RpcLink& link) { link.session.beatRequest().send().wait(io.waitScope); }
};

} // namespace

TEST_CASE("only members with the cluster's name and key are admitted, and each rejection names the cause", "[control][gate]")
{
    // Guards against a host that joins the wrong mesh: a host of the test mesh is configured with addresses of the real one.
    // Its operator must see which of the two settings is wrong.
    PortFixture it;
    auto good = it.link(member("mesh", 1));
    REQUIRE(good);
    CHECK(good.value()->peer.text == "tester");

    const auto otherCluster = it.link(member("other", 1));
    REQUIRE_FALSE(otherCluster);
    CHECK(otherCluster.error().code == base::Code::WrongCluster);
    const auto otherKey = it.link(member("mesh", 2));
    REQUIRE_FALSE(otherKey);
    CHECK(otherKey.error().code == base::Code::WrongKey);

    it.works(*good.value());
    CHECK(it.port.counters().authenticated == 1);
    CHECK(it.port.counters().wrongCluster == 1);
}

TEST_CASE("a client with a wrong key that ignores the server's proof still gets no session", "[control][gate]")
{
    // Guards against an unchecked client proof: a process without the key ignores the server's proof and sends an arbitrary
    // one. If accepted, it could submit configurations.
    PortFixture it;
    RpcConnection connection(it.io.provider->getTimer(), it.raw(), RpcConnection::End::Client, nullptr);
    auto gate = connection.bootstrap().castAs<rpc::Gate>();
    auto challenge = gate.challengeRequest();
    challenge.setCluster("mesh");
    challenge.setWho("guest");
    challenge.setNonce(kj::heapArray<kj::byte>(nonceBytes));
    REQUIRE(challenge.send().wait(it.io.waitScope).getFailure().getCode() == 0);
    auto enter = gate.enterRequest();
    enter.setProof(kj::heapArray<kj::byte>(macBytes));
    auto answer = enter.send().wait(it.io.waitScope);
    CHECK(answer.getFailure().getCode() == static_cast<uint16_t>(base::Code::WrongKey));
    CHECK_FALSE(answer.hasSession());
    CHECK(it.port.counters().wrongKey == 1);

    auto again = gate.enterRequest(); // a second guess on the same connection
    again.setProof(kj::heapArray<kj::byte>(macBytes));
    CHECK(again.send().wait(it.io.waitScope).getFailure().getCode() == static_cast<uint16_t>(base::Code::MessageMalformed));
    connection.ended().wait(it.io.waitScope);
    CHECK(it.port.counters().authenticated == 0);
}

TEST_CASE("invalid or oversized messages close only their own connection", "[control][gate]")
{
    // Guards against a crash or a large allocation: a port scanner, a browser or a broken peer sends bytes that are no
    // message, or announces a message of two gigabytes. Other links must not be affected.
    PortFixture it;
    auto good = it.link(member("mesh", 1));
    REQUIRE(good);

    struct Bad {
        std::string bytes;
        uint64_t PortCounters::*counter;
    };
    const std::string http = "GET / HTTP/1.1\r\nHost: a\r\n\r\n" + std::string(4096, 'x');
    const std::string tooManySegments("\xff\xff\xff\x7f\0\0\0\0", 8);
    const std::string tooLarge("\0\0\0\0\0\0\0\x10", 8); // one segment of 2 GiB
    const std::string noMessage = std::string("\0\0\0\0\1\0\0\0", 8) + std::string(8, '\xff'); // an invalid pointer
    const Bad bads[] = { { http, &PortCounters::tooLarge }, { tooManySegments, &PortCounters::tooLarge }, { tooLarge, &PortCounters::tooLarge }, { noMessage, nullptr } };
    for (const Bad& bad : bads) {
        const uint64_t before = bad.counter ? it.port.counters().*bad.counter : 0;
        auto stream = it.raw();
        stream->write(bad.bytes.data(), bad.bytes.size()).wait(it.io.waitScope);
        CHECK(it.closes(*stream));
        if (bad.counter)
            CHECK(it.port.counters().*bad.counter == before + 1);
    }
    it.works(*good.value());
}

TEST_CASE("a connection without authentication is closed after a timeout", "[control][gate]")
{
    // Guards against idle connections that hold file descriptors until no node can connect.
    PortFixture it;
    auto stream = it.raw();
    CHECK(it.closes(*stream));
    CHECK(it.port.counters().unauthenticated == 1);
    CHECK(it.link(member("mesh", 1)));
}

TEST_CASE("a link that goes silent permanently is closed by both sides", "[control][gate][silence]")
{
    // Guards against a node that waits for the next version for ever: a network device between two hosts loses its connection
    // state, and packets are dropped in both directions without a reset. The pipe below drops all bytes once `dropping` is
    // set.
    PortFixture it;
    auto listener = it.io.provider->getNetwork().parseAddress("127.0.0.1", 0).wait(it.io.waitScope)->listen();
    const base::Address middle { "127.0.0.1", static_cast<uint16_t>(listener->getPort()) };
    bool dropping = false;
    struct Pipe {
        kj::Own<kj::AsyncIoStream> from;
        kj::Own<kj::AsyncIoStream> to;
    };
    Pipe pipe { {}, it.raw() };
    std::function<kj::Promise<void>(kj::AsyncIoStream&, kj::AsyncIoStream&)> pass = [&](kj::AsyncIoStream& from, kj::AsyncIoStream& to) {
        auto buf = kj::heapArray<char>(4096);
        char* bytes = buf.begin();
        return from.tryRead(bytes, 1, buf.size()).then([&, bytes](size_t n) -> kj::Promise<void> {
                                                     if (n == 0)
                                                         return kj::READY_NOW;
                                                     return (dropping ? kj::Promise<void>(kj::READY_NOW) : to.write(bytes, n)).then([&] { return pass(from, to); });
                                                 })
            .attach(kj::mv(buf));
    };
    auto piping = listener->accept().then([&](kj::Own<kj::AsyncIoStream> stream) {
                                        pipe.from = kj::mv(stream);
                                        return pass(*pipe.from, *pipe.to).exclusiveJoin(pass(*pipe.to, *pipe.from));
                                    })
                      .eagerlyEvaluate([](kj::Exception&&) {});

    auto linked = connect(it.io, member("mesh", 1), middle, rpc::Role::NODE).wait(it.io.waitScope);
    REQUIRE(linked);
    it.works(*linked.value());
    auto over = whenDisconnected(*linked.value());
    dropping = true;
    const base::Time began = base::steadyNow();
    CHECK(over.wait(it.io.waitScope).code == base::Code::PeerTimedOut);
    CHECK(base::steadyNow() - began < rpcSilenceTimeout + rpcHeartbeatInterval * 3);
    while (it.port.counters().silent == 0)
        it.io.provider->getTimer().afterDelay(10 * kj::MILLISECONDS).wait(it.io.waitScope);
    CHECK(it.link(member("mesh", 1))); // a new connection works
}
