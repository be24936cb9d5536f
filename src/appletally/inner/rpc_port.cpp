// The server side of the inner protocol and its Gate.
#include "appletally/inner/rpc_port.h"

#include "appletally/base/log.h"
#include "appletally/inner/rpc_wire.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <kj/io.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace appletally::inner {

namespace {

    // Time for an error reply to be sent before its connection is closed.
    constexpr base::Duration replyFlushDelay { 100 };
    constexpr int listenBacklog = 1024; // many nodes may connect within a few milliseconds

    // An accept that fails for lack of file descriptors would fail again at once; the delay avoids a busy loop.
    constexpr base::Duration acceptRetryDelay { 50 };

} // namespace

struct RpcPort::Connection {
    std::unique_ptr<RpcConnection> connection;
    base::HostId who; // empty until authenticated
    rpc::Role role = rpc::Role::OPERATOR;
    bool authenticated = false;
    bool closing = false; // close is scheduled
    kj::Promise<void> heartbeat = nullptr;
};

// One per connection. Returns a Session only after both sides proved the key. A second attempt on the same connection is
// rejected, so that each guess at a key costs a connection and shows in the counters.
class GateServer final : public rpc::Gate::Server {
public:
    GateServer(RpcPort& port, uint64_t id)
        : m_port(port)
        , m_id(id)
    {
    }

    kj::Promise<void> challenge(ChallengeContext context) override
    {
        auto params = context.getParams();
        auto out = context.getResults();
        if (m_stage != Stage::Challenge)
            return reject(out.initFailure(), base::fail(base::Code::MessageMalformed, "second challenge on one connection"));
        m_stage = Stage::Enter;
        m_who = text(params.getWho());
        m_role = params.getRole();
        if (text(params.getCluster()) != m_port.m_membership.cluster.text) {
            ++m_port.m_counters.wrongCluster;
            return reject(out.initFailure(), base::fail(base::Code::WrongCluster, "cluster name differs from that of " + m_port.m_membership.host.text));
        }
        if (!take(params.getNonce(), m_clientNonce) || m_who.empty() || m_who.size() > maxNameBytes)
            return reject(out.initFailure(), base::fail(base::Code::MessageMalformed, "challenge without a valid name or nonce"));
        m_serverNonce = generateNonce();
        out.setWho(m_port.m_membership.host.text);
        out.setNonce(toData(m_serverNonce));
        out.setProof(toData(makeProof(m_port.m_membership, Side::Server, m_clientNonce, m_serverNonce, m_port.m_membership.host.text)));
        return kj::READY_NOW;
    }

    kj::Promise<void> enter(EnterContext context) override
    {
        auto params = context.getParams();
        auto out = context.getResults();
        if (m_stage != Stage::Enter)
            return reject(out.initFailure(), base::fail(base::Code::MessageMalformed, "enter call without a preceding challenge"));
        m_stage = Stage::Done;
        Mac proof;
        const std::string who = m_who + "/" + std::to_string(static_cast<int>(m_role)); // the MAC covers the role
        if (!take(params.getProof(), proof) || !verifyProof(m_port.m_membership, Side::Client, m_clientNonce, m_serverNonce, who, proof)) {
            ++m_port.m_counters.wrongKey;
            return reject(out.initFailure(), base::fail(base::Code::WrongKey, "peer failed to prove the cluster key"));
        }
        RpcPort::Connection* entry = m_port.find(m_id);
        // NOLINTNEXTLINE(bugprone-suspicious-semicolon): expands from the macro
        KJ_REQUIRE(entry != nullptr, "connection is closing");
        out.setSession(m_port.m_makeSession(m_role, { m_who }));
        entry->authenticated = true;
        entry->who.text = m_who;
        entry->role = m_role;
        ++m_port.m_counters.authenticated;
        --m_port.m_unauthenticated;
        const uint64_t id = m_id;
        RpcPort& port = m_port;
        entry->heartbeat = entry->connection->runHeartbeat(params.getBack())
                               .then([&port, id](base::Error problem) { port.closeAfterReply(id, std::move(problem)); })
                               .eagerlyEvaluate([](kj::Exception&&) {});
        return kj::READY_NOW;
    }

private:
    enum class Stage { Challenge,
        Enter,
        Done };
    static constexpr size_t maxNameBytes = 256;

    kj::Promise<void> reject(rpc::Failure::Builder out, const base::Error& problem)
    {
        m_stage = Stage::Done;
        write(out, problem);
        m_port.closeAfterReply(m_id, problem);
        return kj::READY_NOW;
    }

    RpcPort& m_port; // outlives every connection
    uint64_t m_id;
    Stage m_stage = Stage::Challenge;
    std::string m_who;
    rpc::Role m_role = rpc::Role::OPERATOR;
    Nonce m_clientNonce {};
    Nonce m_serverNonce {};
};

RpcPort::RpcPort(kj::AsyncIoContext& io, Membership membership, MakeSession makeSession)
    : m_io(io)
    , m_timer(io.provider->getTimer())
    , m_membership(std::move(membership))
    , m_makeSession(std::move(makeSession))
    , m_tasks(*this)
{
}

RpcPort::~RpcPort() { m_connections.clear(); }

void RpcPort::taskFailed(kj::Exception&& problem) { base::logEvent(base::Event::LinkDown, describe(problem)); }

static base::Error errnoError(const base::Address& address, const char* what)
{
    const base::Code code = errno == EADDRINUSE ? base::Code::AddressInUse : base::Code::SettingsOutOfRange;
    return base::fail(code, std::string(what) + " " + address.text() + ": " + std::strerror(errno));
}

