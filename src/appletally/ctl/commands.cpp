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

    // An election takes about a second; an operator who looks while there is no leader wants what there is.
    constexpr base::Duration freshLimit { 3000 };

    base::Error badUsage(const std::string& text) { return base::fail(Code::BadCommandLine, text + "\n" + usage()); }

    base::Result<uint64_t> number(const std::string& text)
    {
        uint64_t out = 0;
        const char* end = text.data() + text.size();
        const auto [last, ec] = std::from_chars(text.data(), end, out);
        if (ec != std::errc() || last != end)
            return badUsage("expected a number instead of " + text);
        return out;
    }

    base::Result<base::ConfigVersion> currentVersion(Client& client, base::Duration patience)
    {
        auto status = client.readCurrent("agreed", patience);
        if (!status)
            return status.error();
        return base::ConfigVersion { status.value().value("version", uint64_t { 0 }) };
    }

    // Numbers, records, sends, and forgets the request once its outcome is known.
    base::Result<void> sendChange(const CtlSettings& settings, const CommandLine& line, config::Command command)
    {
        Client client(settings);
        auto file = readRequestFile(settings.requests);
        if (!file)
            return file.error();
        auto* request = const_cast<config::OperatorRequest*>(config::requestOf(command));
        request->by = settings.by;
        request->base = line.base;
        if (line.base.value == 0) {
            auto current = currentVersion(client, settings.patience);
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
        if (line.words.size() != 2)
            return badUsage("submit takes one file");
        std::ifstream in(line.words[1], std::ios::binary);
        if (!in)
            return base::fail(Code::SettingsUnreadable, line.words[1] + ": (top): expected a readable file");
        std::stringstream text;
        text << in.rdbuf();
        return sendChange(settings, line, config::SubmitAnswers { {}, text.str() });
    }

    base::Result<void> rollout(const CtlSettings& settings, const CommandLine& line)
    {
        const auto& words = line.words;
        if (words.size() == 5 && words[1] == "start") {
            const auto seconds = number(words[4]);
            if (!seconds)
                return seconds.error();
            config::StartRollout out;
            out.service.text = words[2];
            out.from.text = line.from;
            out.to.text = words[3];
            // Rounded to a second and part of what is asked: a resend keeps the moment of the first try, see request_file.h.
            out.completeBy = { (base::wallNow().ms / 1000 + static_cast<int64_t>(seconds.value())) * 1000 };
            return sendChange(settings, line, out);
        }
        if (words.size() == 3 && words[1] == "stop")
            return sendChange(settings, line, config::StopRollout { {}, { words[2] }, line.why.empty() ? "stopped by an operator" : line.why });
        return badUsage("rollout start SERVICE VERSION SECONDS, or rollout stop ROLLOUT");
    }

    base::Result<void> show(const CtlSettings& settings, const CommandLine& line)
    {
        Client client(settings);
        auto json = client.readCurrent(line.words[0], std::min(settings.patience, freshLimit));
        if (!json && (json.error().code == Code::NotLeader || json.error().code == Code::NoQuorum || json.error().code == Code::OutcomePending)) {
            std::cerr << "no leader answers, what follows may be old: " << json.error() << '\n';
            json = client.readAny(line.words[0]);
        }
        if (!json)
            return json.error();
        if (line.json)
            std::cout << json.value().dump(2) << '\n';
        else if (line.words[0] == "status")
            printStatus(std::cout, json.value());
        else if (line.words[0] == "versions")
            printVersions(std::cout, json.value());
        else
            printRollouts(std::cout, json.value());
        return base::success();
    }

    base::Result<void> dump(const CtlSettings& settings, const CommandLine& line)
    {
        if (line.words.size() != 2)
            return badUsage("dump takes one address");
        const auto address = base::parseAddress(line.words[1]);
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
        if (line.words.size() != 3)
            return badUsage("replace-voter takes the old and the new replica's number");
        const auto old = number(line.words[1]);
        const auto fresh = number(line.words[2]);
        if (!old || !fresh)
            return old ? fresh.error() : old.error();
        Client client(settings);
        if (auto done = client.replaceVoter({ old.value() }, { fresh.value() }); !done)
            return done;
        std::cout << "replaced: the new replica votes and the old one is out\n";
        return base::success();
    }

} // namespace

std::string usage()
{
    return "commands:\n"
           "  submit FILE                            changed answers\n"
           "  rollout start SERVICE VERSION SECONDS  give VERSION all traffic within SECONDS\n"
           "  rollout stop ROLLOUT                   give the old version all traffic again\n"
           "  rollouts | versions | status           what runs and what happened\n"
           "  dump ADDRESS                           the state of any process, as JSON\n"
           "  explain ID LOG...                      one request's story out of log files; needs no settings: appletallyctl explain ...\n"
           "  replace-voter OLD NEW                  a voter that lost its disk, by replica numbers";
}

base::Result<void> runCommand(const CtlSettings& settings, const CommandLine& line)
{
    const std::string command = line.words.empty() ? "" : line.words[0];
    if (command == "submit")
        return submit(settings, line);
    if (command == "rollout")
        return rollout(settings, line);
    if (command == "status" || command == "versions" || command == "rollouts")
        return show(settings, line);
    if (command == "dump")
        return dump(settings, line);
    if (command == "replace-voter")
        return replaceVoter(settings, line);
    return badUsage("no such command: " + command);
}

} // namespace appletally::ctl
