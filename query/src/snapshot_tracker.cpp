// Selects the snapshot for new queries.
#include <algorithm>
#include <functional>
#include <query/snapshot_tracker.hpp>
#include <set>

namespace kumquatramp
{

bool snapshot_tracker::learn(target_name const& target,
                             std::span<snapshot_id const> holds)
{
    std::vector<snapshot_id> sorted(holds.begin(), holds.end());
    std::sort(sorted.begin(), sorted.end());
    std::lock_guard const guard(mutex_);
    auto& known = holds_[target];
    if (known == sorted)
    {
        return false;
    }
    known = std::move(sorted);
    return true;
}

void snapshot_tracker::forget(target_name const& target)
{
    std::lock_guard const guard(mutex_);
    holds_.erase(target);
}

std::vector<snapshot_id> const*
snapshot_tracker::find(target_name const& target) const
{
    auto const found = holds_.find(target);
    return found == holds_.end() ? nullptr : &found->second;
}

bool snapshot_tracker::shard_allows(std::vector<target_name> const& holders,
                                    snapshot_id snapshot) const
{
    bool any_known = false;
    for (auto const& target : holders)
    {
        auto const* const held = find(target);
        if (held == nullptr)
        {
            continue;
        }
        any_known = true;
        if (std::binary_search(held->begin(), held->end(), snapshot))
        {
            return true;
        }
    }
    return !any_known;
}

snapshot_id snapshot_tracker::choose(std::uint64_t map,
                                     shard_holders const& holders) const
{
    std::lock_guard const guard(mutex_);
    std::set<snapshot_id, std::greater<>> candidates;
    for (auto const& shard : holders)
    {
        for (auto const& target : shard)
        {
            if (auto const* const held = find(target))
            {
                candidates.insert(held->begin(), held->end());
            }
        }
    }
    for (auto const& candidate : candidates)
    {
        bool const usable =
            candidate.map == map &&
            std::all_of(holders.begin(), holders.end(),
                        [&](auto const& shard)
                        { return shard_allows(shard, candidate); });
        if (usable)
        {
            return candidate;
        }
    }
    return {map, 0};
}

bool snapshot_tracker::lacks(target_name const& target,
                             snapshot_id snapshot) const
{
    std::lock_guard const guard(mutex_);
    auto const* const held = find(target);
    return held != nullptr && snapshot.index != 0 &&
           !std::binary_search(held->begin(), held->end(), snapshot);
}

bool snapshot_tracker::complete(std::uint64_t map,
                                shard_holders const& holders) const
{
    std::lock_guard const guard(mutex_);
    auto const holds_map = [&](target_name const& target)
    {
        auto const* const held = find(target);
        return held != nullptr &&
               std::any_of(held->begin(), held->end(),
                           [&](snapshot_id s) { return s.map == map; });
    };
    return std::all_of(
        holders.begin(), holders.end(),
        [&](auto const& shard)
        { return std::any_of(shard.begin(), shard.end(), holds_map); });
}

} // namespace kumquatramp
