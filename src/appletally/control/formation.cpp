// First members, and what to do with a folder that is missing or damaged.
#include "appletally/control/formation.h"

#include "appletally/base/log.h"

#include <algorithm>
#include <xxhash.h>

namespace appletally::control {

base::ReplicaId firstReplicaId(const base::Address& address)
{
    const std::string text = address.text();
    return { std::max<uint64_t>(XXH3_64bits(text.data(), text.size()), 1) };
}

consensus::FormatOptions formationOf(const ControlSettings& settings, base::ReplicaId random)
{
    consensus::FormatOptions out { random, settings.membership.host, {} };
    const bool founder = settings.firstStart && std::find(settings.seeds.begin(), settings.seeds.end(), settings.listen) != settings.seeds.end();
    if (!founder)
        return out;
    out.id = firstReplicaId(settings.listen);
    for (const base::Address& it : settings.seeds)
        out.members.push_back({ firstReplicaId(it), { it.text() }, consensus::Role::Voter, {} });
    std::sort(out.members.begin(), out.members.end(), [](const consensus::Member& a, const consensus::Member& b) { return a.id < b.id; });
    return out;
}

base::Result<consensus::DiskLog> openOrForm(const consensus::FileCalls& calls, const ControlSettings& settings)
{
    auto opened = consensus::openFolder(calls, settings.data);
    if (opened)
        return opened;
    const base::Code code = opened.error().code;
    if (code != base::Code::FolderNotFormatted && code != base::Code::LogDamaged)
        return opened.error();
    consensus::FormatOptions options = formationOf(settings, { inner::randomNumber() });
    if (code == base::Code::LogDamaged) {
        base::logEvent(base::Event::LogFileDamaged, opened.error().text + "; the folder is set aside and this replica starts anew");
        if (calls.rename(settings.data + "/replica", settings.data + "/replica.damaged") < 0)
            return opened.error();
        options = { { inner::randomNumber() }, settings.membership.host, {} };
    }
    if (auto formatted = consensus::formatFolder(calls, settings.data, options); !formatted)
        return formatted.error();
    return consensus::openFolder(calls, settings.data);
}

} // namespace appletally::control
