// Runs a control process in the test's event loop, with a temporary data folder.
#pragma once

#include "appletally/consensus/disk_log.h"
#include "appletally/control/process.h"
#include "process_fixture.h"

#include <catch2/catch.hpp>

namespace control_test {

using namespace appletally;

enum class StartState { Leader, // leader of a log with this replica only
    NotMember }; // empty folder, waits until a leader adds it

struct TestControl {
    TestControl(kj::AsyncIoContext& io, StartState startState, std::vector<base::ZoneName> zones = {})
        : process(io, settings(std::move(zones)), disk(startState))
    {
    }

    static control::ControlSettings settings(std::vector<base::ZoneName> zones)
    {
        control::ControlSettings out;
        out.zones = std::move(zones);
        out.membership = { { "mesh" }, {}, { "c" } };
        out.listen = { "127.0.0.1", 0 };
        out.claims = false;
        return out;
    }

    consensus::DiskLog disk(StartState startState) const
    {
        std::vector<consensus::Member> members;
        if (startState == StartState::Leader)
            members.push_back({ { 9 }, { "c" }, consensus::Role::Voter, {} });
        REQUIRE(consensus::formatFolder(consensus::systemFileCalls(), folder / "data", { { 9 }, { "c" }, members }));
        return consensus::openFolder(consensus::systemFileCalls(), folder / "data").value();
    }

    process_test::Folder folder;
    control::ControlProcess process;
};

} // namespace control_test
