// First members, and handling of a missing or damaged data folder; see the header.
#include "appletally/control/formation.h"

#include "appletally/base/log.h"

#include <algorithm>
#include <xxhash.h>

namespace appletally::control {

base::ReplicaId seedReplicaId(const base::Address& address)
{
    const std::string text = address.text();
    return { std::max<uint64_t>(XXH3_64bits(text.data(), text.size()), 1) };
}

consensus::FormatOptions formatOptionsFor(const ControlSettings& settings, base::ReplicaId random)
{
    consensus::FormatOptions out { random, settings.membership.host, {} };
    const bool firstVoter = settings.firstStart && std::find(settings.seeds.begin(), settings.seeds.end(), settings.listen) != settings.seeds.end();
    if (!firstVoter)
        return out;
    out.id = seedReplicaId(settings.listen);
    for (const base::Address& it : settings.seeds)
        out.members.push_back({ seedReplicaId(it), { it.text() }, consensus::Role::Voter, {} });
    std::sort(out.members.begin(), out.members.end(), [](const consensus::Member& a, const consensus::Member& b) { return a.id < b.id; });
    return out;
}

base::Result<consensus::DiskLog> openOrFormat(const consensus::FileCalls& calls, const ControlSettings& settings)
{
    auto opened = consensus::openFolder(calls, settings.data);
    if (opened)
        return opened;
    const base::Code code = opened.error().code;
    if (code != base::Code::FolderNotFormatted && code != base::Code::LogDamaged)
        return opened.error();
    consensus::FormatOptions options = formatOptionsFor(settings, { inner::randomNumber() });
    if (code == base::Code::LogDamaged) {
        base::logEvent(base::Event::LogFileDamaged, opened.error().text + "; the folder is renamed and this replica starts with an empty one");
        if (calls.rename(settings.data + "/replica", settings.data + "/replica.damaged") < 0)
            return opened.error();
        options = { { inner::randomNumber() }, settings.membership.host, {} };
    }
    if (auto formatted = consensus::formatFolder(calls, settings.data, options); !formatted)
        return formatted.error();
    return consensus::openFolder(calls, settings.data);
}

} // namespace appletally::control
