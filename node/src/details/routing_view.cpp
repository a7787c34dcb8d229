// Access to and replacement of the current configuration.
#include "details/routing_view.hpp"

namespace kumquatramp
{

routing_view::routing_view()
    : table_(std::make_shared<routing_table const>())
    , rules_(std::make_shared<ruleset const>())
{
}

std::shared_ptr<routing_table const> routing_view::table() const
{
    std::lock_guard const guard(mutex_);
    return table_;
}

std::shared_ptr<ruleset const> routing_view::rules() const
{
    std::lock_guard const guard(mutex_);
    return rules_;
}

std::shared_ptr<service_runtime>
routing_view::runtime(service_name const& name) const
{
    std::lock_guard const guard(mutex_);
    auto const found = runtimes_.find(name);
    return found == runtimes_.end() ? nullptr : found->second;
}

void routing_view::replace(std::shared_ptr<routing_table const> table,
                           std::shared_ptr<ruleset const> rules)
{
    std::lock_guard const guard(mutex_);
    for (auto const& route : table->services())
    {
        auto& runtime = runtimes_[route->entry.name];
        if (!runtime)
        {
            runtime = std::make_shared<service_runtime>(route->policy);
        }
        runtime->configure(route->policy);
    }
    table_ = std::move(table);
    rules_ = std::move(rules);
}

std::vector<std::pair<service_name, std::shared_ptr<service_runtime>>>
routing_view::runtimes() const
{
    std::lock_guard const guard(mutex_);
    return {runtimes_.begin(), runtimes_.end()};
}

} // namespace kumquatramp
