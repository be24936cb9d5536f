// The commands of appletallyctl.
#include "appletally/ctl/commands.h"

#include "appletally/base/json_reader.h"
#include "appletally/ctl/client.h"
#include "appletally/ctl/print.h"
#include "appletally/ctl/request_file.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

namespace appletally::ctl {

using base::Code;

namespace {

    // An election takes about a second. Without a leader for longer, a possibly outdated answer of any voter is shown.
    constexpr base::Duration leaderReadTimeout { 3000 };

    base::Error usageError(const std::string& text) { return base::fail(Code::BadCommandLine, text + "\n" + usage()); }

    base::Result<uint64_t> number(const std::string& text)
    {
        uint64_t out = 0;
        const char* end = text.data() + text.size();
        const auto [last, ec] = std::from_chars(text.data(), end, out);
        if (ec != std::errc() || last != end)
            return usageError("expected a number, not " + text);
        return out;
    }

    base::Result<base::ConfigVersion> currentVersion(Client& client, base::Duration timeout)
    {
        auto status = client.readFromLeader("agreed", timeout);
        if (!status)
            return status.error();
        return base::ConfigVersion { status.value().value("version", uint64_t { 0 }) };
    }

    // Numbers the request, stores it, sends it, and removes it from the file once its outcome is known.
    base::Result<void> sendChange(const CtlSettings& settings, const CommandLine& line, config::Command command)
    {
        Client client(settings);
        auto file = readRequestFile(settings.requestFile);
        if (!file)
            return file.error();
        auto* request = const_cast<config::OperatorRequest*>(config::requestOf(command));
        request->by = settings.operatorId;
        request->base = line.base;
        if (line.base.value == 0) {
            auto current = currentVersion(client, settings.timeout);
            if (!current)
                return current.error();
            request->base = current.value();
        }
        numberRequest(file.value(), command, line.request, line.base.value != 0);
        if (auto written = writeRequestFile(file.value()); !written)
            return written;
        const base::RequestNumber used = config::requestOf(command)->number;
        const auto done = client.change(command);
        if (!done && (done.error().code == Code::OutcomePending || done.error().code == Code::PeerGone || done.error().code == Code::PeerTimedOut || done.error().code == Code::NoQuorum))
            return base::fail(done.error().code, done.error().text + "; run the same command again to learn the outcome of request " + std::to_string(used.value));
        file.value().pending.reset();
        if (auto written = writeRequestFile(file.value()); !written)
            return written;
        if (!done)
            return done.error();
        if (line.json)
            std::cout << nlohmann::json({ { "version", done.value().version.value }, { "request", used.value }, { "text", done.value().text } }).dump() << '\n';
        else
            std::cout << "accepted as version " << done.value().version.value << " (request " << used.value << ")" << (done.value().text.empty() ? "" : ": " + done.value().text) << '\n';
        return base::success();
    }

    base::Result<void> submit(const CtlSettings& settings, const CommandLine& line)
    {
        if (line.arguments.size() != 2)
            return usageError("submit takes one file");
        std::ifstream in(line.arguments[1], std::ios::binary);
        if (!in)
            return base::fail(Code::SettingsUnreadable, line.arguments[1] + ": (top): expected a readable file");
        std::stringstream text;
        text << in.rdbuf();
        return sendChange(settings, line, config::SubmitAnswers { {}, text.str() });
    }

    base::Result<void> rollout(const CtlSettings& settings, const CommandLine& line)
    {
        const auto& arguments = line.arguments;
        if (arguments.size() == 5 && arguments[1] == "start") {
            const auto seconds = number(arguments[4]);
            if (!seconds)
                return seconds.error();
            config::StartRollout out;
            out.service.text = arguments[2];
            out.from.text = line.from;
            out.to.text = arguments[3];
            // Whole seconds. The deadline is part of the request, and a resend keeps that of the first attempt; see
            // request_file.h.
            out.completeBy = { (base::wallNow().ms / 1000 + static_cast<int64_t>(seconds.value())) * 1000 };
            return sendChange(settings, line, out);
        }
        if (arguments.size() == 3 && arguments[1] == "stop")
            return sendChange(settings, line, config::StopRollout { {}, { arguments[2] }, line.reason.empty() ? "stopped by an operator" : line.reason });
        return usageError("rollout start SERVICE VERSION SECONDS, or rollout stop ROLLOUT");
    }

