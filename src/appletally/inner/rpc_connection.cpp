// A Cap'n Proto connection that is watched; see the header.
#include "appletally/inner/rpc_connection.h"

#include <capnp/serialize-async.h>

namespace appletally::inner {

namespace {

    // Passes bytes through and counts them.
    class CountedStream final : public kj::AsyncIoStream {
    public:
        explicit CountedStream(kj::Own<kj::AsyncIoStream> inner)
            : m_inner(kj::mv(inner))
        {
        }

        kj::Promise<size_t> tryRead(void* buf, size_t least, size_t most) override
        {
            // Asked for one byte at least, so that each piece of a long message shows life and not only its end.
            return m_inner->tryRead(buf, 1, most).then([this, buf, least, most](size_t n) -> kj::Promise<size_t> {
                in += n;
                lastRead = base::steadyNow();
                if (n == 0 || n >= least)
                    return n;
                return tryRead(static_cast<char*>(buf) + n, least - n, most - n).then([n](size_t rest) { return n + rest; });
            });
        }

        kj::Promise<void> write(const void* buf, size_t size) override
        {
            out += size;
            return m_inner->write(buf, size);
        }

        kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
        {
            for (const auto& it : pieces)
                out += it.size();
            return m_inner->write(pieces);
        }

        kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
        void shutdownWrite() override { m_inner->shutdownWrite(); }
        void abortRead() override { m_inner->abortRead(); }
        void getsockopt(int level, int option, void* value, kj::uint* n) override { m_inner->getsockopt(level, option, value, n); }

        uint64_t in = 0;
        uint64_t out = 0;
        base::Time lastRead = base::steadyNow();

    private:
        kj::Own<kj::AsyncIoStream> m_inner;
    };

    base::Error whyUnreadable(const kj::Exception& problem)
    {
        const std::string text = describe(problem);
        if (problem.getType() == kj::Exception::Type::DISCONNECTED)
            return base::fail(base::Code::PeerGone, text);
        const bool large = text.find("too large") != std::string::npos || text.find("too many segments") != std::string::npos;
        return base::fail(large ? base::Code::MessageTooLarge : base::Code::MessageMalformed, text);
    }

    // The RPC system only passes on that a connection broke; this one keeps the reason for the counters and the log.
    class ExplainedMessages final : public capnp::MessageStream {
    public:
        explicit ExplainedMessages(kj::AsyncIoStream& stream)
            : m_inner(stream)
        {
        }

        using capnp::MessageStream::tryReadMessage;
        kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
            kj::ArrayPtr<kj::AutoCloseFd> fds, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratch) override
        {
            return m_inner.tryReadMessage(fds, options, scratch)
                .catch_([this](kj::Exception&& problem) -> kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> {
                    *why = whyUnreadable(problem);
                    return kj::mv(problem);
                });
        }

        kj::Promise<void> writeMessage(
            kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override
        {
            return m_inner.writeMessage(fds, segments);
        }

        kj::Promise<void> writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override
        {
            return m_inner.writeMessages(messages);
        }

        kj::Maybe<int> getSendBufferSize() override { return m_inner.getSendBufferSize(); }
        kj::Promise<void> end() override { return m_inner.end(); }

        // Shared, because whoever waits for the end hears of it also when the connection itself is gone already.
        std::shared_ptr<base::Error> why = std::make_shared<base::Error>(base::fail(base::Code::PeerGone, "closed"));

    private:
        capnp::AsyncIoMessageStream m_inner;
    };

    capnp::ReaderOptions readerOptions()
    {
        capnp::ReaderOptions out;
        out.traversalLimitInWords = mostMessageBytes / sizeof(capnp::word);
        return out;
    }

    capnp::rpc::twoparty::Side sideOf(RpcConnection::End end)
    {
        return end == RpcConnection::End::Client ? capnp::rpc::twoparty::Side::CLIENT : capnp::rpc::twoparty::Side::SERVER;
    }

} // namespace

std::string describe(const kj::Exception& problem) { return { problem.getDescription().begin(), problem.getDescription().end() }; }

struct RpcConnection::Parts {
    Parts(kj::Timer& timer, kj::Own<kj::AsyncIoStream> stream, End end, kj::Maybe<capnp::Capability::Client> bootstrap)
        : timer(timer)
        , counted(kj::mv(stream))
        , messages(counted)
        , network(messages, sideOf(end), readerOptions())
        , rpc(network, kj::mv(bootstrap))
    {
        rpc.setFlowLimit(mostPendingBytes / sizeof(capnp::word));
    }

    kj::Promise<base::Error> beat(rpc::Pulse::Client peer)
    {
        return timer.afterDelay(rpcHeartbeatInterval.ms * kj::MILLISECONDS).then([this, peer]() mutable -> kj::Promise<base::Error> {
            if (base::steadyNow() - counted.lastRead > rpcSilenceTimeout)
                return base::fail(base::Code::PeerSilent, "no byte within " + std::to_string(rpcSilenceTimeout.ms) + " ms");
            if (!beating) {
                beating = true; // one at a time: beats must not pile up in front of a peer that reads nothing
                pending = peer.beatRequest().send().ignoreResult().then([this] { beating = false; }, [](kj::Exception&&) {}).eagerlyEvaluate(nullptr);
            }
            return beat(kj::mv(peer));
        });
    }

    kj::Timer& timer;
    CountedStream counted;
    ExplainedMessages messages;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    bool beating = false;
    kj::Promise<void> pending = kj::READY_NOW; // the beat under way
};

RpcConnection::RpcConnection(kj::Timer& timer, kj::Own<kj::AsyncIoStream> stream, End end, kj::Maybe<capnp::Capability::Client> bootstrap)
    : m_parts(std::make_unique<Parts>(timer, kj::mv(stream), end, kj::mv(bootstrap)))
{
}

RpcConnection::~RpcConnection() = default;

capnp::Capability::Client RpcConnection::bootstrap()
{
    capnp::MallocMessageBuilder message(8);
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(m_parts->network.getSide() == capnp::rpc::twoparty::Side::CLIENT ? capnp::rpc::twoparty::Side::SERVER
                                                                                 : capnp::rpc::twoparty::Side::CLIENT);
    return m_parts->rpc.bootstrap(vat);
}

kj::Promise<base::Error> RpcConnection::ended()
{
    return m_parts->network.onDisconnect().then(
        [why = m_parts->messages.why] { return *why; }, [why = m_parts->messages.why](kj::Exception&&) { return *why; });
}

kj::Promise<base::Error> RpcConnection::beat(rpc::Pulse::Client peer) { return m_parts->beat(kj::mv(peer)); }
base::Duration RpcConnection::silence() const { return base::steadyNow() - m_parts->counted.lastRead; }
uint64_t RpcConnection::bytesIn() const { return m_parts->counted.in; }
uint64_t RpcConnection::bytesOut() const { return m_parts->counted.out; }

} // namespace appletally::inner
