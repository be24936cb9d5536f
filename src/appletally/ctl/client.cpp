// Calls voters and retries at the next one on failure.
#include "appletally/ctl/client.h"

#include "appletally/inner/rpc_wire.h"

#include <algorithm>

namespace appletally::ctl {

namespace {

    // A healthy voter answers a change within a few milliseconds; one without a quorum reports that after 4 s.
    constexpr base::Duration answerTimeout { 6000 };

    // Delay after an attempt that failed immediately: short, since the next voter may be healthy.
    constexpr base::Duration minRetryDelay { 20 };

    // A replica takes a second or two to catch up, so polling more often gives nothing new.
    constexpr base::Duration memberPollInterval { 100 };

    bool isRetryable(base::Code code)
    {
        using base::Code;
        switch (code) {
        case Code::NotLeader:
        case Code::NoQuorum:
        case Code::OutcomePending:
        case Code::DiskFull: // concerns one voter; another may be the leader
        case Code::DiskFailed:
        case Code::PeerTimedOut:
        case Code::PeerGone:
        case Code::RetryLater:
            return true;
        default:
            return false;
        }
    }

    base::Error done() { return { base::Code::Ok, {}, {} }; }

    kj::Promise<base::Error> readJson(inner::rpc::Operator::Client session, const std::string& query, nlohmann::json& out)
    {
        auto request = session.readRequest();
        request.setWhat(query);
        return request.send().then([&out](auto&& answer) {
            if (inner::failed(answer.getFailure()))
                return inner::read(answer.getFailure());
            out = nlohmann::json::parse(inner::text(answer.getJson()), nullptr, false);
            return out.is_discarded() ? base::fail(base::Code::MessageMalformed, "the answer is not valid JSON") : done();
        });
    }

} // namespace

Client::Client(const CtlSettings& settings)
    : m_settings(settings)
    , m_io(kj::setupAsyncIo())
    , m_nextVoter(inner::randomNumber() % settings.voters.size())
{
}

base::Error Client::callVoter(const base::Address& address, const VoterCall& call)
{
    ++m_attempts;
    auto linked = inner::connect(m_io, m_settings.membership, address, inner::rpc::Role::OPERATOR).wait(m_io.waitScope);
    if (!linked)
        return linked.error();
    kj::Own<inner::RpcLink> link = kj::mv(linked.value());
    auto late = m_io.provider->getTimer().afterDelay(answerTimeout.ms * kj::MILLISECONDS).then([&address] {
        return base::fail(base::Code::PeerTimedOut, address.text() + " did not answer within " + std::to_string(answerTimeout.ms) + " ms");
    });
    return call(link->session.castAs<inner::rpc::Operator>())
        .catch_([&address](kj::Exception&& problem) { return base::fail(base::Code::PeerGone, address.text() + ": " + inner::describe(problem)); })
        .exclusiveJoin(inner::whenDisconnected(*link))
        .exclusiveJoin(kj::mv(late))
        .wait(m_io.waitScope);
}

base::Error Client::callWithRetries(const VoterCall& call, base::Duration timeout)
{
    const base::Time end = base::steadyNow() + timeout;
    for (;;) {
        base::Error problem = callVoter(m_settings.voters[m_nextVoter++ % m_settings.voters.size()], call);
        if (!isRetryable(problem.code) || base::steadyNow() >= end)
            return problem;
        const int64_t pause = m_attempts % m_settings.voters.size() != 0 ? minRetryDelay.ms : std::max(minRetryDelay.ms, problem.retryAfter.ms);
        m_io.provider->getTimer().afterDelay((pause + static_cast<int64_t>(inner::randomNumber() % static_cast<uint64_t>(pause))) * kj::MILLISECONDS).wait(m_io.waitScope);
    }
}

base::Result<ChangeResult> Client::change(const config::Command& command)
{
    const std::string bytes = config::encode(command);
    ChangeResult out;
    const base::Error problem = callWithRetries([&](inner::rpc::Operator::Client session) {
        auto request = session.changeRequest();
        request.setCommand(inner::toData(bytes));
        return request.send().then([&out](auto&& answer) {
            out = { { answer.getVersion() }, inner::text(answer.getText()) };
            return inner::read(answer.getFailure());
        });
    },
        m_settings.timeout);
    if (problem.code != base::Code::Ok)
        return problem;
    return out;
}

base::Result<nlohmann::json> Client::readFromLeader(const std::string& query, base::Duration timeout) { return read("current " + query, timeout); }
base::Result<nlohmann::json> Client::readFromAnyVoter(const std::string& query) { return read(query, m_settings.timeout); }

base::Result<nlohmann::json> Client::read(const std::string& query, base::Duration timeout)
{
    nlohmann::json out;
    const base::Error problem = callWithRetries([&](inner::rpc::Operator::Client session) { return readJson(kj::mv(session), query, out); }, timeout);
    if (problem.code != base::Code::Ok)
        return problem;
    return out;
}

base::Result<nlohmann::json> Client::readFrom(const base::Address& address, const std::string& query)
{
    nlohmann::json out;
    const base::Error problem = callVoter(address, [&](inner::rpc::Operator::Client session) { return readJson(kj::mv(session), query, out); });
    if (problem.code != base::Code::Ok)
        return problem;
    return out;
}

base::Result<void> Client::replaceVoter(base::ReplicaId old, base::ReplicaId replacement)
{
    const base::Error problem = callWithRetries([&](inner::rpc::Operator::Client session) {
        auto request = session.replaceVoterRequest();
        request.setOld(old.value);
        request.setNew(replacement.value);
        return request.send().then([](auto&& answer) { return inner::read(answer.getFailure()); });
    },
        m_settings.timeout);
    if (problem.code != base::Code::Ok)
        return problem;
    return waitUntilReplaced(old, replacement);
}

// Until the old replica is removed the mesh has four voters, one of which is lost; the loss of one more host would leave it
// without a majority. Success is therefore reported only when the replacement is finished.
base::Result<void> Client::waitUntilReplaced(base::ReplicaId old, base::ReplicaId replacement)
{
    const base::Time end = base::steadyNow() + m_settings.timeout;
    while (base::steadyNow() < end) {
        auto current = readFromLeader("agreed", m_settings.timeout);
        if (!current)
            return current.error();
        bool oldIsMember = false;
        bool replacementVotes = false;
        for (const nlohmann::json& it : current.value().value("members", nlohmann::json::array())) {
            oldIsMember |= it.value("replica", uint64_t { 0 }) == old.value;
            replacementVotes |= it.value("replica", uint64_t { 0 }) == replacement.value && it.value("votes", false);
        }
        if (replacementVotes && !oldIsMember)
            return base::success();
        m_io.provider->getTimer().afterDelay(memberPollInterval.ms * kj::MILLISECONDS).wait(m_io.waitScope);
    }
    return base::fail(base::Code::OutcomePending, "the replacement is committed but not finished; status shows when the new replica votes and the old one is removed");
}

} // namespace appletally::ctl
