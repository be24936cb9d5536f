// appletally-node as a process: invalid settings, occupied ports, graceful shutdown.
#include "appletally/appletally.h"
#include "process_fixture.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace process_test;
using nlohmann::json;

namespace {

json goodSettings(const std::vector<std::string>& addresses)
{
    return { { "cluster", "test" }, { "key", std::string(64, 'a') }, { "host", "n1" }, { "zone", "z1" }, { "region", "r1" },
        { "listen", { { "callers", addresses[0] }, { "inner", addresses[1] }, { "announce", addresses[2] }, { "operators", addresses[3] } } },
        { "voters", { "127.0.0.1:9" } }, { "drain_ms", 0 } };
}

struct Ports {
    Port callers, inner, announce, operators;
    std::vector<std::string> addresses() const { return { callers.address(), inner.address(), announce.address(), operators.address() }; }
};

} // namespace

TEST_CASE("a node rejects invalid settings with one line", "[process][node]")
{
    // A mistyped key or a wrong address may surface only at an unattended reboot. One line has to name the file, the key and
    // what was expected, before the node listens.
    using appletally::Code;
    struct Case {
        json patch; // merged into valid settings; null removes a key
        Code code;
        const char* line;
    };
    const Case cases[] = {
        { { { "zoen", "z1" } }, Code::SettingsUnknownKey, "zoen: expected no such key" },
        { { { "zone", 7 } }, Code::SettingsWrongType, "zone: expected a string of 1 to 64 bytes" },
        { { { "drain_ms", 60001 } }, Code::SettingsOutOfRange, "drain_ms: expected a whole number from 0 to 60000" },
        { { { "host", nullptr } }, Code::SettingsMissingKey, "host: expected a string of 1 to 64 bytes" },
        { { { "key", "short" } }, Code::SettingsOutOfRange, "key: expected 64 hex digits" },
        { { { "listen", { { "announce", "10.0.0.1:80" } } } }, Code::SettingsOutOfRange, "listen.announce: expected a loopback address" },
    };
    Folder folder;
    for (const Case& it : cases) {
        json settings = goodSettings({ "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4" });
        settings.merge_patch(it.patch);
        writeFile(folder / "n.json", settings);
        const Finished done = run("appletally-node", { "--check", folder / "n.json" });
        INFO(done.err);
        CHECK(done.code == appletally::exitCode(it.code));
        CHECK(done.err.find((folder / "n.json") + ": " + it.line) != std::string::npos);
        CHECK(std::count(done.err.begin(), done.err.end(), '\n') == 1);
    }
}

TEST_CASE("a node whose port is in use names the address and exits with its code", "[process][node]")
{
    Folder folder;
    Ports ports;
    writeFile(folder / "n.json", goodSettings(ports.addresses()));
    Program first("appletally-node", { folder / "n.json" });
    first.waitLine({ "started" });
    const Finished second = run("appletally-node", { folder / "n.json" });
    CHECK(second.code == appletally::exitCode(appletally::Code::AddressInUse));
    CHECK(second.err.find("cannot listen on 127.0.0.1:") != std::string::npos);
}

TEST_CASE("a node shuts down gracefully on SIGTERM, also without control", "[process][node]")
{
    // The host is shut down while control is unreachable. A node that waited for control would be killed in the end, which
    // aborts its active requests.
    Folder folder;
    Ports ports;
    writeFile(folder / "n.json", goodSettings(ports.addresses()));
    Program node("appletally-node", { folder / "n.json" });
    node.waitLine({ "started" });
    node.signal(SIGTERM);
    node.waitLine({ "stopped" });
    CHECK(node.finish().code == 0);
}
