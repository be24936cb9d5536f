// Retries over the voters.
#include "appletally/ctl/client.h"

#include "appletally/inner/rpc_wire.h"

#include <algorithm>

namespace appletally::ctl {

namespace {

    // A voter that is up answers a change within a few milliseconds, one that lost the others after its own 4 s.
    constexpr base::Duration answerLimit { 6000 };

    // After a try that failed at once: short, since the next voter may be well.
    constexpr base::Duration leastPause { 20 };

    // A replica catches up within a second or two here; asking more often tells nobody anything.
    constexpr base::Duration memberPoll { 100 };

    bool worthRetrying(base::Code code)
    {
        using base::Code;
        switch (code) {
        case Code::NotLeader:
        case Code::NoQuorum:
        case Code::OutcomePending:
        case Code::DiskFull: // of one voter; another may lead
        case Code::DiskFailed:
        case Code::PeerSilent:
        case Code::PeerGone:
        case Code::ComeBackLater:
            return true;
        default:
            return false;
        }
    }

    base::Error done() { return { base::Code::Ok, {}, {} }; }

    kj::Promise<base::Error> readJson(inner::rpc::Operator::Client session, const std::string& what, nlohmann::json& out)
    {
        auto ask = session.readRequest();
        ask.setWhat(what);
        return ask.send().then([&out](auto&& answer) {
            if (inner::failed(answer.getFailure()))
                return inner::read(answer.getFailure());
            out = nlohmann::json::parse(inner::text(answer.getJson()), nullptr, false);
            return out.is_discarded() ? base::fail(base::Code::MessageMalformed, "the answer is no JSON") : done();
        });
    }

} // namespace

Client::Client(const CtlSettings& settings)
    : m_settings(settings)
    , m_io(kj::setupAsyncIo())
    , m_next(inner::randomNumber() % settings.voters.size())
{
}

base::Error Client::once(const base::Address& address, const Ask& ask)
{
    ++m_tries;
    auto linked = inner::connect(m_io, m_settings.membership, address, inner::rpc::Role::OPERATOR).wait(m_io.waitScope);
    if (!linked)
        return linked.error();
    kj::Own<inner::RpcLink> link = kj::mv(linked.value());
    auto late = m_io.provider->getTimer().afterDelay(answerLimit.ms * kj::MILLISECONDS).then([&address] {
        return base::fail(base::Code::PeerSilent, address.text() + " gave no answer within " + std::to_string(answerLimit.ms) + " ms");
    });
    return ask(link->session.castAs<inner::rpc::Operator>())
        .catch_([&address](kj::Exception&& problem) { return base::fail(base::Code::PeerGone, address.text() + ": " + inner::describe(problem)); })
        .exclusiveJoin(inner::whenDisconnected(*link))
        .exclusiveJoin(kj::mv(late))
        .wait(m_io.waitScope);
}

base::Error Client::overAll(const Ask& ask, base::Duration patience)
{
    const base::Time end = base::steadyNow() + patience;
    for (;;) {
        base::Error problem = once(m_settings.voters[m_next++ % m_settings.voters.size()], ask);
        if (!worthRetrying(problem.code) || base::steadyNow() >= end)
            return problem;
        const int64_t pause = m_tries % m_settings.voters.size() != 0 ? leastPause.ms : std::max(leastPause.ms, problem.retryAfter.ms);
        m_io.provider->getTimer().afterDelay((pause + static_cast<int64_t>(inner::randomNumber() % static_cast<uint64_t>(pause))) * kj::MILLISECONDS).wait(m_io.waitScope);
    }
}

base::Result<ChangeDone> Client::change(const config::Command& command)
{
    const std::string bytes = config::encode(command);
    ChangeDone out;
    const base::Error problem = overAll([&](inner::rpc::Operator::Client session) {
        auto ask = session.changeRequest();
        ask.setCommand(inner::toData(bytes));
        return ask.send().then([&out](auto&& answer) {
            out = { { answer.getVersion() }, inner::text(answer.getText()) };
            return inner::read(answer.getFailure());
        });
    },
        m_settings.patience);
    if (problem.code != base::Code::Ok)
        return problem;
    return out;
}

base::Result<nlohmann::json> Client::readCurrent(const std::string& what, base::Duration patience) { return read("current " + what, patience); }
base::Result<nlohmann::json> Client::readAny(const std::string& what) { return read(what, m_settings.patience); }

base::Result<nlohmann::json> Client::read(const std::string& what, base::Duration patience)
{
    nlohmann::json out;
    const base::Error problem = overAll([&](inner::rpc::Operator::Client session) { return readJson(kj::mv(session), what, out); }, patience);
    if (problem.code != base::Code::Ok)
        return problem;
    return out;
}

base::Result<nlohmann::json> Client::readFrom(const base::Address& address, const std::string& what)
{
    nlohmann::json out;
    const base::Error problem = once(address, [&](inner::rpc::Operator::Client session) { return readJson(kj::mv(session), what, out); });
    if (problem.code != base::Code::Ok)
        return problem;
    return out;
}

base::Result<void> Client::replaceVoter(base::ReplicaId old, base::ReplicaId fresh)
{
    const base::Error problem = overAll([&](inner::rpc::Operator::Client session) {
        auto ask = session.replaceVoterRequest();
        ask.setOld(old.value);
        ask.setNew(fresh.value);
        return ask.send().then([](auto&& answer) { return inner::read(answer.getFailure()); });
    },
        m_settings.patience);
    if (problem.code != base::Code::Ok)
        return problem;
    return untilReplaced(old, fresh);
}

// Until then the mesh has four voters and one of them is gone: another host lost now would leave it without a majority.
// So the operator is not told that the repair is done before it is.
base::Result<void> Client::untilReplaced(base::ReplicaId old, base::ReplicaId fresh)
{
    const base::Time end = base::steadyNow() + m_settings.patience;
    while (base::steadyNow() < end) {
        auto current = readCurrent("agreed", m_settings.patience);
        if (!current)
            return current.error();
        bool oldThere = false;
        bool freshVotes = false;
        for (const nlohmann::json& it : current.value().value("members", nlohmann::json::array())) {
            oldThere |= it.value("replica", uint64_t { 0 }) == old.value;
            freshVotes |= it.value("replica", uint64_t { 0 }) == fresh.value && it.value("votes", false);
        }
        if (freshVotes && !oldThere)
            return base::success();
        m_io.provider->getTimer().afterDelay(memberPoll.ms * kj::MILLISECONDS).wait(m_io.waitScope);
    }
    return base::fail(base::Code::OutcomePending, "agreed, but not finished yet; status shows when the new replica votes and the old one is gone");
}

} // namespace appletally::ctl
