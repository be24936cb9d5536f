// A listening inner port: authenticates peers by the cluster key, disconnects all others, and monitors each link.
//
// Anything on the network can reach the port: garbage, a wrong key, a peer that connects and sends nothing, an oversized
// message. Each closes only its own connection, is logged (LinkRefused, LinkDown) and counted, and affects no other link.
#pragma once

#include "appletally/base/ids.h"
#include "appletally/inner/cluster_key.h"
#include "appletally/inner/rpc_connection.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace appletally::inner {

struct PortCounters {
    uint64_t accepted = 0;
    uint64_t authenticated = 0;
    uint64_t wrongCluster = 0;
    uint64_t wrongKey = 0;
    uint64_t malformed = 0;
    uint64_t tooLarge = 0;
    uint64_t unauthenticated = 0; // disconnected: no proof within authenticationTimeout, or too many at once
    uint64_t silent = 0;
    uint64_t bytesIn = 0; // of closed connections; toJson() adds the open ones
    uint64_t bytesOut = 0;
};

// Creates the capability for an authenticated peer. Throw a kj::Exception to reject the role.
using MakeSession = std::function<rpc::Session::Client(rpc::Role, const base::HostId& who)>;

class RpcPort : private kj::TaskSet::ErrorHandler {
public:
    RpcPort(kj::AsyncIoContext&, Membership, MakeSession);
    ~RpcPort();

    base::Result<base::Address> listen(const base::Address&); // port 0: chosen by the system. Errors: AddressInUse, SettingsOutOfRange
    void stopListening(); // open links stay open
    nlohmann::json toJson() const;
    const PortCounters& counters() const { return m_counters; }

private:
    struct Connection;
    friend class GateServer;

    void taskFailed(kj::Exception&&) override;
    kj::Promise<void> acceptLoop();
    void addConnection(kj::Own<kj::AsyncIoStream>);
    void closeAfterReply(uint64_t id, base::Error); // the delay lets a pending reply be sent
    void close(uint64_t id, const base::Error&);
    Connection* find(uint64_t id);

    kj::AsyncIoContext& m_io;
    kj::Timer& m_timer;
    Membership m_membership;
    MakeSession m_makeSession;
    PortCounters m_counters;
    std::map<uint64_t, std::unique_ptr<Connection>> m_connections;
    uint64_t m_nextId = 1;
    size_t m_unauthenticated = 0;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::Promise<void> m_accepting = nullptr;
    kj::TaskSet m_tasks; // declared last: its tasks use all members above
};

} // namespace appletally::inner
