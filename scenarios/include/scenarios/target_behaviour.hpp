// How a fake target behaves.
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

/// What is wrong with some answers.
enum class answer_fault
{
    none,
    malformed, ///< truncated or garbled, as the driver sees it
    crossed,   ///< another attempt's id
    late,      ///< long after it was computed
    failed,    ///< it reports a failure
};

/// What a target says about its load.
enum class load_reporting
{
    honest,
    idle, ///< always idle
    busy, ///< always full
    none,
};

struct target_behaviour
{
    std::uint32_t slots = 4;
    std::uint32_t queue = 8;
    std::uint32_t connections = 80;
    duration connect_cost = 1ms;
    duration service_time = 4ms; ///< mean; half of it is the least
    std::uint32_t warm_after = 50;
    std::uint32_t cold_slots = 1;
    duration fall_time = 3s; ///< fails everything for so long if overrun
    double cold_factor = 3;  ///< slower by this while cold
    double straggle_share = 0;
    double straggle_factor = 20;
    bool draining = false;
    answer_fault fault = answer_fault::none;
    double fault_share = 1;
    load_reporting load = load_reporting::honest;
    std::vector<snapshot_id> holds{{1, 1}};      ///< oldest first
    std::map<std::uint64_t, shard_index> places; ///< shard by map
};

} // namespace kumquatramp::scenarios

#endif
