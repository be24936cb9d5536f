// RPC connection with byte counters, close reason and heartbeats.
#include "appletally/inner/rpc_connection.h"

#include <capnp/serialize-async.h>

namespace appletally::inner {

namespace {

    // Forwards to the inner stream and counts the bytes.
    class CountingStream final : public kj::AsyncIoStream {
    public:
        explicit CountingStream(kj::Own<kj::AsyncIoStream> inner)
            : m_inner(kj::mv(inner))
        {
        }

        kj::Promise<size_t> tryRead(void* buf, size_t minBytes, size_t maxBytes) override
        {
            // Reads a minimum of one byte, so that each part of a long message counts as a sign of life, not only its end.
            return m_inner->tryRead(buf, 1, maxBytes).then([this, buf, minBytes, maxBytes](size_t n) -> kj::Promise<size_t> {
                bytesRead += n;
                lastReadAt = base::steadyNow();
                if (n == 0 || n >= minBytes)
                    return n;
                return tryRead(static_cast<char*>(buf) + n, minBytes - n, maxBytes - n).then([n](size_t rest) { return n + rest; });
            });
        }

        kj::Promise<void> write(const void* buf, size_t size) override
        {
            bytesWritten += size;
            return m_inner->write(buf, size);
        }

        kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
        {
            for (const auto& it : pieces)
                bytesWritten += it.size();
            return m_inner->write(pieces);
        }

        kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
        void shutdownWrite() override { m_inner->shutdownWrite(); }
        void abortRead() override { m_inner->abortRead(); }
        void getsockopt(int level, int option, void* value, kj::uint* n) override { m_inner->getsockopt(level, option, value, n); }

        uint64_t bytesRead = 0;
        uint64_t bytesWritten = 0;
        base::Time lastReadAt = base::steadyNow();

    private:
        kj::Own<kj::AsyncIoStream> m_inner;
    };

    base::Error classifyReadError(const kj::Exception& problem)
    {
        const std::string text = describe(problem);
        if (problem.getType() == kj::Exception::Type::DISCONNECTED)
            return base::fail(base::Code::PeerGone, text);
        const bool tooLarge = text.find("too large") != std::string::npos || text.find("too many segments") != std::string::npos;
        return base::fail(tooLarge ? base::Code::MessageTooLarge : base::Code::MessageMalformed, text);
    }

    // Records why a connection broke, for the counters and the log: the RPC system only reports that it did.
    class ErrorRecordingStream final : public capnp::MessageStream {
    public:
        explicit ErrorRecordingStream(kj::AsyncIoStream& stream)
            : m_inner(stream)
        {
        }

        using capnp::MessageStream::tryReadMessage;
        kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
            kj::ArrayPtr<kj::AutoCloseFd> fds, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratch) override
        {
            return m_inner.tryReadMessage(fds, options, scratch)
                .catch_([this](kj::Exception&& problem) -> kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> {
                    *closeReason = classifyReadError(problem);
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

        // Shared, because ended() may resolve after the connection was destroyed.
        std::shared_ptr<base::Error> closeReason = std::make_shared<base::Error>(base::fail(base::Code::PeerGone, "closed"));

    private:
        capnp::AsyncIoMessageStream m_inner;
    };

    capnp::ReaderOptions readerOptions()
    {
        capnp::ReaderOptions out;
        out.traversalLimitInWords = maxMessageBytes / sizeof(capnp::word);
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
        , countingStream(kj::mv(stream))
        , messages(countingStream)
        , network(messages, sideOf(end), readerOptions())
        , rpc(network, kj::mv(bootstrap))
    {
        rpc.setFlowLimit(maxPendingCallBytes / sizeof(capnp::word));
    }

    kj::Promise<base::Error> runHeartbeat(rpc::Pulse::Client peer)
    {
        return timer.afterDelay(rpcHeartbeatInterval.ms * kj::MILLISECONDS).then([this, peer]() mutable -> kj::Promise<base::Error> {
            if (base::steadyNow() - countingStream.lastReadAt > rpcSilenceTimeout)
                return base::fail(base::Code::PeerTimedOut, "no data received within " + std::to_string(rpcSilenceTimeout.ms) + " ms");
            if (!heartbeatInFlight) {
                heartbeatInFlight = true; // one at a time: heartbeats must not queue up for a peer that does not read
                pendingHeartbeat = peer.beatRequest().send().ignoreResult().then([this] { heartbeatInFlight = false; }, [](kj::Exception&&) {}).eagerlyEvaluate(nullptr);
            }
            return runHeartbeat(kj::mv(peer));
        });
    }

    kj::Timer& timer;
    CountingStream countingStream;
    ErrorRecordingStream messages;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    bool heartbeatInFlight = false;
    kj::Promise<void> pendingHeartbeat = kj::READY_NOW; // the heartbeat call in flight
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
        [closeReason = m_parts->messages.closeReason] { return *closeReason; }, [closeReason = m_parts->messages.closeReason](kj::Exception&&) { return *closeReason; });
}

kj::Promise<base::Error> RpcConnection::runHeartbeat(rpc::Pulse::Client peer) { return m_parts->runHeartbeat(kj::mv(peer)); }
base::Duration RpcConnection::silence() const { return base::steadyNow() - m_parts->countingStream.lastReadAt; }
uint64_t RpcConnection::bytesIn() const { return m_parts->countingStream.bytesRead; }
uint64_t RpcConnection::bytesOut() const { return m_parts->countingStream.bytesWritten; }

} // namespace appletally::inner
