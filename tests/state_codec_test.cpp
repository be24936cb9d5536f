// The encoded state of the replicated log: whatever was accepted must decode, since it is all that a restarted control
// process has.
#include "config_fuzz_step.h"
#include "control_fixture.h"

#include "appletally/config/codec.h"
#include "appletally/config/state_machine.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

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

// Every kind of command over few names, so that changes meet: documents take services out under roll-outs, orders repeat.
struct CommandsModel {
    static constexpr int kinds = 12;
    static const char* kindName(int kind)
    {
        static const char* const names[] = { "answers", "start", "stop", "share", "rollBack", "complete", "setKeepers", "finishKeepers", "document", "move", "evacuate", "setEvacuated" };
        return names[kind];
    }
    uint64_t index = 0;
    void advance(const fuzz::Step&) { ++index; }
};

struct CommandsSut {
    State state;
    uint64_t index = 0;

    static std::string serviceName(int n)
    {
        return n % 4 == 3 ? std::string(4090, 's') : "s" + std::to_string(n % 4);
    }

    OperatorRequest request(const fuzz::Step& it) const
    {
        return { { it.a % 2 ? "ada" : "bob" }, { static_cast<uint64_t>(it.b % 20 + 1) }, state.snapshot.version, { static_cast<int64_t>(index) } };
    }

    base::RolloutId rollout(const fuzz::Step& it) const
    {
        return state.snapshot.rollouts.empty() ? base::RolloutId { "none-1" } : std::next(state.snapshot.rollouts.begin(), it.c % static_cast<int>(state.snapshot.rollouts.size()))->first;
    }

    base::PerMille shareOf(const base::RolloutId& id) const
    {
        const auto it = state.snapshot.rollouts.find(id);
        return it == state.snapshot.rollouts.end() ? base::PerMille {} : it->second.share;
    }

    Document document(const fuzz::Step& it) const
    {
        std::vector<std::string> services;
        for (int n = 0; n < 4; ++n) {
            if (it.a >> n & 1)
                services.push_back(serviceName(n));
        }
        Document out = documentWith(services);
        if (it.b % 2)
            out.others[std::string(it.b % 3 ? 1 : 5000, 'k')] = "{}";
        out.limits.body.count = static_cast<uint64_t>(it.d);
        return out;
    }

    Command command(const fuzz::Step& it) const
    {
        const base::WallTime at { static_cast<int64_t>(index) };
        const std::string reason(static_cast<size_t>(it.d % 2) * 1000 + 1, 'r');
        const base::RolloutId id = rollout(it);
        const std::string team = std::to_string(it.c % 2);
        switch (it.kind) {
        case 0:
            return SubmitAnswers { request(it), R"({"name":"t)" + team + R"(","weighing":"speed-and-take-back","services":[{"name":"team-s)" + team + R"(","first_version":"1","slots":)" + std::to_string(it.d % 9 + 1) + R"(,"routes":[{"name":"team-r)" + team + R"(","method":"GET","path_prefix":"/t)" + team + "\"}]}]}" };
        case 1:
            return StartRollout { request(it), { "team-s" + team }, {}, { std::to_string(it.d % 4 + 1) }, { 1'000'000 } };
        case 2:
            return StopRollout { request(it), id, reason };
        case 3:
            return SetShare { id, shareOf(id), { it.d % 1001 }, reason, at };
        case 4:
            return RollBackRollout { id, shareOf(id), reason, at };
        case 5:
            return CompleteRollout { id, shareOf(id), reason, at };
        case 6:
            return SetKeepers { state.snapshot.keepers.number, { { { "k" + std::to_string(it.a % 3) }, { "127.0.0.1", 9 } } }, at };
        case 7:
            return FinishKeeperChange { state.snapshot.keepers.number, at };
        case 8:
            return SubmitDocument { { { index }, state.document.current.number, "digest" }, changeFrom(state.document.texts, document(it)), at };
        case 9:
            return MoveTraffic { { serviceName(it.a) }, { "v" + std::to_string(it.b % 3) }, { "v" + std::to_string(it.d % 3) }, { 1000 }, at };
        case 10:
            return EvacuateZone { request(it), { "z" + std::to_string(it.a % 3) }, it.d % 2 == 0 };
        default:
            return SetZoneEvacuated { { "z" + std::to_string(it.a % 3) }, it.d % 2 == 0, at };
        }
    }

    void perform(const CommandsModel&, const fuzz::Step& step)
    {
        ++index;
        apply(state, { index }, encode(command(step)));
        const std::string bytes = encode(state);
        const auto decoded = decodeState(bytes);
        if (!decoded)
            RC_LOG() << decoded.error().text << std::endl;
        RC_ASSERT(bool(decoded));
        RC_ASSERT(encode(decoded.value()) == bytes);
        RC_ASSERT(decoded.value().ended == state.ended);
        RC_ASSERT(decoded.value().snapshot == state.snapshot);
    }
};

