// The thread of a node's control link, its KJ loop, and the node's operator port.
#include "appletally/inner/control_link.h"

#include "appletally/base/log.h"
#include "appletally/inner/channel_pump.h"
#include "appletally/inner/operator_port.h"
#include "appletally/inner/rpc_port.h"
#include "appletally/inner/source_client.h"

#include <future>
#include <thread>

namespace appletally::inner {

namespace {

    struct Stop { };
    using ToLink = std::variant<FromNode, Stop>;

    // The node's thread answers a dump between two requests. If it takes longer, it is stuck, and the dump says so.
    constexpr base::Duration dumpTimeout { 1000 };

    constexpr base::Duration leaveTimeout { 400 }; // below the 500 ms that the destructor may take

    template <typename... Fs>
    struct Overloaded : Fs... {
        using Fs::operator()...;
    };
    template <typename... Fs>
    Overloaded(Fs...) -> Overloaded<Fs...>; // clang 14 needs the deduction guide

    // Created and used only on the link's thread.
    class Loop {
    public:
        Loop(kj::AsyncIoContext& io, const ControlLinkSettings& settings, base::Channel<ToNode>& toNode, base::Channel<ToLink>& fromNode)
            : m_io(io)
            , m_toNode(toNode)
            , m_fromNode(fromNode)
            , m_observer(io.unixEventPort, fromNode.fd(), kj::UnixEventPort::FdObserver::OBSERVE_READ)
            , m_client(io, clientSettings(settings), hooks())
            , m_port(io, settings.membership, [this](rpc::Role role, const base::HostId&) { return makeSession(role); })
        {
        }

        base::Result<base::Address> listen(const base::Address& address) { return m_port.listen(address); }

        void runUntilStopped()
        {
            auto stopped = kj::newPromiseAndFulfiller<void>();
            m_stopped = kj::mv(stopped.fulfiller);
            auto pumping = pump(m_fromNode, m_observer, [this](ToLink it) { handle(std::move(it)); }).eagerlyEvaluate([](kj::Exception&& problem) {
                base::logEvent(base::Event::LinkDown, "control link thread: " + describe(problem));
            });
            stopped.promise.wait(m_io.waitScope);
            m_port.stopListening();
            m_client.leave(leaveTimeout).wait(m_io.waitScope);
        }

    private:
        static SourceClientSettings clientSettings(const ControlLinkSettings& settings)
        {
            return { settings.membership, settings.sources.empty() ? settings.voters : settings.sources, rpc::Role::NODE };
        }

        SourceClientHooks hooks()
        {
            return { [this](std::shared_ptr<const config::Snapshot> it) { m_toNode.send(SnapshotReleased { std::move(it) }); },
                [this](std::vector<config::Endpoint> it) { m_toNode.send(EndpointsChanged { std::move(it) }); },
                [this](bool reachable) {
                    base::logEvent(reachable ? base::Event::ControlFound : base::Event::ControlLost, reachable ? "connected to a configuration source" : "no configuration source is reachable");
                    m_toNode.send(ControlReachable { reachable });
                },
                [this] { m_toNode.send(EndpointListRead {}); }, [this](const config::Endpoint& it) { m_toNode.send(LeavingHeld { it.sequence }); } };
        }

        rpc::Session::Client makeSession(rpc::Role role)
        {
            // NOLINTNEXTLINE(bugprone-suspicious-semicolon): expands from the macro
            KJ_REQUIRE(role == rpc::Role::OPERATOR, "this port only accepts the operator role");
            return kj::heap<ReadOnlyOperator>([this](const std::string&) { return requestDump(); });
        }

        kj::Promise<kj::String> requestDump()
        {
            const uint64_t id = m_nextDump++;
            auto pendingDump = kj::newPromiseAndFulfiller<kj::String>();
            m_dumps[id] = kj::mv(pendingDump.fulfiller);
            m_toNode.send(DumpRequested { id });
            return m_io.provider->getTimer()
                .timeoutAfter(dumpTimeout.ms * kj::MILLISECONDS, kj::mv(pendingDump.promise))
                .then([this](kj::String json) { return addLinkState(json.cStr()); }, [this](kj::Exception&&) { return addLinkState(R"({"node":"no answer from the node thread"})"); });
        }

        kj::String addLinkState(const std::string& json)
        {
            nlohmann::json out = nlohmann::json::parse(json, nullptr, false);
            if (!out.is_object())
                out = { { "node", out.is_discarded() ? nlohmann::json(json) : out } };
            out["control_link"] = m_client.toJson();
            out["operators_port"] = m_port.toJson();
            return kj::str(out.dump());
        }

        void handle(ToLink message)
        {
            if (std::holds_alternative<Stop>(message)) {
                m_stopped->fulfill();
                return;
            }
            std::visit(Overloaded {
                           [this](const EndpointAnnounced& it) { m_client.announce(it.endpoint); },
                           [this](const AppliedVersionChanged& it) { m_client.setAppliedVersion(it.version); },
                           [this](const EvidenceCollected& it) { m_client.reportEvidence(it.evidence); },
                           [this](const DumpAnswered& it) { answerDump(it); },
                           [this](const SourcesConfigured& it) { m_client.addSources(it.sources); },
                       },
                std::get<FromNode>(message));
        }

        void answerDump(const DumpAnswered& answer)
        {
            auto it = m_dumps.find(answer.id);
            if (it == m_dumps.end())
                return;
            it->second->fulfill(kj::str(answer.json));
            m_dumps.erase(it);
        }

        kj::AsyncIoContext& m_io;
        base::Channel<ToNode>& m_toNode;
        base::Channel<ToLink>& m_fromNode;
        kj::UnixEventPort::FdObserver m_observer;
        kj::Own<kj::PromiseFulfiller<void>> m_stopped;
        std::map<uint64_t, kj::Own<kj::PromiseFulfiller<kj::String>>> m_dumps;
        uint64_t m_nextDump = 1;
        SourceClient m_client;
        RpcPort m_port;
    };

} // namespace

struct ControlLink::Task {
    Task(ControlLinkSettings initialSettings, base::Channel<ToNode>& toNode)
        : settings(std::move(initialSettings))
        , listenAddress(listenResult.get_future().share())
        , thread([this, &toNode] { run(toNode); })
    {
    }

    void run(base::Channel<ToNode>& toNode)
    {
        auto io = kj::setupAsyncIo();
        Loop loop(io, settings, toNode, fromNode);
        listenResult.set_value(loop.listen(settings.operators));
        loop.runUntilStopped();
    }

    ControlLinkSettings settings;
    base::Channel<ToLink> fromNode;
    std::promise<base::Result<base::Address>> listenResult;
    std::shared_future<base::Result<base::Address>> listenAddress;
    std::thread thread; // declared last: it uses all members above
};

ControlLink::ControlLink(ControlLinkSettings settings, base::Channel<ToNode>& toNode)
    : m_task(std::make_unique<Task>(std::move(settings), toNode))
{
}

ControlLink::~ControlLink()
{
    m_task->fromNode.send(Stop {});
    m_task->thread.join();
}

void ControlLink::send(FromNode message) { m_task->fromNode.send(std::move(message)); }
base::Result<base::Address> ControlLink::operatorsAddress() { return m_task->listenAddress.get(); }

} // namespace appletally::inner
