// appletallyctl: the operators' command-line tool. Parses the arguments; the implementation is in ctl/.
#include "appletally/appletally.h"

#include <iostream>
#include <tclap/CmdLine.h>

using namespace appletally;

static int finish(const base::Result<void>& result)
{
    if (result)
        return 0;
    std::cerr << result.error() << '\n';
    return base::exitCode(result.error().code);
}

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("Submits answers, controls rollouts and shows the state of the mesh.\n" + ctl::usage(), ' ', APPLETALLY_VERSION);
        line.setExceptionHandling(false);
        TCLAP::SwitchArg check("", "check", "check the settings and exit", line);
        TCLAP::SwitchArg json("", "json", "print JSON", line);
        TCLAP::ValueArg<uint64_t> request("", "request", "request number; default: the next one", false, 0, "N", line);
        TCLAP::ValueArg<uint64_t> base("", "base", "version that the change is based on; default: the current one", false, 0, "VERSION", line);
        TCLAP::ValueArg<std::string> from("", "from", "rollout start: the old version", false, "", "VERSION", line);
        TCLAP::ValueArg<std::string> why("", "why", "rollout stop: the reason, for the history", false, "", "TEXT", line);
        TCLAP::UnlabeledValueArg<std::string> file("settings", "JSON settings file; see docs/OPERATING.md", true, "", "SETTINGS.json", line);
        TCLAP::UnlabeledMultiArg<std::string> words("command", "command and its arguments", false, "COMMAND", line);
        line.parse(argc, argv);
        if (file.getValue() == "explain") { // reads files only, so it needs no settings and no reachable control process
            std::vector<std::string> all = words.getValue();
            all.insert(all.begin(), file.getValue());
            return finish(ctl::explain(all, json.getValue()));
        }
        const auto settings = ctl::readCtlSettings(file.getValue());
        if (!settings)
            return finish(settings.error());
        if (check.getValue())
            return 0;
        return finish(ctl::runCommand(settings.value(), { words.getValue(), { request.getValue() }, { base.getValue() }, from.getValue(), why.getValue(), json.getValue() }));
    } catch (const TCLAP::ExitException& it) {
        return it.getExitStatus();
    } catch (const TCLAP::ArgException& it) {
        return finish(base::fail(base::Code::BadCommandLine, it.error() + " " + it.argId()));
    }
}
