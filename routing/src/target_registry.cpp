// Lookup and removal of target gates by name.
#include <routing/target_registry.hpp>

namespace kumquatramp
{

std::shared_ptr<target_gate> target_registry::gate(target_name const& target)
{
    std::lock_guard const guard(mutex_);
    auto& gate = gates_[target];
    if (!gate)
    {
        gate = std::make_shared<target_gate>();
    }
    return gate;
}

std::shared_ptr<target_gate>
target_registry::find(target_name const& target) const
{
    std::lock_guard const guard(mutex_);
    auto const found = gates_.find(target);
    return found == gates_.end() ? nullptr : found->second;
}

void target_registry::retain(std::unordered_set<target_name> const& targets)
{
    std::lock_guard const guard(mutex_);
    std::erase_if(gates_, [&](auto const& entry)
                  { return !targets.contains(entry.first); });
}

} // namespace kumquatramp
