// A control process in the test's own loop, on a folder that goes with it.
#pragma once

#include "appletally/consensus/disk_log.h"
#include "appletally/control/process.h"
#include "process_fixture.h"

#include <catch2/catch.hpp>

namespace control_test {

using namespace appletally;

enum class Begins { Alone, // leads a log of its own
    Empty }; // waits to be let in by others

struct TestControl {
    TestControl(kj::AsyncIoContext& io, Begins begins)
        : process(io, settings(), disk(begins))
    {
    }

    static control::ControlSettings settings()
    {
        control::ControlSettings out;
        out.membership = { { "mesh" }, {}, { "c" } };
        out.listen = { "127.0.0.1", 0 };
        out.claims = false;
        return out;
    }

    consensus::DiskLog disk(Begins begins) const
    {
        std::vector<consensus::Member> members;
        if (begins == Begins::Alone)
            members.push_back({ { 9 }, { "c" }, consensus::Role::Voter, {} });
        REQUIRE(consensus::formatFolder(consensus::systemFileCalls(), folder / "data", { { 9 }, { "c" }, members }));
        return consensus::openFolder(consensus::systemFileCalls(), folder / "data").value();
    }

    process_test::Folder folder;
    control::ControlProcess process;
};

} // namespace control_test
