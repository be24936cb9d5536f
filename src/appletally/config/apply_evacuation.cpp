// Applies the evacuation of an availability zone and its end.
#include "appletally/config/state_change.h"

namespace appletally::config {

using base::Code;

namespace {

    struct Order {
        base::ZoneName zone;
        bool evacuated = false;
        base::WallTime at;
        std::string by;
    };

    // An order that is in force already changes nothing and is accepted: a resend whose answer was lost looks the same.
    Outcome apply(State& state, base::LogIndex index, const Order& order)
    {
        if (!nameIsValid(order.zone.text))
            return refuse(state, Code::AnswersInvalid, "an availability zone needs a name");
        if (state.snapshot.evacuatedZones.contains(order.zone) == order.evacuated)
            return { Code::Ok, "nothing changes", state.snapshot.version, {}, {} };
        if (order.evacuated && state.snapshot.evacuatedZones.size() >= maxEvacuatedZones)
            return refuse(state, Code::AnswersInvalid, std::to_string(maxEvacuatedZones) + " zones are evacuated already");
        Candidate candidate = candidateFrom(state);
        if (order.evacuated)
            candidate.snapshot.evacuatedZones.insert(order.zone);
        else
            candidate.snapshot.evacuatedZones.erase(order.zone);
        return commit(state, std::move(candidate), { index, order.at, order.by, "zone " + order.zone.text + (order.evacuated ? " evacuated" : " back in service") });
    }

} // namespace

Outcome run(State& state, base::LogIndex index, const EvacuateZone& command)
{
    return apply(state, index, { command.zone, command.evacuated, command.request.at, command.request.by.text });
}

Outcome run(State& state, base::LogIndex index, const SetZoneEvacuated& command)
{
    return apply(state, index, { command.zone, command.evacuated, command.at, unnamedOperator });
}

} // namespace appletally::config
