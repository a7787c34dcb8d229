// Input event: a send to a target ended.
#ifndef KUMQUATRAMP_NODE_TARGET_REPLY_HPP
#define KUMQUATRAMP_NODE_TARGET_REPLY_HPP

#include <base/attempt_id.hpp>
#include <base/snapshot_id.hpp>
#include <limits/attempt_outcome.hpp>
#include <limits/load_report.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kumquatramp
{

/// Exactly one is due for each send_attempt action.
struct target_reply
{
    attempt_id id; ///< of the send_attempt that ended
    attempt_outcome outcome = attempt_outcome::broken;

    /// The id that the target echoed, for outcome `answered`. A reply whose
    /// echoed id or shard differs from the request is treated as malformed; one
    /// from another snapshot is not merged.
    std::optional<attempt_id> echoed;
    shard_index shard;
    snapshot_id snapshot;
    std::string payload;

    std::optional<load_report> load;
    std::vector<snapshot_id> holds; ///< snapshots that the target can serve
};

} // namespace kumquatramp

#endif
