// The operator's client of the control processes: calls the voters in turn until one answers.
//
// Changes are idempotent: a resend with the same operator, request number and bytes gets the outcome of the first. A lost
// answer, a leader that dies during a change or an election therefore only cost time.
#pragma once

#include "appletally/config/commands.h"
#include "appletally/ctl/settings.h"
#include "appletally/inner/rpc_link.h"

#include <nlohmann/json.hpp>

namespace appletally::ctl {

struct ChangeResult {
    base::ConfigVersion version;
    std::string text; // rollout id if the change started or ended a rollout, else empty
};

class Client {
public:
    explicit Client(const CtlSettings&);

    // Retries transient errors until the settings' `timeout` or the parameter `timeout` has passed, then returns the last
    // error.
    base::Result<ChangeResult> change(const config::Command&);
    base::Result<nlohmann::json> readFromLeader(const std::string& query, base::Duration timeout);
    base::Result<nlohmann::json> readFromAnyVoter(const std::string& query); // may be outdated
    base::Result<nlohmann::json> readFrom(const base::Address&, const std::string& query); // one attempt
    base::Result<void> replaceVoter(base::ReplicaId old, base::ReplicaId replacement); // waits until the replacement is finished

    uint64_t attempts() const { return m_attempts; }

private:
    using VoterCall = std::function<kj::Promise<base::Error>(inner::rpc::Operator::Client)>; // code Ok: success
    base::Error callVoter(const base::Address&, const VoterCall&);
    base::Error callWithRetries(const VoterCall&, base::Duration timeout);
    base::Result<nlohmann::json> read(const std::string& query, base::Duration timeout);
    base::Result<void> waitUntilReplaced(base::ReplicaId old, base::ReplicaId replacement);

    CtlSettings m_settings;
    kj::AsyncIoContext m_io;
    size_t m_nextVoter;
    uint64_t m_attempts = 0;
};

} // namespace appletally::ctl
