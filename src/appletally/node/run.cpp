// Runs a node as a process: event loop, control link and signals.
#include "appletally/base/log.h"
#include "appletally/node/node.h"

#include <csignal>
#include <iostream>
#include <sodium.h>

namespace appletally::node {

namespace {

    struct Process {
        event_base* loop = nullptr;
        Node* node = nullptr;
        bool stopping = false;
    };

    void onSignal(evutil_socket_t, short, void* arg)
    {
        auto* it = static_cast<Process*>(arg);
        if (it->stopping)
            event_base_loopbreak(it->loop);
        else
            it->node->stop([it] { event_base_loopbreak(it->loop); });
        it->stopping = true;
    }

    int refused(const base::Error& error)
    {
        std::cerr << error.text << "\n";
        return base::exitCode(error.code);
    }

} // namespace

int runNode(const NodeSettings& settings, const MakePort& makePort)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN); // a port that supports reloading watches its file itself; unhandled, the signal would end the process
    if (sodium_init() < 0)
        return base::exitCode(base::Code::Internal);
    base::startLog("appletally-node", settings.membership.host.text, settings.minSeverity);
    event_base* loop = event_base_new();
    base::Channel<inner::ToNode> fromControl;
    inner::ControlLinkSettings controlSettings { settings.membership, settings.zone, settings.region, settings.voters, settings.sources, settings.operators };
    int code = 0;
    {
        inner::ControlLink control(controlSettings, fromControl);
        const Node::ToControl toControl = [&](inner::FromNode message) { control.send(std::move(message)); };
        Node node(loop, settings, fromControl, toControl);
        const auto addresses = node.listen();
        if (!addresses)
            return refused(addresses.error());
        const auto operators = control.operatorsAddress();
        if (!operators)
            return refused(operators.error());
        std::unique_ptr<ExtraPort> extra;
        if (makePort) {
            auto made = makePort(loop, node, toControl);
            if (!made)
                return refused(made.error());
            extra = std::move(made.value());
        }
        Process process { loop, &node, false };
        event* term = evsignal_new(loop, SIGTERM, onSignal, &process);
        event* interrupt = evsignal_new(loop, SIGINT, onSignal, &process);
        event_add(term, nullptr);
        event_add(interrupt, nullptr);
        // Logged only now, since the parent may send signals as soon as it sees this line.
        base::logEvent(base::Event::Started, "callers " + addresses.value().callers.text() + ", inner " + addresses.value().inner.text() + ", announce " + addresses.value().announce.text() + ", operators " + operators.value().text());
        event_base_dispatch(loop);
        event_free(term);
        event_free(interrupt);
    }
    base::logEvent(base::Event::Stopped, "");
    event_base_free(loop);
    return code;
}

} // namespace appletally::node
