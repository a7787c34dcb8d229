// The answer to a caller's request.
#ifndef KUMQUATRAMP_NODE_REQUEST_ANSWER_HPP
#define KUMQUATRAMP_NODE_REQUEST_ANSWER_HPP

#include <base/error.hpp>
#include <base/error_answer.hpp>
#include <base/ids.hpp>
#include <base/snapshot_id.hpp>
#include <base/time.hpp>
#include <optional>
#include <query/shard_answer.hpp>
#include <vector>

namespace kumquatramp
{

struct request_answer
{
    /// Set if the request failed; `state` then tells whether it ran.
    std::optional<error> failed;
    run_state state = run_state::not_run;

    /// The snapshot from which all answered shards answered; not set for
    /// non-idempotent requests.
    snapshot_id snapshot;

    /// All shards of the snapshot's map, in order; one entry for a
    /// non-idempotent request that ran. Empty if the request was refused or
    /// cancelled, or if a non-idempotent request failed.
    std::vector<shard_answer> shards;

    /// Fraction of shards that answered; also set if the request failed.
    double coverage = 0;

    duration elapsed{0};
    std::uint32_t sends = 0; ///< sends to targets, including hedges and retries
    std::uint32_t hedges = 0;
};

} // namespace kumquatramp

#endif
