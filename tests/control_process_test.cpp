// Control processes as users run them: killed, frozen, with lost disks, concurrent changes and invalid peers.
#include "appletally/base/result.h"
#include "process_fixture.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

using namespace appletally;
using namespace process_test;
using nlohmann::json;

namespace {

const std::string key(64, 'a');

json answers(const std::string& team, int slots)
{
    return { { "name", team }, { "weighing", "speed-and-take-back" }, { "callers", { "crew" } },
        { "services", { { { "name", team + "-service" }, { "first_version", "v1" }, { "slots", slots }, { "routes", { { { "name", team + "-route" }, { "method", "POST" }, { "path_prefix", "/" + team } } } } } } } };
}

// Three voters on loopback.
struct Mesh {
    Folder folder;
    std::vector<std::unique_ptr<Port>> ports;
    std::vector<Program> voters { 3 };
    int files = 0;

    Mesh()
    {
        json peers = json::array();
        for (int n = 0; n < 3; ++n) {
            ports.push_back(std::make_unique<Port>());
            peers.push_back({ { "host", host(n) }, { "address", ports.back()->address() } });
        }
        for (int n = 0; n < 3; ++n) {
            writeFile(settings(n), { { "cluster", "test" }, { "key", key }, { "host", host(n) }, { "zone", "z1" }, { "region", "r1" }, { "role", "voter" }, { "listen", ports[n]->address() }, { "data", folder / ("data" + std::to_string(n)) }, { "voters", peers } });
            CHECK(format(n, n == 0).code == 0);
            start(n);
        }
        for (Program& it : voters)
            it.waitLine({ "members now:", "c0 ", "c1 ", "c2 " }); // all three vote: "c2(not voting)" does not match
    }

    static std::string host(int n) { return "c" + std::to_string(n); }
    std::string settings(int n) const { return folder / (host(n) + ".json"); }

    Finished format(int n, bool first) const
    {
        std::vector<std::string> arguments { "--format", settings(n) };
        if (first)
            arguments.insert(arguments.begin(), "--first");
        return run("appletally-control", arguments);
    }

    void start(int n)
    {
        voters[n] = Program("appletally-control", { settings(n) });
        voters[n].waitLine({ "started" });
    }

    std::string operatorSettings(const std::string& name, const std::string& withKey = key) const
    {
        json addresses = json::array();
        for (const auto& it : ports)
            addresses.push_back(it->address());
        std::string path = folder / ("operator-" + name + ".json");
        writeFile(path, { { "cluster", "test" }, { "key", withKey }, { "operator", name }, { "voters", addresses } });
        return path;
    }

    std::vector<std::string> submission(const std::string& name, const json& what, const std::vector<std::string>& options = {})
    {
        const std::string file = folder / ("answers" + std::to_string(files++) + ".json");
        writeFile(file, what);
        std::vector<std::string> out { "--json" };
        out.insert(out.end(), options.begin(), options.end());
        out.insert(out.end(), { operatorSettings(name), "submit", file });
        return out;
    }

    Finished submit(const std::string& name, const json& what, const std::vector<std::string>& options = {})
    {
        return run("appletallyctl", submission(name, what, options));
    }

    json read(const std::string& what) const
    {
        const Finished it = run("appletallyctl", { "--json", operatorSettings("reader"), what });
        INFO(it.err);
        REQUIRE(it.code == 0);
        return json::parse(it.out);
    }

    json dump(int n) const
    {
        const Finished it = run("appletallyctl", { operatorSettings("reader"), "dump", ports[n]->address() });
        INFO(it.err);
        REQUIRE(it.code == 0);
        return json::parse(it.out);
    }

    // Polls the voters' dumps until one reports that it leads.
    int leader() const
    {
        for (;;) {
            for (int n = 0; n < 3; ++n) {
                const Finished it = run("appletallyctl", { operatorSettings("reader"), "dump", ports[n]->address() });
                if (it.code == 0 && json::parse(it.out)["leads"] == true)
                    return n;
            }
        }
    }
};

uint64_t versionIn(const Finished& it)
{
    INFO(it.err);
    REQUIRE(it.code == 0);
    return json::parse(it.out)["version"];
}

std::set<uint64_t> versionsIn(const json& list)
{
    std::set<uint64_t> out;
    for (const json& it : list)
        out.insert(it["version"].get<uint64_t>());
    return out;
}

} // namespace

