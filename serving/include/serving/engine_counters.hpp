// Counters of the request engine: hedges, retries and skipped shards.
#ifndef KUMQUATRAMP_SERVING_ENGINE_COUNTERS_HPP
#define KUMQUATRAMP_SERVING_ENGINE_COUNTERS_HPP

#include <cstdint>

namespace kumquatramp::serving
{

/// Totals since the start of the engine.
struct engine_counters
{
    std::uint64_t far_sends = 0; ///< to targets in other availability zones
    std::uint64_t hedges = 0;    ///< second sends while an overdue one is open
    std::uint64_t retries = 0;   ///< sends after a failed or refused one
    /// Retry budget exhausted; counted at each check of an overdue attempt.
    std::uint64_t hedges_denied = 0;
    std::uint64_t retries_denied = 0; ///< not sent: retry budget exhausted
    std::uint64_t shards_skipped = 0; ///< the shard's target was full
};

} // namespace kumquatramp::serving

#endif
