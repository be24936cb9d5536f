// The capabilities of each role; they only translate between the schema and the process.
#include "appletally/control/sessions.h"

#include "appletally/control/process.h"
#include "appletally/inner/rpc_wire.h"

namespace appletally::control {

using inner::rpc::Operator;
using inner::rpc::Peer;
using inner::rpc::Source;

namespace {

    // About what it takes to be let in; the others are tried meanwhile.
    constexpr base::Duration notLetInComeBack { 200 };

    // Node: takes content, reports.
    class SourceSession : public virtual Source::Server {
    public:
        SourceSession(ControlProcess& process, base::HostId who)
            : m_process(process)
            , m_who(std::move(who))
        {
        }

        kj::Promise<void> beat(BeatContext) override { return kj::READY_NOW; }

        kj::Promise<void> subscribe(SubscribeContext context) override
        {
            auto params = context.getParams();
            m_subscription.end(); // a second one replaces the first
            // With an empty disk it starts sooner than all others and draws every node that waits for a source; they would
            // stay until it is let in and has caught up, while the others could have served them.
            if (!m_process.knowsMembers()) {
                inner::write(context.getResults().initFailure(), base::fail(base::Code::RetryLater, "this source has not been let in yet", notLetInComeBack));
                return kj::READY_NOW;
            }
            auto subscribed = m_process.distributor().subscribe(m_who, { params.getHave() }, inner::read(params.getCursor()), params.getFeed(), params.getPromised());
            if (subscribed)
                m_subscription = std::move(subscribed.value());
            else
                inner::write(context.getResults().initFailure(), subscribed.error());
            return kj::READY_NOW;
        }

        kj::Promise<void> report(ReportContext context) override
        {
            m_process.nodeReport(inner::read(context.getParams().getReport()));
            return kj::READY_NOW;
        }

        kj::Promise<void> bootFloor(BootFloorContext context) override
        {
            return m_process.bootFloor().then([context](base::Result<base::ConfigVersion> version) mutable {
                if (version)
                    context.getResults().setVersion(version.value().value);
                else
                    inner::write(context.getResults().initFailure(), version.error());
            });
        }

    protected:
        ControlProcess& m_process; // outlives its port and so its sessions
        base::HostId m_who;

    private:
        Subscription m_subscription;
    };

    void write(inner::rpc::Failure::Builder failure, const ChangeAnswer& answer)
    {
        if (answer.failure.code != base::Code::Ok)
            inner::write(failure, answer.failure);
    }

    // Another control process.
    class PeerSession final : public SourceSession, public Peer::Server {
    public:
        using SourceSession::SourceSession;

        kj::Promise<void> consensus(ConsensusContext context) override
        {
            auto message = consensus::decode(inner::bytes(context.getParams().getMessage()));
            if (!message)
                kj::throwFatalException(KJ_EXCEPTION(FAILED, "no consensus message"));
            m_process.consensusMessage(std::move(message.value()));
            return kj::READY_NOW;
        }

        kj::Promise<void> recorded(RecordedContext context) override
        {
            auto out = context.getResults();
            const consensus::Replica* replica = m_process.replica();
            if (!replica) {
                inner::write(out.initFailure(), base::fail(base::Code::NotReady, "a relay"));
                return kj::READY_NOW;
            }
            out.setReplica(replica->id.value);
            const auto answer = consensus::bootAnswer(*replica);
            if (!answer) {
                inner::write(out.initFailure(), base::fail(base::Code::NotReady, "not a voter"));
                return kj::READY_NOW;
            }
            const std::string meta = consensus::encodeMeta({ answer->recordedCommit, {}, answer->members });
            out.setMeta(inner::toData(meta));
            return kj::READY_NOW;
        }

        kj::Promise<void> released(ReleasedContext context) override
        {
            return m_process.released({ context.getParams().getIndex() }).then([context](base::Result<base::ConfigVersion> version) mutable {
                if (version)
                    context.getResults().setVersion(version.value().value);
                else
                    inner::write(context.getResults().initFailure(), version.error());
            });
        }

        kj::Promise<void> share(ShareContext context) override
        {
            m_process.peerReport(inner::read(context.getParams().getReport()));
            return kj::READY_NOW;
        }

        kj::Promise<void> forward(ForwardContext context) override
        {
            return m_process.change(inner::bytes(context.getParams().getCommand()), true).then([context](const ChangeAnswer& answer) mutable {
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
            return m_process.change(inner::bytes(context.getParams().getCommand()), false).then([context](const ChangeAnswer& answer) mutable {
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

inner::rpc::Session::Client makeSession(ControlProcess& process, inner::rpc::Role role, const base::HostId& who)
{
    switch (role) {
    case inner::rpc::Role::OPERATOR:
        return kj::heap<OperatorSession>(process);
    case inner::rpc::Role::NODE:
        return kj::heap<SourceSession>(process, who);
    case inner::rpc::Role::PEER:
        if (!process.admitsPeer(who))
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "no control process of that name in the settings"));
        return inner::rpc::Peer::Client(kj::heap<PeerSession>(process, who));
    }
    KJ_FAIL_REQUIRE("no such role");
}

} // namespace appletally::control
