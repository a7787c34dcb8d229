// A scenario: timed steps, and the expectations checked at the end of the run.
#ifndef KUMQUATRAMP_SCENARIOS_SCENARIO_HPP
#define KUMQUATRAMP_SCENARIOS_SCENARIO_HPP

#include <base/result.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp::scenarios
{

/// One line of a scenario, split into words.
struct scenario_step
{
    std::uint32_t line = 0; ///< counted from 1
    duration at{0};         ///< since the start of the run
    std::vector<std::string> words;
};

/// A parsed scenario file; docs/SCENARIOS.md describes the language.
struct scenario
{
    std::string name;
    std::string deployment = "small";
    std::uint64_t seed = 1;
    duration length = 30s;
    std::vector<std::string> rules;   ///< in force from the start
    std::vector<scenario_step> steps; ///< sorted by time
    std::vector<scenario_step> expectations;
};

/// Parses a scenario. Fails with malformed_request, whose detail quotes the
/// first malformed line. The contents of steps and expectations are checked
/// only when the scenario is run.
result<scenario> parse_scenario(std::string name, std::string_view text);

/// Parses a duration such as "250ms", "4s" or "1m"; nullopt if malformed.
std::optional<duration> parse_duration(std::string_view text);

/// Parses a number followed by `suffix`, e.g. "99%" or "200/s"; nullopt if
/// malformed.
std::optional<double> parse_number(std::string_view text,
                                   std::string_view suffix);

} // namespace kumquatramp::scenarios

#endif
