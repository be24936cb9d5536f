// The encoded state of the replicated log: whatever was accepted must decode, since it is all that a restarted control
// process has.
#include "appletally/config/codec.h"
#include "appletally/config/state_machine.h"

#include <catch2/catch.hpp>

using namespace appletally;
using namespace appletally::config;
using base::Code;

namespace {

DocumentId idOn(const State& state, uint64_t number)
{
    return { { number }, state.document.current.number, "digest" + std::to_string(number) };
}

Document documentWith(const std::vector<std::string>& services)
{
    Document out;
    for (const std::string& name : services) {
        DocumentService service;
        service.service.name = { name };
        service.text = "{}";
        out.services[{ name }] = service;
        DocumentRoute route;
        route.route.name = { "to-" + name.substr(0, 50) };
        route.route.service = { name };
        route.route.method = "*";
        route.route.pathPrefix = "/" + name.substr(0, 50) + "/";
        route.text = "{}";
        out.routes[route.route.name] = route;
    }
    return out;
}

Outcome submit(State& state, uint64_t index, const Document& document)
{
    return apply(state, { index }, encode(SubmitDocument { idOn(state, index), changeFrom(state.document.texts, document), { static_cast<int64_t>(index) } }));
}

// A roll-out of berthview runs when a document takes the service out.
State stateWithOrphanedRollout()
{
    State state;
    REQUIRE(submit(state, 1, documentWith({ "berthview", "plugctl" })).code == Code::Ok);
    REQUIRE(apply(state, { 2 }, MoveTraffic { { "berthview" }, { "v1" }, { "v2" }, { 16'000 }, { 2 } }).code == Code::Ok);
    REQUIRE(submit(state, 3, documentWith({ "plugctl" })).code == Code::Ok);
    REQUIRE(state.ended.size() == 1);
    return state;
}

} // namespace

// Guards against a record that cannot be read back and takes the whole snapshot with it: after a restart the acknowledged
// configuration was gone.
TEST_CASE("a roll-out that ended with its service is recorded in full, and the state decodes", "[config][state-codec]")
{
    const State state = stateWithOrphanedRollout();
    const Rollout& ended = state.ended.back().rollout;
    CHECK(ended.service.text == "berthview");
    CHECK(ended.from.text == "v1");
    CHECK(ended.to.text == "v2");
    const auto decoded = decodeState(encode(state));
    REQUIRE(decoded);
    CHECK(decoded.value().ended == state.ended);
    CHECK(decoded.value().snapshot == state.snapshot);
}

// Guards against losing the disks that version 0.1.0 has written, which hold such records with an id only.
TEST_CASE("a state with a roll-out that is recorded by its id only decodes", "[config][state-codec]")
{
    State state = stateWithOrphanedRollout();
    Rollout idOnly;
    idOnly.id = state.ended.back().rollout.id;
    state.ended.back().rollout = idOnly;
    const auto decoded = decodeState(encode(state));
    REQUIRE(decoded);
    CHECK(decoded.value().ended == state.ended);
    CHECK(decoded.value().document == state.document);
}

// Guards against a new order that is taken for a resend: the record of the roll-out that ended with its service names the
// same service and version.
TEST_CASE("a service that was taken out and is back starts a new roll-out to the same version", "[config][state-codec]")
{
    State state = stateWithOrphanedRollout();
    REQUIRE(submit(state, 4, documentWith({ "berthview", "plugctl" })).code == Code::Ok);
    const Outcome again = apply(state, { 5 }, MoveTraffic { { "berthview" }, { "v1" }, { "v2" }, { 16'000 }, { 5 } });
    CHECK(again.code == Code::Ok);
    CHECK(again.rollout.text == "berthview-5");
    CHECK(state.snapshot.rollouts.contains(again.rollout));
}

// Guards against an order that ends every control process, again after each restart: a numbered operator stops a roll-out of
// a document's service, which has no team.
TEST_CASE("an operator with numbered requests stops a roll-out of a document's service", "[config][state-codec]")
{
    State state;
    REQUIRE(submit(state, 1, documentWith({ "berthview" })).code == Code::Ok);
    REQUIRE(apply(state, { 2 }, MoveTraffic { { "berthview" }, { "v1" }, { "v2" }, { 16'000 }, { 2 } }).code == Code::Ok);
    CHECK(apply(state, { 3 }, StopRollout { { { "ada" }, { 1 }, { 2 }, { 3 } }, { "berthview-2" }, "asked" }).code == Code::Ok);
    CHECK(state.snapshot.rollouts.empty());
}
