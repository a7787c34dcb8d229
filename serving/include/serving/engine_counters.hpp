// What the engine has decided beyond first sends, since its start.
#ifndef KUMQUATRAMP_SERVING_ENGINE_COUNTERS_HPP
#define KUMQUATRAMP_SERVING_ENGINE_COUNTERS_HPP

#include <cstdint>

namespace kumquatramp::serving
{

struct engine_counters
{
    std::uint64_t hedges = 0;         ///< second sends beside an overdue one
    std::uint64_t retries = 0;        ///< sends after one that ended badly
    std::uint64_t hedges_denied = 0;  ///< overdue, and the budget was spent
    std::uint64_t retries_denied = 0; ///< failed, and the budget was spent
    std::uint64_t shards_skipped = 0; ///< shards left out: their targets full
};

} // namespace kumquatramp::serving

#endif