    base::Result<void> evacuate(const CtlSettings& settings, const CommandLine& line)
    {
        const auto& arguments = line.arguments;
        if (arguments.size() != 3 || (arguments[1] != "start" && arguments[1] != "end"))
            return usageError("evacuate start ZONE, or evacuate end ZONE");
        return sendChange(settings, line, config::EvacuateZone { {}, { arguments[2] }, arguments[1] == "start" });
    }

    base::Result<void> show(const CtlSettings& settings, const CommandLine& line)
    {
        Client client(settings);
        auto json = client.readFromLeader(line.arguments[0], std::min(settings.timeout, leaderReadTimeout));
        if (!json && (json.error().code == Code::NotLeader || json.error().code == Code::NoQuorum || json.error().code == Code::OutcomePending)) {
            std::cerr << "no leader answered; this output may be old: " << json.error() << '\n';
            json = client.readFromAnyVoter(line.arguments[0]);
        }
        if (!json)
            return json.error();
        if (line.json)
            std::cout << json.value().dump(2) << '\n';
        else if (line.arguments[0] == "status")
            printStatus(std::cout, json.value());
        else if (line.arguments[0] == "versions")
            printVersions(std::cout, json.value());
        else
            printRollouts(std::cout, json.value());
        return base::success();
    }

    base::Result<void> dump(const CtlSettings& settings, const CommandLine& line)
    {
        if (line.arguments.size() != 2)
            return usageError("dump takes one address");
        const auto address = base::parseAddress(line.arguments[1]);
        if (!address)
            return address.error();
        Client client(settings);
        const auto json = client.readFrom(address.value(), "dump");
        if (!json)
            return json.error();
        std::cout << json.value().dump(2) << '\n';
        return base::success();
    }

    base::Result<void> replaceVoter(const CtlSettings& settings, const CommandLine& line)
    {
        if (line.arguments.size() != 3)
            return usageError("replace-voter takes the old and the new replica's number");
        const auto old = number(line.arguments[1]);
        const auto replacement = number(line.arguments[2]);
        if (!old || !replacement)
            return old ? replacement.error() : old.error();
        Client client(settings);
        if (auto done = client.replaceVoter({ old.value() }, { replacement.value() }); !done)
            return done;
        std::cout << "replaced: the new replica votes and the old one is removed\n";
        return base::success();
    }

} // namespace

std::string usage()
{
    return "commands:\n"
           "  submit FILE                            submit changed answers\n"
           "  rollout start SERVICE VERSION SECONDS  shift all traffic to VERSION within SECONDS\n"
           "  rollout stop ROLLOUT                   stop it and return all traffic to the old version\n"
           "  evacuate start ZONE                    send nothing more to the upstreams of an availability zone\n"
           "  evacuate end ZONE                      take it back into service\n"
           "  rollouts | versions | status           show rollouts, versions or the state of the mesh\n"
           "  dump ADDRESS                           print the state of a process as JSON\n"
           "  explain ID LOG...                      show one request's events from log files; needs no settings: appletallyctl explain ...\n"
           "  replace-voter OLD NEW                  replace a voter that lost its disk, by replica numbers";
}

base::Result<void> runCommand(const CtlSettings& settings, const CommandLine& line)
{
    const std::string command = line.arguments.empty() ? "" : line.arguments[0];
    if (command == "submit")
        return submit(settings, line);
    if (command == "rollout")
        return rollout(settings, line);
    if (command == "evacuate")
        return evacuate(settings, line);
    if (command == "status" || command == "versions" || command == "rollouts")
        return show(settings, line);
    if (command == "dump")
        return dump(settings, line);
    if (command == "replace-voter")
        return replaceVoter(settings, line);
    return usageError("unknown command: " + command);
}

} // namespace appletally::ctl
