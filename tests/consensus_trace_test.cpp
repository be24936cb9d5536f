// Replays recorded traces of the replicated log and checks the outcome that each states.
#include "consensus_cluster.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace appletally;
using namespace appletally::consensus;
using namespace appletally::consensus::testing;

// Format of a trace: "voters N seed S", optionally "election-timeout MS", commands, "settle", then the expected
// outcome.
static void replay(const std::filesystem::path& path)
{
    std::ifstream in(path);
    std::string line;
    std::unique_ptr<Cluster> cluster;
    while (std::getline(in, line)) {
        INFO(line);
        std::istringstream words(line);
        std::string word;
        uint64_t n = 0;
        if (line.empty() || line[0] == '#')
            continue;
        words >> word;
        if (word == "voters") {
            uint64_t seed = 0;
            int64_t timeout = 500;
            words >> n >> word >> seed >> word >> timeout;
            cluster = std::make_unique<Cluster>(n, seed, base::Duration { timeout > 0 ? timeout : 500 });
        } else if (word == "settle") {
            CHECK_NOTHROW(cluster->settle());
        } else if (word == "expect-accepted") {
            words >> n;
            CHECK(cluster->oracle.accepted.size() == n);
        } else if (word == "expect-reads-answered") {
            words >> n;
            CHECK(cluster->oracle.readsAnswered == n);
        } else {
            CHECK_NOTHROW(cluster->run(parseAction(line)));
        }
    }
    REQUIRE(cluster);
}

TEST_CASE("recorded traces end with their stated outcome", "[consensus][trace]")
{
    size_t count = 0;
    for (const auto& it : std::filesystem::directory_iterator(std::string(SOURCE_FOLDER) + "/tests/traces")) {
        if (it.path().filename().string().rfind("consensus-", 0) != 0)
            continue;
        CAPTURE(it.path().filename().string());
        replay(it.path());
        ++count;
    }
    CHECK(count >= 7);
}