TEST_CASE("kill -9 of the leader during a submit loses no change and applies none twice", "[process][control]")
{
    // Guards against a lost or doubled change: the host of the leader loses power during an operator's change. The operator
    // must get its outcome, and a resend with the same number must get the same one.
    Mesh mesh;
    std::set<uint64_t> accepted { versionIn(mesh.submit("ann", answers("team", 9))) };
    for (int round = 0; round < 3; ++round) {
        const int leading = mesh.leader();
        const json what = answers("team", 10 + round);
        const std::vector<std::string> request { "--request", std::to_string(round + 2), "--base", std::to_string(*accepted.rbegin()) };
        Program ctl("appletallyctl", mesh.submission("ann", what, request));
        mesh.voters[leading].signal(SIGKILL);
        const uint64_t version = versionIn(ctl.finish());
        CHECK(accepted.insert(version).second);
        CHECK(versionIn(mesh.submit("ann", what, request)) == version);
        mesh.start(leading);
    }
    CHECK(versionsIn(mesh.read("versions")) == accepted);
}

TEST_CASE("an evacuation outlives the loss of its leader before, during and after its answer, and a restart of all", "[process][control][evacuation]")
{
    // Guards against a zone that gets requests again, or that stays empty, because the process that took the order was lost.
    Mesh mesh;
    versionIn(mesh.submit("ann", answers("team", 9)));
    const auto order = [&](const char* what, int number) {
        return std::vector<std::string> { "--json", "--request", std::to_string(number), "--base", "1", mesh.operatorSettings("ann"), "evacuate", what, "z1" };
    };
    const auto kill = [&](int n) {
        mesh.voters[n].signal(SIGKILL);
        mesh.voters[n].finish();
    };
    const auto zones = [&] { return mesh.read("status")["evacuated_zones"]; };

    const int first = mesh.leader(); // lost before the order
    kill(first);
    const uint64_t started = versionIn(run("appletallyctl", order("start", 2)));
    mesh.start(first);
    CHECK(zones() == json { "z1" });

    const int second = mesh.leader(); // lost after its answer
    kill(second);
    CHECK(versionIn(run("appletallyctl", order("start", 2))) == started);
    mesh.start(second);

    for (int round = 0; round < 4; ++round) { // lost during the order
        const int leading = mesh.leader();
        Program ctl("appletallyctl", order(round % 2 == 0 ? "end" : "start", 3 + round));
        kill(leading);
        const uint64_t version = versionIn(ctl.finish());
        mesh.start(leading);
        CHECK(versionIn(run("appletallyctl", order(round % 2 == 0 ? "end" : "start", 3 + round))) == version);
        CHECK(zones().size() == (round % 2 == 0 ? 0U : 1U));
    }
    for (int n = 0; n < 3; ++n)
        kill(n);
    for (int n = 0; n < 3; ++n)
        mesh.start(n);
    CHECK(zones() == json { "z1" });
}

TEST_CASE("a frozen leader is replaced, and follows the new one after it resumes", "[process][control]")
{
    // Guards against a stale leader: the leader's host hangs for some seconds (SIGSTOP) and resumes as leader of an old term.
    // Changes must go on meanwhile, and its messages must not alter what was accepted.
    Mesh mesh;
    const uint64_t first = versionIn(mesh.submit("ann", answers("team", 10)));
    const int frozen = mesh.leader();
    mesh.voters[frozen].signal(SIGSTOP);
    const uint64_t second = versionIn(mesh.submit("ann", answers("team", 11)));
    CHECK(second > first);
    for (int n = 0; n < 3; ++n) {
        if (n != frozen) // released before the frozen replica receives it
            mesh.voters[n].waitLine({ "version-released", "version " + std::to_string(second) });
    }
    mesh.voters[frozen].signal(SIGCONT);
    mesh.voters[frozen].waitLine({ "version-released", "version " + std::to_string(second) });
    CHECK(versionsIn(mesh.read("versions")) == std::set<uint64_t> { first, second });
    CHECK(mesh.dump(frozen)["version"] == second);
}

