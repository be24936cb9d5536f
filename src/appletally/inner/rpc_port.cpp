// The listening side of the inner protocol and its Gate.
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

    // A refusal is answered before its connection closes; this is how long the answer gets to leave.
    constexpr base::Duration refusalLinger { 100 };
    constexpr int backlog = 1024; // a herd of nodes connects within a few milliseconds

    // An accept that fails for want of descriptors would fail again at once; the pause keeps the core for the links.
    constexpr base::Duration acceptPause { 50 };

} // namespace

struct RpcPort::Served {
    std::unique_ptr<RpcConnection> connection;
    base::HostId who; // empty until proven
    rpc::Role role = rpc::Role::OPERATOR;
    bool proven = false;
    bool doomed = false; // refused, closing
    kj::Promise<void> beating = nullptr;
};

// One for each connection. It gives a Session only after both proofs; a second try on the same connection is refused,
// so that each guess of a key costs a connection and shows in the counters.
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
        if (m_step != Step::Challenge)
            return refuse(out.initFailure(), base::fail(base::Code::MessageMalformed, "challenged twice"));
        m_step = Step::Enter;
        m_who = text(params.getWho());
        m_role = params.getRole();
        if (text(params.getCluster()) != m_port.m_membership.cluster.text) {
            ++m_port.m_counters.wrongCluster;
            return refuse(out.initFailure(), base::fail(base::Code::WrongCluster, "not the cluster of " + m_port.m_membership.host.text));
        }
        if (!take(params.getNonce(), m_client) || m_who.empty() || m_who.size() > mostNameBytes)
            return refuse(out.initFailure(), base::fail(base::Code::MessageMalformed, "a greeting without name or nonce"));
        m_server = freshNonce();
        out.setWho(m_port.m_membership.host.text);
        out.setNonce(toData(m_server));
        out.setProof(toData(prove(m_port.m_membership, Side::Server, m_client, m_server, m_port.m_membership.host.text)));
        return kj::READY_NOW;
    }

    kj::Promise<void> enter(EnterContext context) override
    {
        auto params = context.getParams();
        auto out = context.getResults();
        if (m_step != Step::Enter)
            return refuse(out.initFailure(), base::fail(base::Code::MessageMalformed, "entered without a challenge"));
        m_step = Step::Done;
        Mac proof;
        const std::string who = m_who + "/" + std::to_string(static_cast<int>(m_role)); // the role is proved with the name
        if (!take(params.getProof(), proof) || !holds(m_port.m_membership, Side::Client, m_client, m_server, who, proof)) {
            ++m_port.m_counters.wrongKey;
            return refuse(out.initFailure(), base::fail(base::Code::WrongKey, "no holder of the cluster's key"));
        }
        RpcPort::Served* served = m_port.find(m_id);
        // NOLINTNEXTLINE(bugprone-suspicious-semicolon): of the macro
        KJ_REQUIRE(served != nullptr, "the connection is closing");
        out.setSession(m_port.m_makeSession(m_role, { m_who }));
        served->proven = true;
        served->who.text = m_who;
        served->role = m_role;
        ++m_port.m_counters.authenticated;
        --m_port.m_unproven;
        const uint64_t id = m_id;
        RpcPort& port = m_port;
        served->beating = served->connection->beat(params.getBack())
                              .then([&port, id](base::Error problem) { port.shed(id, std::move(problem)); })
                              .eagerlyEvaluate([](kj::Exception&&) {});
        return kj::READY_NOW;
    }

private:
    enum class Step { Challenge,
        Enter,
        Done };
    static constexpr size_t mostNameBytes = 256;

    kj::Promise<void> refuse(rpc::Failure::Builder out, const base::Error& problem)
    {
        m_step = Step::Done;
        write(out, problem);
        m_port.shed(m_id, problem);
        return kj::READY_NOW;
    }

    RpcPort& m_port; // outlives every connection
    uint64_t m_id;
    Step m_step = Step::Challenge;
    std::string m_who;
    rpc::Role m_role = rpc::Role::OPERATOR;
    Nonce m_client {};
    Nonce m_server {};
};

RpcPort::RpcPort(kj::AsyncIoContext& io, Membership membership, MakeSession makeSession)
    : m_io(io)
    , m_timer(io.provider->getTimer())
    , m_membership(std::move(membership))
    , m_makeSession(std::move(makeSession))
    , m_tasks(*this)
{
}

RpcPort::~RpcPort() { m_served.clear(); }

void RpcPort::taskFailed(kj::Exception&& problem) { base::logEvent(base::Event::LinkDown, describe(problem)); }

static base::Error errnoError(const base::Address& address, const char* what)
{
    const base::Code code = errno == EADDRINUSE ? base::Code::AddressInUse : base::Code::SettingsOutOfRange;
    return base::fail(code, std::string(what) + " " + address.text() + ": " + std::strerror(errno));
}

