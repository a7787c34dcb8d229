// Which snapshots a service's targets hold.
#ifndef KUMQUATRAMP_QUERY_SNAPSHOT_TRACKER_HPP
#define KUMQUATRAMP_QUERY_SNAPSHOT_TRACKER_HPP

#include <base/ids.hpp>
#include <base/snapshot_id.hpp>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace kumquatramp
{

/// The targets of each shard of one shard map.
using shard_holders = std::vector<std::vector<target_name>>;

/// Learns from replies what each target holds, and picks the snapshot that
/// new queries ask for. Safe from any thread.
class snapshot_tracker
{
public:
    /// The all_answered list of what a target holds; replaces the former one.
    /// Returns whether it differed.
    bool learn(target_name const& target, std::span<snapshot_id const> holds);

    /// Forgets a target that may have restarted.
    void forget(target_name const& target);

    /// The newest snapshot of the map that some holder of every shard
    /// holds. A shard none of whose holders has been any_known of does not
    /// count against a snapshot. Index 0 if nothing is known.
    snapshot_id choose(std::uint64_t map, shard_holders const& holders) const;

    /// Whether the target is known not to hold the snapshot.
    bool lacks(target_name const& target, snapshot_id snapshot) const;

    /// Whether some holder of every shard is known to hold a snapshot of
    /// the map, so that queries may move over to it.
    bool complete(std::uint64_t map, shard_holders const& holders) const;

private:
    std::vector<snapshot_id> const* find(target_name const& target) const;
    bool shard_allows(std::vector<target_name> const& holders,
                      snapshot_id snapshot) const;

    mutable std::mutex mutex_;
    // Guarded by mutex_; each list is sorted.
    std::unordered_map<target_name, std::vector<snapshot_id>> holds_;
};

} // namespace kumquatramp

#endif