TEST_CASE("a host with a lost disk returns as a new replica, and after its repair another host may be lost", "[process][control]")
{
    // Guards against a lost version: a voter's disk is replaced. The empty replica must not vote under the old id, and after
    // the operator has replaced the voter, the loss of another host must not lose a version.
    Mesh mesh;
    const uint64_t first = versionIn(mesh.submit("ann", answers("team", 10)));
    const int lost = (mesh.leader() + 1) % 3;
    const uint64_t old = mesh.dump(lost)["replica"]["replica"];
    mesh.voters[lost].signal(SIGKILL);
    mesh.voters[lost].finish();
    std::filesystem::remove_all(mesh.folder / ("data" + std::to_string(lost)));

    CHECK(run("appletally-control", { mesh.settings(lost) }).code == base::exitCode(base::Code::FolderNotFormatted));
    CHECK(mesh.format(lost, false).code == 0);
    mesh.start(lost);
    const uint64_t fresh = mesh.dump(lost)["replica"]["replica"];
    CHECK(fresh != old);
    const uint64_t second = versionIn(mesh.submit("ann", answers("team", 11)));
    CHECK(mesh.dump(lost)["version"] == 0); // not a member yet
    // It has no state: a read from this process alone must be marked as possibly outdated.
    const std::string alone = mesh.operatorSettings("alone");
    writeFile(alone, { { "cluster", "test" }, { "key", key }, { "operator", "alone" }, { "voters", { mesh.ports[lost]->address() } }, { "patience_ms", 500 } });
    CHECK(run("appletallyctl", { alone, "versions" }).err.find("may be old") != std::string::npos);

    const Finished replaced = run("appletallyctl", { mesh.operatorSettings("ann"), "replace-voter", std::to_string(old), std::to_string(fresh) });
    INFO(replaced.err);
    CHECK(replaced.code == 0);
    mesh.voters[lost].waitLine({ "version-released", "version " + std::to_string(second) });

    const int next = (lost + 1) % 3;
    mesh.voters[next].signal(SIGKILL);
    mesh.voters[next].finish();
    const uint64_t third = versionIn(mesh.submit("ann", answers("team", 12)));
    CHECK(versionsIn(mesh.read("versions")) == std::set<uint64_t> { first, second, third });
}

TEST_CASE("of two concurrent changes to the same answers one succeeds, and the other fails and names the winner", "[process][control]")
{
    // Guards against a lost update: two operators react to the same alarm with changes based on the same version. If both
    // were accepted, the second would silently undo the first.
    Mesh mesh;
    const std::string from = std::to_string(versionIn(mesh.submit("eve", answers("team", 5))));
    Program ann("appletallyctl", mesh.submission("ann", answers("team", 10), { "--request", "1", "--base", from }));
    Program bob("appletallyctl", mesh.submission("bob", answers("team", 20), { "--request", "1", "--base", from }));
    const Finished a = ann.finish();
    const Finished b = bob.finish();
    const int conflict = base::exitCode(base::Code::VersionConflict);
    INFO(a.err << b.err);
    CHECK(((a.code == 0 && b.code == conflict) || (a.code == conflict && b.code == 0)));
    const bool annWon = a.code == 0;
    CHECK((annWon ? b.err : a.err).find(annWon ? "ann" : "bob") != std::string::npos);

    const Finished reused = mesh.submit("eve", answers("team", 6), { "--request", "1" });
    CHECK(reused.code == base::exitCode(base::Code::RequestNumberReused));
    CHECK(mesh.read("versions").size() == 2);
}

TEST_CASE("a wrong key and invalid bytes are rejected and counted, and do not affect other clients", "[process][control]")
{
    // Guards against access without the key, and against a port scanner's HTTP request that disturbs the process.
    Mesh mesh;
    const Finished wrong = run("appletallyctl", { mesh.operatorSettings("mallory", std::string(64, 'b')), "status" });
    CHECK(wrong.code == base::exitCode(base::Code::WrongKey));

    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(mesh.ports[0]->number());
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0);
    const std::string garbage = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    CHECK(send(fd, garbage.data(), garbage.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(garbage.size()));
    char buf[64];
    while (recv(fd, buf, sizeof buf, 0) > 0) { }
    close(fd);
    mesh.voters[0].waitLine({ "link-refused", "message-too-large" });
    CHECK(mesh.dump(0)["port"]["too_large"] == 1);
    CHECK(versionIn(mesh.submit("ann", answers("team", 10))) != 0);
}

