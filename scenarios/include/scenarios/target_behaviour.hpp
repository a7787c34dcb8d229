// Settings of a simulated target's behaviour.
#ifndef KUMQUATRAMP_SCENARIOS_TARGET_BEHAVIOUR_HPP
#define KUMQUATRAMP_SCENARIOS_TARGET_BEHAVIOUR_HPP

#include <base/ids.hpp>
#include <base/snapshot_id.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <map>
#include <vector>

namespace kumquatramp::scenarios
{

/// The fault injected into a share of the answers.
enum class answer_fault
{
    none,
    malformed, ///< truncated, with the outcome `malformed`
    crossed,   ///< carries the id of another attempt
    late,      ///< sent long after it was computed
    failed,    ///< reports a failure
};

/// The load that a target reports in its answers.
enum class load_reporting
{
    honest,
    idle, ///< always reports no load
    busy, ///< always reports full slots and queue
    none,
};

struct target_behaviour
{
    std::uint32_t slots = 4;
    std::uint32_t queue = 8;
    std::uint32_t connections = 80;
    duration connect_cost = 1ms;
    duration service_time = 4ms;   ///< mean; the minimum is half of it
    std::uint32_t warm_after = 50; ///< answers until cold start ends
    std::uint32_t cold_slots = 1;  ///< execution slots while cold
    duration overrun_time = 3s;    ///< fails new work for this long after an
                                   ///< overrun in cold start
    double cold_factor = 3;        ///< slowdown while cold
    double straggle_share = 0;     ///< fraction of stragglers, 0 to 1
    double straggle_factor = 20;   ///< slowdown of a straggler
    bool draining = false;         ///< refuses all new work
    answer_fault fault = answer_fault::none;
    double fault_share = 1; ///< fraction of the answers with `fault`
    load_reporting load = load_reporting::honest;
    std::vector<snapshot_id> holds{{1, 1}};      ///< oldest first
    std::map<std::uint64_t, shard_index> places; ///< shard held, by map version
};

} // namespace kumquatramp::scenarios

#endif
