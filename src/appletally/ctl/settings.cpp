// Reads and validates appletallyctl's settings.
#include "appletally/ctl/settings.h"

#include "appletally/base/json_reader.h"

namespace appletally::ctl {

using base::Code;

base::Result<CtlSettings> readCtlSettings(const std::string& file)
{
    auto json = base::readJsonFile(file);
    if (!json)
        return json.error();
    base::ReadProblem problem;
    base::JsonReader top(json.value(), file, problem);
    CtlSettings out;
    out.membership.cluster.text = top.text("cluster", 64);
    auto key = inner::parseClusterKey(top.text("key", 64));
    if (key)
        out.membership.key = key.value();
    else
        top.refuse(Code::SettingsOutOfRange, "key", "64 hex digits");
    out.operatorId.text = top.text("operator", 64);
    out.membership.host.text = "operator " + out.operatorId.text;
    for (const std::string& it : top.texts("voters")) {
        auto address = base::parseAddress(it);
        if (address)
            out.voters.push_back(address.value());
        else
            top.refuse(Code::SettingsOutOfRange, "voters", "addresses such as 127.0.0.1:7001");
    }
    out.requestFile = top.text("requests", file + ".requests");
    out.timeout = top.duration("patience_ms", base::Duration { 100 }, base::Duration { 600000 }, out.timeout);
    top.finish();
    if (out.voters.empty())
        top.refuse(Code::SettingsOutOfRange, "voters", "at least one address");
    if (problem.first)
        return *problem.first;
    return out;
}

} // namespace appletally::ctl
