// Runs a scenario and checks its invariants and expectations.
#ifndef KUMQUATRAMP_SCENARIOS_SCENARIO_RUN_HPP
#define KUMQUATRAMP_SCENARIOS_SCENARIO_RUN_HPP

#include <scenarios/invariants.hpp>
#include <scenarios/scenario.hpp>
#include <string>
#include <vector>

namespace kumquatramp::scenarios
{

class world;

/// The result of a run.
struct scenario_verdict
{
    std::vector<std::string> faults; ///< one line each; empty if passed
    std::size_t requests = 0;        ///< callers' completed requests
    std::size_t executions = 0;      ///< sub-requests accepted by targets
    double coverage = 0;             ///< mean over all requests
};

/// Runs the scenario with its seed. Fails with malformed_request if the
/// deployment is unknown, or if a step or an expectation is invalid; the detail
/// names its line.
result<scenario_verdict> run_scenario(scenario const& definition);

/// Executes one step; returns false if the step is invalid.
bool execute_step(world& simulation, scenario_step const& step);

/// Checks an expectation at the end of a run. Returns an empty string if it
/// holds, a description of what was observed if it does not, and nullopt if the
/// expectation is invalid.
std::optional<std::string> check_expectation(world& simulation,
                                             scenario_step const& expectation);

} // namespace kumquatramp::scenarios

#endif
