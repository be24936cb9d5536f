// Field-by-field conversion; lists from a faulty peer are cut to their limits.
#include "appletally/inner/suspect_wire.h"

#include <algorithm>

namespace appletally::inner {

void write(wire::SuspectRequest::Builder out, const config::SuspectRequest& in)
{
    out.setRequest(in.key.request.value);
    out.setVersion(in.key.version.text);
    out.setRound(in.round);
    auto ends = out.initEnds(static_cast<unsigned>(in.ends.size()));
    for (unsigned n = 0; n < ends.size(); ++n) {
        ends[n].setId(in.ends[n].id);
        ends[n].setOrder(in.ends[n].order);
    }
}

config::SuspectRequest read(wire::SuspectRequest::Reader in)
{
    config::SuspectRequest out;
    out.key.request = { in.getRequest() };
    out.key.version.text.assign(in.getVersion().cStr(), in.getVersion().size());
    out.round = in.getRound();
    const auto ends = in.getEnds();
    for (unsigned n = 0; n < std::min(ends.size(), maxEndsInMessage); ++n)
        out.ends.push_back({ ends[n].getId(), ends[n].getOrder() });
    return out;
}

void write(capnp::List<wire::SuspectRequest>::Builder out, std::span<const config::SuspectRequest> in)
{
    for (unsigned n = 0; n < out.size(); ++n)
        write(out[n], in[n]);
}

std::vector<config::SuspectRequest> read(capnp::List<wire::SuspectRequest>::Reader in)
{
    std::vector<config::SuspectRequest> out;
    for (unsigned n = 0; n < std::min(in.size(), maxSuspectsInMessage); ++n)
        out.push_back(read(in[n]));
    return out;
}

} // namespace appletally::inner
