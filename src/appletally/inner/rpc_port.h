// A listening inner port: lets in who holds the cluster's key, sheds everyone else, and keeps each link alive.
//
// The port is open to whoever reaches it: garbage, a wrong key, a peer that connects and says nothing, a message over
// the limit. Each ends its own connection, is logged (LinkRefused, LinkDown) and counted, and touches no other link.
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
    uint64_t unauthenticated = 0; // shed: no proof within proofLimit, or too many at once
    uint64_t silent = 0;
    uint64_t bytesIn = 0; // of closed links; toJson() adds the open ones
    uint64_t bytesOut = 0;
};

// Makes the capability for a proven peer. A thrown kj::Exception refuses the role.
using MakeSession = std::function<rpc::Session::Client(rpc::Role, const base::HostId& who)>;

class RpcPort : private kj::TaskSet::ErrorHandler {
public:
    RpcPort(kj::AsyncIoContext&, Membership, MakeSession);
    ~RpcPort();

    base::Result<base::Address> listen(const base::Address&); // port 0: the system chooses. AddressInUse
    void stopListening(); // links go on
    nlohmann::json toJson() const;
    const PortCounters& counters() const { return m_counters; }

private:
    struct Served;
    friend class GateServer;

    void taskFailed(kj::Exception&&) override;
    kj::Promise<void> acceptLoop();
    void serve(kj::Own<kj::AsyncIoStream>);
    void shed(uint64_t id, base::Error); // closes after the answer under way had time to leave
    void close(uint64_t id, const base::Error&);
    Served* find(uint64_t id);

    kj::AsyncIoContext& m_io;
    kj::Timer& m_timer;
    Membership m_membership;
    MakeSession m_makeSession;
    PortCounters m_counters;
    std::map<uint64_t, std::unique_ptr<Served>> m_served;
    uint64_t m_nextId = 1;
    size_t m_unproven = 0;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::Promise<void> m_accepting = nullptr;
    kj::TaskSet m_tasks; // last: its tasks use all above
};

} // namespace appletally::inner