base::Result<base::Address> RpcPort::listen(const base::Address& address)
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr) != 1)
        return base::fail(base::Code::SettingsOutOfRange, "no IP number: " + address.ip);
    kj::AutoCloseFd fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0)
        return errnoError(address, "cannot bind");
    if (::listen(fd, backlog) != 0)
        return errnoError(address, "cannot listen on");
    socklen_t n = sizeof name;
    getsockname(fd, reinterpret_cast<sockaddr*>(&name), &n);
    m_receiver = m_io.lowLevelProvider->wrapListenSocketFd(kj::mv(fd), kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC);
    m_accepting = acceptLoop().eagerlyEvaluate([this](kj::Exception&& problem) { taskFailed(kj::mv(problem)); });
    return base::Address { address.ip, ntohs(name.sin_port) };
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
            serve(kj::mv(stream));
            return kj::READY_NOW; },
            [this](kj::Exception&&) -> kj::Promise<void> { return m_timer.afterDelay(acceptPause.ms * kj::MILLISECONDS); })
        .then([this] { return acceptLoop(); });
}

void RpcPort::serve(kj::Own<kj::AsyncIoStream> stream)
{
    ++m_counters.accepted;
    if (m_unproven >= mostUnproven) {
        ++m_counters.unauthenticated;
        return; // closes it
    }
    const int one = 1;
    stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const uint64_t id = m_nextId++;
    auto served = std::make_unique<Served>();
    rpc::Gate::Client gate = kj::heap<GateServer>(*this, id);
    served->connection = std::make_unique<RpcConnection>(m_timer, kj::mv(stream), RpcConnection::End::Server, capnp::Capability::Client(gate));
    ++m_unproven;
    m_tasks.add(served->connection->ended().then([this, id](const base::Error& problem) { close(id, problem); }));
    m_served[id] = std::move(served);
    m_tasks.add(m_timer.afterDelay(proofLimit.ms * kj::MILLISECONDS).then([this, id] {
        const Served* it = find(id);
        if (!it || it->proven)
            return;
        ++m_counters.unauthenticated;
        shed(id, base::fail(base::Code::WrongKey, "no proof within " + std::to_string(proofLimit.ms) + " ms"));
    }));
}

void RpcPort::shed(uint64_t id, base::Error problem)
{
    Served* served = find(id);
    if (!served || served->doomed)
        return;
    served->doomed = true;
    m_tasks.add(m_timer.afterDelay(refusalLinger.ms * kj::MILLISECONDS).then([this, id, problem = std::move(problem)] { close(id, problem); }));
}

void RpcPort::close(uint64_t id, const base::Error& problem)
{
    auto it = m_served.find(id);
    if (it == m_served.end())
        return;
    m_counters.malformed += problem.code == base::Code::MessageMalformed;
    m_counters.tooLarge += problem.code == base::Code::MessageTooLarge;
    m_counters.silent += problem.code == base::Code::PeerSilent;
    m_counters.bytesIn += it->second->connection->bytesIn();
    m_counters.bytesOut += it->second->connection->bytesOut();
    const bool proven = it->second->proven;
    m_unproven -= !proven;
    std::ostringstream line;
    line << (proven ? it->second->who.text : "unproven peer") << ": " << problem;
    const bool operatorLeft = proven && it->second->role == rpc::Role::OPERATOR && problem.code == base::Code::PeerGone;
    if (!operatorLeft) // each command of an operator is one link
        base::logEvent(proven ? base::Event::LinkDown : base::Event::LinkRefused, line.str());
    const std::unique_ptr<Served> gone = std::move(it->second); // out of the map first: its end may call back into find()
    m_served.erase(it);
}

RpcPort::Served* RpcPort::find(uint64_t id)
{
    auto it = m_served.find(id);
    return it == m_served.end() ? nullptr : it->second.get();
}

nlohmann::json RpcPort::toJson() const
{
    PortCounters sum = m_counters;
    nlohmann::json links = nlohmann::json::array();
    for (const auto& [id, it] : m_served) {
        sum.bytesIn += it->connection->bytesIn();
        sum.bytesOut += it->connection->bytesOut();
        links.push_back({ { "peer", it->who.text }, { "silent_ms", it->connection->silence().ms }, { "bytes_in", it->connection->bytesIn() }, { "bytes_out", it->connection->bytesOut() } });
    }
    return { { "accepted", sum.accepted }, { "proven", sum.authenticated }, { "wrong_cluster", sum.wrongCluster }, { "wrong_key", sum.wrongKey },
        { "malformed", sum.malformed }, { "too_large", sum.tooLarge }, { "unproven", sum.unauthenticated }, { "silent", sum.silent },
        { "bytes_in", sum.bytesIn }, { "bytes_out", sum.bytesOut }, { "links", std::move(links) } };
}

} // namespace appletally::inner