TEST_CASE("starting nodes wait for a majority of voters and never start with an older version", "[process][control]")
{
    // Guards against a return to an older version: a rack restarts while two of three voters do not answer, and the third
    // one may be behind. The nodes must stay "not ready" until a majority answers.
    Mesh mesh;
    const uint64_t version = versionIn(mesh.submit("ann", answers("team", 10)));
    const int alone = (mesh.leader() + 1) % 3;
    mesh.voters[alone].waitLine({ "version-released", "version " + std::to_string(version) });
    for (int n = 0; n < 3; ++n) {
        if (n != alone)
            mesh.voters[n].signal(SIGSTOP);
    }
    writeFile(mesh.folder / "light.json", { { "cluster", "test" }, { "key", key }, { "prefix", "n" }, { "nodes", 5 }, { "sources", { mesh.ports[alone]->address() } } });
    Program nodes("light-nodes", { mesh.folder / "light.json" });
    nodes.waitLine({ "\"ready\":0", "\"snapshots\":5" });
    nodes.waitLine({ "\"ready\":0", "\"snapshots\":5" }); // still so one second later
    for (int n = 0; n < 3; ++n) {
        if (n != alone)
            mesh.voters[n].signal(SIGCONT);
    }
    nodes.waitLine({ "at_ms", "\"version\":" + std::to_string(version) });
}

TEST_CASE("shutdown is graceful and bounded, and settings are validated completely", "[process][control]")
{
    // Guards against an upgrade that fails because a stop does not exit with code 0, and against a process that starts with
    // a mistyped key in its settings.
    Mesh mesh;
    mesh.voters[2].signal(SIGTERM);
    mesh.voters[2].waitLine({ "stopped" });
    CHECK(mesh.voters[2].finish().code == 0);

    CHECK(run("appletally-control", { "--check", mesh.settings(0) }).code == 0);
    writeFile(mesh.folder / "bad.json", { { "cluster", "test" }, { "key", key }, { "host", "c0" }, { "zone", "z" }, { "region", "r" }, { "listen", "127.0.0.1:1" }, { "data", "d" }, { "voters", { { { "host", "c0" }, { "address", "127.0.0.1:1" } } } }, { "starts_per_secnd", 5 } });
    const Finished bad = run("appletally-control", { "--check", mesh.folder / "bad.json" });
    CHECK(bad.code == base::exitCode(base::Code::SettingsUnknownKey));
    CHECK(bad.err.find("bad.json: starts_per_secnd: expected no such key") != std::string::npos);

    mesh.start(2);
    writeFile(mesh.folder / "twice.json", [&] { json it = json::parse(std::string(R"({"cluster":"test","zone":"z","region":"r","host":"c0","role":"relay"})")); it["key"] = key; it["listen"] = mesh.ports[0]->address(); it["voters"] = { { { "host", "c0" }, { "address", mesh.ports[0]->address() } } }; return it; }());
    CHECK(run("appletally-control", { mesh.folder / "twice.json" }).code == base::exitCode(base::Code::AddressInUse));
}

TEST_CASE("a restarting voter applies its log without logging each change", "[process][control]")
{
    // Guards against a slow start: after a power loss each control process logged every old change again before it listened.
    // With a thirteenth of a core, nodes served no requests for half a second longer, and the logs showed changes as accepted
    // that were minutes old.
    Mesh mesh;
    for (int slots = 1; slots <= 6; ++slots)
        versionIn(mesh.submit("crew", answers("plugs", slots)));
    const uint64_t newest = versionIn(mesh.submit("crew", answers("plugs", 9)));
    for (Program& it : mesh.voters) {
        it.signal(SIGKILL);
        it.finish();
    }
    for (int n = 0; n < 3; ++n)
        mesh.start(n);
    CHECK(mesh.read("status")["version"] == newest);
    for (Program& it : mesh.voters) {
        it.signal(SIGTERM);
        const std::string out = it.finish().out;
        size_t accepted = 0;
        for (size_t at = out.find("version-accepted"); at != std::string::npos; at = out.find("version-accepted", at + 1))
            ++accepted;
        CHECK(accepted == 1);
    }
}
