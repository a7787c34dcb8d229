// Runs a scenario and checks its invariants and expectations.
#include <scenarios/scenario_run.hpp>
#include <scenarios/world.hpp>

namespace kumquatramp::scenarios
{

namespace
{

// Maximum number of violations listed per invariant.
constexpr std::size_t max_listed = 5;

std::string format_seconds(time_point at)
{
    auto const ms = at.time_since_epoch() / 1ms;
    return std::to_string(ms / 1000) + "." +
           std::to_string(1000 + ms % 1000).substr(1) + "s";
}

std::string location(scenario const& definition, scenario_step const& step)
{
    return definition.name + ":" + std::to_string(step.line);
}

void list_violations(violations const& found, std::vector<std::string>& faults)
{
    std::map<std::string_view, std::size_t> counts;
    for (auto const& each : found)
    {
        if (++counts[each.invariant] <= max_listed)
        {
            faults.push_back("broken: " + std::string(each.invariant) +
                             ", at " + format_seconds(each.at) + ": " +
                             each.text);
        }
    }
    for (auto const& [invariant, count] : counts)
    {
        faults.push_back("broken: " + std::string(invariant) + ", " +
                         std::to_string(count) + " violations in total");
    }
}

double mean_coverage(run_log const& log)
{
    double sum = 0;
    for (auto const& each : log.callers)
    {
        sum += each.failed || each.lost ? 0 : each.coverage;
    }
    auto const count = std::max<std::size_t>(log.callers.size(), 1);
    return sum / static_cast<double>(count);
}

} // namespace

result<scenario_verdict> run_scenario(scenario const& definition)
{
    auto sizes = find_deployment(definition.deployment);
    if (!sizes)
    {
        return failure(error_kind::malformed_request,
                       definition.name + ": unknown deployment " +
                           definition.deployment);
    }
    world_options options;
    options.seed = definition.seed;
    options.rules = definition.rules;
    world simulation(std::move(*sizes), options);
    for (auto const& step : definition.steps)
    {
        simulation.run_until(time_point{} + step.at);
        if (!execute_step(simulation, step))
        {
            return failure(error_kind::malformed_request,
                           location(definition, step) + ": invalid step");
        }
    }
    auto const end = time_point{} + definition.length;
    simulation.run_until(end);
    scenario_verdict verdict;
    list_violations(check_all(simulation.log(), end), verdict.faults);
    for (auto const& each : definition.expectations)
    {
        auto const fault = check_expectation(simulation, each);
        if (!fault)
        {
            return failure(error_kind::malformed_request,
                           location(definition, each) +
                               ": invalid expectation");
        }
        if (!fault->empty())
        {
            verdict.faults.push_back(location(definition, each) + ": " +
                                     *fault);
        }
    }
    verdict.requests = simulation.log().callers.size();
    verdict.executions = simulation.log().executions.size();
    verdict.coverage = mean_coverage(simulation.log());
    return verdict;
}

} // namespace kumquatramp::scenarios
