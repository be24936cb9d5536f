// main() of all tests. RapidCheck gets a fixed seed unless RC_PARAMS is set, so that CI runs are repeatable.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>

int main(int argc, char** argv)
{
    setenv("RC_PARAMS", "seed=20261202 max_success=100", 0);
    return Catch::Session().run(argc, argv);
}
