// The shards' answers to one query, of one snapshot only.
#ifndef KUMQUATRAMP_QUERY_ANSWER_SET_HPP
#define KUMQUATRAMP_QUERY_ANSWER_SET_HPP

#include <base/ids.hpp>
#include <base/snapshot_id.hpp>
#include <cstdint>
#include <query/shard_answer.hpp>
#include <string>
#include <vector>

namespace kumquatramp
{

/// What became of an answer that was offered to an answer_set.
enum class merge_result : std::uint8_t
{
    merged,         ///< counted
    duplicate,      ///< its shard has been counted already
    other_snapshot, ///< of another snapshot than the query settled on
    unknown_shard,  ///< the snapshot's map has no such shard
};

/// Not safe to share between threads.
///
///     answer_set set{10, {1, 0}};       // any index of map 1
///     set.add(shard_index{0}, {1, 7}, "..."); // settles on 1/7
///     set.coverage();                   // 0.1
///
/// Invariant: all counted answers are of snapshot(), each shard once.
class answer_set
{
public:
    /// Shards of the map; wanted.index 0 means that the first answer
    /// settles the index.
    answer_set(std::uint32_t shards, snapshot_id wanted);

    /// The snapshot settled on; index 0 if it is open still.
    snapshot_id snapshot() const noexcept { return snapshot_; }

    merge_result add(shard_index shard, snapshot_id of, std::string payload);

    /// Settles on another snapshot of the same map and drops every answer
    /// of the former one. Returns the shards that were dropped.
    std::vector<shard_index> reset_to(snapshot_id snapshot);

    /// Says why a shard has no answer; ignored once it has one.
    void mark(shard_index shard, shard_state why);

    bool has(shard_index shard) const;
    std::uint32_t answered() const noexcept { return answered_; }
    std::uint32_t shards() const noexcept;
    bool all_answered() const noexcept;

    /// Answered shards over all shards; 0 for a map without shards.
    double coverage() const noexcept;

    /// Hands the answers over; the set is empty afterwards.
    std::vector<shard_answer> take();

private:
    snapshot_id snapshot_;
    std::uint32_t answered_ = 0; // count of state answered in answers_
    std::vector<shard_answer> answers_;
};

} // namespace kumquatramp

#endif
