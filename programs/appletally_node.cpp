// appletally-node: the process beside each upstream. Parses the command line; the implementation is in node/.
#include "appletally/appletally.h"

#include <iostream>
#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("The node beside an upstream: accepts callers' requests and is the only process that forwards requests to its upstream.", ' ', APPLETALLY_VERSION);
    TCLAP::SwitchArg check("", "check", "check the settings and exit", line);
    TCLAP::UnlabeledValueArg<std::string> file("settings", "settings file, JSON", true, "", "FILE", line);
    line.setExceptionHandling(false);
    try {
        line.parse(argc, argv);
    } catch (const TCLAP::ExitException& e) {
        return e.getExitStatus();
    } catch (const TCLAP::ArgException& e) {
        std::cerr << e.error() << " " << e.argId() << "; see --help\n";
        return appletally::base::exitCode(appletally::base::Code::BadCommandLine);
    }
    const auto settings = appletally::node::readNodeSettings(file.getValue());
    if (!settings) {
        std::cerr << settings.error().text << "\n";
        return appletally::base::exitCode(settings.error().code);
    }
    return check.getValue() ? 0 : appletally::node::runNode(settings.value());
}
