// One shard's part of the answer to a query.
#ifndef KUMQUATRAMP_QUERY_SHARD_ANSWER_HPP
#define KUMQUATRAMP_QUERY_SHARD_ANSWER_HPP

#include <base/ids.hpp>
#include <query/shard_state.hpp>
#include <string>

namespace kumquatramp
{

struct shard_answer
{
    shard_index shard;
    shard_state state = shard_state::missing;
    std::string payload; ///< set if state is answered
};

} // namespace kumquatramp

#endif
