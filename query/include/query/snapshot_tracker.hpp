// Tracks which snapshots the targets of a service hold.
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

/// For each shard of one shard map, the targets that hold it.
using shard_holders = std::vector<std::vector<target_name>>;

/// Records from replies which snapshots each target holds, and selects the
/// snapshot that new queries request. Thread-safe.
class snapshot_tracker
{
public:
    /// Replaces the list of snapshots that the target holds with the complete
    /// list `holds`. Returns whether the list changed.
    bool learn(target_name const& target, std::span<snapshot_id const> holds);

    /// Discards what is known about a target, as it may have restarted.
    void forget(target_name const& target);

    /// Returns the newest snapshot of the map that at least one holder of
    /// every shard holds. A shard is ignored if nothing is known about any of
    /// its holders. Returns index 0 if there is no such snapshot.
    snapshot_id choose(std::uint64_t map, shard_holders const& holders) const;

    /// Returns whether the target is known not to hold the snapshot.
    bool lacks(target_name const& target, snapshot_id snapshot) const;

    /// Returns whether for every shard at least one holder is known to hold a
    /// snapshot of the map, so that queries can use the map.
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
