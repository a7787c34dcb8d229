// Owns the gates of all targets across catalogue versions.
#ifndef KUMQUATRAMP_ROUTING_TARGET_REGISTRY_HPP
#define KUMQUATRAMP_ROUTING_TARGET_REGISTRY_HPP

#include <base/ids.hpp>
#include <limits/target_gate.hpp>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace kumquatramp
{

/// Thread-safe.
class target_registry
{
public:
    /// The gate of the target; created on first use, in the cold state.
    std::shared_ptr<target_gate> gate(target_name const& target);

    /// The gate of the target, or null if the target is unknown.
    std::shared_ptr<target_gate> find(target_name const& target) const;

    /// Removes the gates of all other targets. Attempts in flight keep theirs.
    void retain(std::unordered_set<target_name> const& targets);

private:
    mutable std::mutex mutex_;
    std::unordered_map<target_name, std::shared_ptr<target_gate>>
        gates_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