base::Result<base::Address> RpcPort::listen(const base::Address& address)
{
    sockaddr_in socketAddress {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &socketAddress.sin_addr) != 1)
        return base::fail(base::Code::SettingsOutOfRange, "invalid IPv4 address: " + address.ip);
    kj::AutoCloseFd fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, reinterpret_cast<sockaddr*>(&socketAddress), sizeof socketAddress) != 0)
        return errnoError(address, "cannot bind");
    if (::listen(fd, listenBacklog) != 0)
        return errnoError(address, "cannot listen on");
    socklen_t n = sizeof socketAddress;
    getsockname(fd, reinterpret_cast<sockaddr*>(&socketAddress), &n);
    m_receiver = m_io.lowLevelProvider->wrapListenSocketFd(kj::mv(fd), kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC);
    m_accepting = acceptLoop().eagerlyEvaluate([this](kj::Exception&& problem) { taskFailed(kj::mv(problem)); });
    return base::Address { address.ip, ntohs(socketAddress.sin_port) };
}

void RpcPort::stopListening()
{
    m_accepting = nullptr;
    m_receiver = nullptr;
}

kj::Promise<void> RpcPort::acceptLoop()
{
    return m_receiver->accept()
        .then([this](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void> {
            addConnection(kj::mv(stream));
            return kj::READY_NOW; },
            [this](kj::Exception&&) -> kj::Promise<void> { return m_timer.afterDelay(acceptRetryDelay.ms * kj::MILLISECONDS); })
        .then([this] { return acceptLoop(); });
}

void RpcPort::addConnection(kj::Own<kj::AsyncIoStream> stream)
{
    ++m_counters.accepted;
    if (m_unauthenticated >= maxUnauthenticatedConnections) {
        ++m_counters.unauthenticated;
        return; // the connection closes with the stream
    }
    const int one = 1;
    stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const uint64_t id = m_nextId++;
    auto entry = std::make_unique<Connection>();
    rpc::Gate::Client gate = kj::heap<GateServer>(*this, id);
    entry->connection = std::make_unique<RpcConnection>(m_timer, kj::mv(stream), RpcConnection::End::Server, capnp::Capability::Client(gate));
    ++m_unauthenticated;
    m_tasks.add(entry->connection->ended().then([this, id](const base::Error& problem) { close(id, problem); }));
    m_connections[id] = std::move(entry);
    m_tasks.add(m_timer.afterDelay(authenticationTimeout.ms * kj::MILLISECONDS).then([this, id] {
        const Connection* it = find(id);
        if (!it || it->authenticated)
            return;
        ++m_counters.unauthenticated;
        closeAfterReply(id, base::fail(base::Code::WrongKey, "not authenticated within " + std::to_string(authenticationTimeout.ms) + " ms"));
    }));
}

void RpcPort::closeAfterReply(uint64_t id, base::Error problem)
{
    Connection* entry = find(id);
    if (!entry || entry->closing)
        return;
    entry->closing = true;
    m_tasks.add(m_timer.afterDelay(replyFlushDelay.ms * kj::MILLISECONDS).then([this, id, problem = std::move(problem)] { close(id, problem); }));
}

void RpcPort::close(uint64_t id, const base::Error& problem)
{
    auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    m_counters.malformed += problem.code == base::Code::MessageMalformed;
    m_counters.tooLarge += problem.code == base::Code::MessageTooLarge;
    m_counters.silent += problem.code == base::Code::PeerTimedOut;
    m_counters.bytesIn += it->second->connection->bytesIn();
    m_counters.bytesOut += it->second->connection->bytesOut();
    const bool authenticated = it->second->authenticated;
    m_unauthenticated -= !authenticated;
    std::ostringstream message;
    message << (authenticated ? it->second->who.text : "unauthenticated peer") << ": " << problem;
    const bool operatorLeft = authenticated && it->second->role == rpc::Role::OPERATOR && problem.code == base::Code::PeerGone;
    if (!operatorLeft) // not logged: each operator command opens and closes a link
        base::logEvent(authenticated ? base::Event::LinkDown : base::Event::LinkRefused, message.str());
    const std::unique_ptr<Connection> gone = std::move(it->second); // removed from the map first: its destructor may call find()
    m_connections.erase(it);
}

RpcPort::Connection* RpcPort::find(uint64_t id)
{
    auto it = m_connections.find(id);
    return it == m_connections.end() ? nullptr : it->second.get();
}

nlohmann::json RpcPort::toJson() const
{
    PortCounters sum = m_counters;
    nlohmann::json links = nlohmann::json::array();
    for (const auto& [id, it] : m_connections) {
        sum.bytesIn += it->connection->bytesIn();
        sum.bytesOut += it->connection->bytesOut();
        links.push_back({ { "peer", it->who.text }, { "silent_ms", it->connection->silence().ms }, { "bytes_in", it->connection->bytesIn() }, { "bytes_out", it->connection->bytesOut() } });
    }
    return { { "accepted", sum.accepted }, { "proven", sum.authenticated }, { "wrong_cluster", sum.wrongCluster }, { "wrong_key", sum.wrongKey },
        { "malformed", sum.malformed }, { "too_large", sum.tooLarge }, { "unproven", sum.unauthenticated }, { "silent", sum.silent },
        { "bytes_in", sum.bytesIn }, { "bytes_out", sum.bytesOut }, { "links", std::move(links) } };
}

} // namespace appletally::inner