// The folder of a lone voter that has a configuration at log index 1 and this snapshot at index 2.
consensus::DiskLog diskWithSnapshot(const std::string& folder, std::string data)
{
    const consensus::FileCalls calls = consensus::systemFileCalls();
    const std::vector<consensus::Member> members { { { 9 }, { "c" }, consensus::Role::Voter, {} } };
    REQUIRE(consensus::formatFolder(calls, folder, { { 9 }, { "c" }, members }));
    auto disk = consensus::openFolder(calls, folder).value();
    consensus::Persist write;
    write.snapshot = std::make_shared<const consensus::Snapshot>(consensus::Snapshot { { { 2 }, { 1 }, { { 1 }, members } }, std::make_shared<const std::string>(std::move(data)) });
    write.retainFrom = { 3 };
    write.state.term = { 1 };
    write.state.commit = { 2 };
    write.stateChanged = true;
    REQUIRE(consensus::write(disk, write));
    consensus::closeFolder(disk);
    return consensus::openFolder(calls, folder).value();
}

std::map<std::string, std::string> filesOf(const std::string& folder)
{
    std::map<std::string, std::string> out;
    for (const auto& it : std::filesystem::recursive_directory_iterator(folder)) {
        if (!it.is_regular_file())
            continue;
        std::ifstream in(it.path(), std::ios::binary);
        std::stringstream bytes;
        bytes << in.rdbuf();
        out[it.path()] = bytes.str();
    }
    return out;
}

control::ControlSettings loneVoter() { return control_test::TestControl::settings({}); }

void runFor(kj::AsyncIoContext& io, base::Duration time) { io.provider->getTimer().afterDelay(time.ms * kj::MILLISECONDS).wait(io.waitScope); }

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

// Guards against limits of the decoding below those of what is accepted: a document's key of 5,000 bytes, and the id of a
// roll-out, which is longer than its service's name.
TEST_CASE("a state with long names decodes", "[config][state-codec]")
{
    const std::string longName(4090, 's');
    State state;
    Document document = documentWith({ longName });
    document.others = { { std::string(5000, 'k'), "1" } };
    REQUIRE(submit(state, 1, document).code == Code::Ok);
    CHECK(decodeState(encode(state)));
    REQUIRE(apply(state, { 1'000'000 }, MoveTraffic { { longName }, { "v1" }, { "v2" }, { 16'000 }, { 2 } }).code == Code::Ok);
    CHECK(decodeState(encode(state)));
}

// Guards against any other accepted value that the encoding takes and the decoding refuses.
TEST_CASE("the state decodes to itself after every command", "[config][state-codec][fuzz]")
{
    CHECK(rc::check([] { fuzz::checkSteps<CommandsModel, CommandsSut>(); }));
}

// Guards against a control process that votes, leads and answers with an empty state because it cannot read its own.
TEST_CASE("a voter whose snapshot cannot be decoded neither leads nor answers, and keeps its disk", "[control][state-codec]")
{
    auto io = kj::setupAsyncIo();
    const process_test::Folder folder;
    auto disk = diskWithSnapshot(folder / "data", "written by another version");
    const auto before = filesOf(folder / "data");
    control::ControlProcess process(io, loneVoter(), std::move(disk));
    runFor(io, { 1500 }); // several election timeouts
    CHECK_FALSE(process.leads());
    CHECK_FALSE(process.committedState().wait(io.waitScope));
    CHECK(process.metrics().find("appletally_log_stopped 1") != std::string::npos);
    CHECK(filesOf(folder / "data") == before);
}

// Guards against the loss of the log's entries for a snapshot from which they cannot be restored.
TEST_CASE("the log keeps its entries while the state does not decode", "[control][state-codec]")
{
    auto io = kj::setupAsyncIo();
    const process_test::Folder folder;
    const consensus::FileCalls calls = consensus::systemFileCalls();
    REQUIRE(consensus::formatFolder(calls, folder / "data", { { 9 }, { "c" }, { { { 9 }, { "c" }, consensus::Role::Voter, {} } } }));
    int attempts = 0;
    bool decodes = false;
    {
        control::ReplicaHooks hooks;
        hooks.send = [](const consensus::Message&) {};
        hooks.restore = [](const consensus::Snapshot&) -> base::Result<void> { return base::success(); };
        hooks.apply = [](const consensus::Entry&) {};
        hooks.state = [&]() -> base::Result<std::string> {
            ++attempts;
            return decodes ? base::Result<std::string>("state") : base::fail(Code::MessageMalformed, "does not decode");
        };
        hooks.released = [](base::LogIndex) {};
        hooks.leads = [](bool) {};
        control::ReplicaDriver driver(io.provider->getTimer(), consensus::openFolder(calls, folder / "data").value(), {}, std::move(hooks));
        driver.start();
        const auto propose = [&] {
            runFor(io, { 1000 });
            for (int n = 0; n < 12; ++n)
                CHECK(driver.propose("entry").wait(io.waitScope));
            runFor(io, { 1000 });
        };
        propose();
        CHECK(attempts == 1);
        CHECK(driver.replica().snapshot->meta.index.value == 0);
        decodes = true;
        propose();
        CHECK(driver.replica().snapshot->meta.index.value > 12);
        driver.closeDisk();
    }
}
