// Tests that scenarios are parsed, run deterministically by seed, and checked
// against their expectations.
#include <catch2/catch.hpp>
#include <scenarios/scenario_run.hpp>

using namespace kumquatramp;
using namespace kumquatramp::scenarios;

namespace
{

constexpr auto text = R"(deployment small
seed 3
run 20s
rule ramp availability_zones 10s
at 12s restart target stock-finder-0-0 # no word of it
at 1s load stock-finder 50/s
)";

scenario_verdict run(std::string const& lines)
{
    return run_scenario(parse_scenario("test", lines).value()).value();
}

} // namespace

TEST_CASE("steps are sorted by time regardless of their order in the text")
{
    auto const read = parse_scenario("test", text).value();
    REQUIRE(read.seed == 3);
    REQUIRE(read.length == 20s);
    REQUIRE(read.rules ==
            std::vector<std::string>{"ramp availability_zones 10s"});
    REQUIRE(read.steps[0].words[0] == "load");
    REQUIRE(read.steps[1].line == 5);
    REQUIRE(read.steps[1].words.size() == 3);
}

TEST_CASE("a malformed line is rejected with its line number")
{
    auto const bad = GENERATE("at soon load stock-finder 50/s", "run twice",
                              "fly", "expect");
    auto const read = parse_scenario("test", std::string(text) + bad);
    REQUIRE_FALSE(read);
    REQUIRE(read.error().detail.find("test:7:") == 0);
}

TEST_CASE("an invalid step or expectation is rejected")
{
    auto const bad =
        GENERATE("at 1s load cake-shop 1/s", "at 1s kill host osu-9",
                 "expect coverage of x", "at 1s freeze host osu-1 for ever");
    auto const read = parse_scenario("test", std::string("run 2s\n") + bad);
    REQUIRE_FALSE(run_scenario(read.value()).has_value());
}

TEST_CASE("the same seed gives the same run, another seed a different one")
{
    auto const first = run(text);
    auto const second = run(text);
    auto const other = run(std::string(text) + "seed 4\n");
    REQUIRE(first.requests > 500);
    REQUIRE(first.executions == second.executions);
    REQUIRE(first.coverage == second.coverage);
    REQUIRE(first.executions != other.executions);
}

TEST_CASE("an expectation that does not hold is reported as a fault")
{
    auto const lines = std::string(text) +
                       "expect no work to availability_zone osu after 8s\n";
    auto const verdict = run(lines);
    REQUIRE(verdict.faults.size() == 1);
    REQUIRE(verdict.faults[0].find("test:7:") == 0);
}
