// State of one shard in the answer to a query.
#ifndef KUMQUATRAMP_QUERY_SHARD_STATE_HPP
#define KUMQUATRAMP_QUERY_SHARD_STATE_HPP

#include <cstdint>
#include <string_view>

namespace kumquatramp
{

enum class shard_state : std::uint8_t
{
    answered,       ///< counted in the coverage
    missing,        ///< the sub-request could not be sent to any target
    late,           ///< no answer by the time the query ended
    failed,         ///< targets failed or sent malformed answers
    wrong_snapshot, ///< the shard's targets do not hold the snapshot
};

std::string_view to_string(shard_state state) noexcept;

} // namespace kumquatramp

#endif
