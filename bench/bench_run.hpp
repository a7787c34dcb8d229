// Runs a deployment's mix of services under one policy and set of
// disturbances.
#ifndef KUMQUATRAMP_BENCH_BENCH_RUN_HPP
#define KUMQUATRAMP_BENCH_BENCH_RUN_HPP

#include "measurement.hpp"
#include <functional>
#include <map>
#include <routing/replica_chooser.hpp>
#include <scenarios/world.hpp>
#include <string>
#include <vector>

namespace kumquatramp::bench
{

/// A change applied during the run, at a time after its start.
struct disturbance
{
    duration at;
    std::function<void(scenarios::world&)> apply;
};

struct bench_setup
{
    std::string deployment = "accra";
    choice_policy choice = choice_policy::expected_latency;
    std::vector<std::string> rules;
    /// Multiple of the normal load. Until 5 s before the end of the warm-up it
    /// is limited to 1.
    double load = 1.0;
    double straggle_share = 0;
    std::vector<disturbance> disturbances;
    std::vector<measured_span> spans; ///< default: one after the warm-up
};

/// The services that a deployment's bench measures.
std::vector<std::string> measured_services(std::string const& deployment);

/// Returns the measurements of each service, one per span, in the order of the
/// spans in the setup.
std::map<std::string, std::vector<measurement>>
run_bench(bench_setup const& setup);

/// Rules that apply to every run of the deployment.
std::vector<std::string> base_rules(std::string const& deployment);

/// Time allowed for hosts to discover each other and warm their targets.
inline constexpr duration warm_up = 30s;

/// Length of the default span.
inline constexpr duration measured_time = 20s;

/// Answers that take longer do not count as on time. Orders may wait in a
/// queue, so their limit is longer.
inline constexpr duration time_limit = 230ms;
inline constexpr duration order_time_limit = 2s;

} // namespace kumquatramp::bench

#endif
