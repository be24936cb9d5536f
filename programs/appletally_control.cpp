// appletally-control: a voter or relay of the mesh. Parses the command line; the implementation is in control/.
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
        TCLAP::CmdLine line("Replicates configuration versions (voter) or forwards them (relay).", ' ', APPLETALLY_VERSION);
        line.setExceptionHandling(false);
        TCLAP::SwitchArg check("", "check", "check the settings and exit", line);
        TCLAP::SwitchArg format("", "format", "create the data folder of a new voter and exit; once for each voter", line);
        TCLAP::SwitchArg first("", "first", "with --format: this voter starts the log of a new mesh; use it for exactly one voter", line);
        TCLAP::UnlabeledValueArg<std::string> file("settings", "JSON settings file; see docs/OPERATING.md", true, "", "SETTINGS.json", line);
        line.parse(argc, argv);
        const auto settings = control::readControlSettings(file.getValue());
        if (!settings)
            return finish(settings.error());
        if (first.getValue() && !format.getValue())
            return finish(base::fail(base::Code::BadCommandLine, "--first requires --format"));
        if (check.getValue())
            return 0;
        if (format.getValue())
            return finish(control::formatFolder(settings.value(), first.getValue()));
        base::startLog("appletally-control", settings.value().membership.host.text, base::Severity::Info);
        return finish(control::run(settings.value()));
    } catch (const TCLAP::ExitException& it) {
        return it.getExitStatus();
    } catch (const TCLAP::ArgException& it) {
        return finish(base::fail(base::Code::BadCommandLine, it.error() + " " + it.argId()));
    }
}
