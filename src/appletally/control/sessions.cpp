// RPC sessions of each role; they only translate between the schema and ControlProcess.
#include "appletally/control/sessions.h"

#include "appletally/control/process.h"
#include "appletally/inner/rpc_wire.h"

namespace appletally::control {

using inner::rpc::Operator;
using inner::rpc::Peer;
using inner::rpc::Source;

namespace {

    // About the time until the leader adds this replica; nodes try the other sources meanwhile.
    constexpr base::Duration notMemberRetryAfter { 200 };

    // For nodes: subscription to content, and reports.
    class SourceSession : public virtual Source::Server {
    public:
        SourceSession(ControlProcess& process, base::HostId host)
            : m_process(process)
            , m_host(std::move(host))
        {
        }

        kj::Promise<void> beat(BeatContext) override { return kj::READY_NOW; }

        kj::Promise<void> subscribe(SubscribeContext context) override
        {
            auto params = context.getParams();
            m_subscription.end(); // a new subscription replaces the previous one
            // A process with an empty disk starts sooner than the others and attracts every node that waits for a source.
            // Without this check they would stay until it is a member and has caught up, although others could serve them.
            if (!m_process.knowsMembers()) {
                inner::write(context.getResults().initFailure(), base::fail(base::Code::RetryLater, "this source is not a member of the log yet", notMemberRetryAfter));
                return kj::READY_NOW;
            }
            auto subscribed = m_process.distributor().subscribe(m_host, { params.getHave() }, inner::read(params.getCursor()), params.getFeed(), params.getPromised());
            if (subscribed)
                m_subscription = std::move(subscribed.value());
            else
                inner::write(context.getResults().initFailure(), subscribed.error());
            return kj::READY_NOW;
        }

        kj::Promise<void> report(ReportContext context) override
        {
            m_process.onNodeReport(inner::read(context.getParams().getReport()));
            return kj::READY_NOW;
        }

        kj::Promise<void> bootFloor(BootFloorContext context) override
        {
            return m_process.minBootVersion().then([context](base::Result<base::ConfigVersion> version) mutable {
                if (version)
                    context.getResults().setVersion(version.value().value);
                else
                    inner::write(context.getResults().initFailure(), version.error());
            });
        }

    protected:
        ControlProcess& m_process; // outlives its port and therefore its sessions
        base::HostId m_host;

    private:
        Subscription m_subscription;
    };

    void write(inner::rpc::Failure::Builder failure, const ChangeResult& answer)
    {
        if (answer.failure.code != base::Code::Ok)
            inner::write(failure, answer.failure);
    }

    // For other control processes.
    class PeerSession final : public SourceSession, public Peer::Server {
    public:
        using SourceSession::SourceSession;

        kj::Promise<void> consensus(ConsensusContext context) override
        {
            auto message = consensus::decode(inner::bytes(context.getParams().getMessage()));
            if (!message)
                kj::throwFatalException(KJ_EXCEPTION(FAILED, "malformed consensus message"));
            m_process.onConsensusMessage(std::move(message.value()));
            return kj::READY_NOW;
        }

        kj::Promise<void> recorded(RecordedContext context) override
        {
            auto out = context.getResults();
            const consensus::Replica* replica = m_process.replica();
            if (!replica) {
                inner::write(out.initFailure(), base::fail(base::Code::NotReady, "this process is a relay"));
                return kj::READY_NOW;
            }
            out.setReplica(replica->id.value);
            const auto answer = consensus::bootAnswer(*replica);
            if (!answer) {
                inner::write(out.initFailure(), base::fail(base::Code::NotReady, "this process is not a voter"));
                return kj::READY_NOW;
            }
            const std::string meta = consensus::encodeMeta({ answer->recordedCommit, {}, answer->members });
            out.setMeta(inner::toData(meta));
            return kj::READY_NOW;
        }

        kj::Promise<void> released(ReleasedContext context) override
        {
            return m_process.waitForRelease({ context.getParams().getIndex() }).then([context](base::Result<base::ConfigVersion> version) mutable {
                if (version)
                    context.getResults().setVersion(version.value().value);
                else
                    inner::write(context.getResults().initFailure(), version.error());
            });
        }

        kj::Promise<void> share(ShareContext context) override
        {
            m_process.onPeerReport(inner::read(context.getParams().getReport()));
            return kj::READY_NOW;
        }

        kj::Promise<void> sourceLoad(SourceLoadContext context) override
        {
            auto params = context.getParams();
            m_process.onSourceStatus({ { m_host, { inner::text(params.getZone()) }, params.getSubscribers() }, params.getAccepts() });
            return kj::READY_NOW;
        }

        kj::Promise<void> forward(ForwardContext context) override
        {
            return m_process.submitChange(inner::bytes(context.getParams().getCommand()), true).then([context](const ChangeResult& answer) mutable {
                auto out = context.getResults();
                write(out.initFailure(), answer);
                out.setVersion(answer.version.value);
                out.setText(answer.text);
            });
        }
    };

    class OperatorSession final : public Operator::Server {
    public:
        explicit OperatorSession(ControlProcess& process)
            : m_process(process)
        {
        }

        kj::Promise<void> beat(BeatContext) override { return kj::READY_NOW; }

        kj::Promise<void> change(ChangeContext context) override
        {
            return m_process.submitChange(inner::bytes(context.getParams().getCommand()), false).then([context](const ChangeResult& answer) mutable {
                auto out = context.getResults();
                write(out.initFailure(), answer);
                out.setVersion(answer.version.value);
                out.setText(answer.text);
            });
        }

        kj::Promise<void> read(ReadContext context) override
        {
            return m_process.read(inner::text(context.getParams().getWhat())).then([context](const base::Result<std::string>& json) mutable {
                if (json)
                    context.getResults().setJson(json.value());
                else
                    inner::write(context.getResults().initFailure(), json.error());
            });
        }

        kj::Promise<void> replaceVoter(ReplaceVoterContext context) override
        {
            auto params = context.getParams();
            return m_process.replaceVoter({ params.getOld() }, { params.getNew() }).then([context](base::Result<void> result) mutable {
                if (!result)
                    inner::write(context.getResults().initFailure(), result.error());
            });
        }

    private:
        ControlProcess& m_process;
    };

} // namespace

inner::rpc::Session::Client makeSession(ControlProcess& process, inner::rpc::Role role, const base::HostId& host)
{
    switch (role) {
    case inner::rpc::Role::OPERATOR:
        return kj::heap<OperatorSession>(process);
    case inner::rpc::Role::NODE:
        return kj::heap<SourceSession>(process, host);
    case inner::rpc::Role::PEER:
        if (!process.admitsPeer(host))
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "the settings name no control process with this host"));
        return inner::rpc::Peer::Client(kj::heap<PeerSession>(process, host));
    }
    KJ_FAIL_REQUIRE("unknown role");
}

} // namespace appletally::control
