// Collects the shards' answers to one query, all from the same snapshot.
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

/// Result of adding an answer to an answer_set.
enum class merge_result : std::uint8_t
{
    merged,         ///< stored and counted
    duplicate,      ///< the shard already has an answer
    other_snapshot, ///< from a snapshot other than the query's
    unknown_shard,  ///< the shard map has no such shard
};

/// Merges answers from a single snapshot. Not thread-safe.
///
///     answer_set set{10, {1, 0}};       // any snapshot of map 1
///     set.add(shard_index{0}, {1, 7}, "..."); // selects snapshot 1/7
///     set.coverage();                   // 0.1
///
/// Invariant: all counted answers are from snapshot(), at most one per shard.
class answer_set
{
public:
    /// `shards` is the number of shards in the map. If wanted.index is 0, the
    /// first answer selects the snapshot.
    answer_set(std::uint32_t shards, snapshot_id wanted);

    /// The selected snapshot; index 0 if none has been selected yet.
    snapshot_id snapshot() const noexcept { return snapshot_; }

    /// Stores the answer of one shard. An answer that is not `merged` leaves
    /// the set unchanged.
    merge_result add(shard_index shard, snapshot_id of, std::string payload);

    /// Selects another snapshot of the same map and discards all answers from
    /// the previous one. Returns the shards whose answers were discarded. Does
    /// nothing if the snapshot is unchanged or belongs to another map.
    std::vector<shard_index> reset_to(snapshot_id snapshot);

    /// Records why a shard has no answer; ignored if it already has one.
    void mark(shard_index shard, shard_state why);

    bool has(shard_index shard) const;
    std::uint32_t answered() const noexcept { return answered_; }
    std::uint32_t shards() const noexcept;
    bool all_answered() const noexcept;

    /// Fraction of shards that answered; 0 for a map without shards.
    double coverage() const noexcept;

    /// Moves the answers out; the set is empty afterwards.
    std::vector<shard_answer> take();

private:
    snapshot_id snapshot_;
    std::uint32_t answered_ = 0; // entries in answers_ with state answered
    std::vector<shard_answer> answers_;
};

} // namespace kumquatramp

#endif
