// All routes of a host under one configuration.
#ifndef KUMQUATRAMP_ROUTING_ROUTING_TABLE_HPP
#define KUMQUATRAMP_ROUTING_ROUTING_TABLE_HPP

#include <base/ids.hpp>
#include <memory>
#include <routing/service_route.hpp>
#include <unordered_map>
#include <vector>

namespace kumquatramp
{

struct catalogue;
class ruleset;
class target_registry;

/// Immutable; a new table is built for each accepted configuration.
class routing_table
{
public:
    routing_table() = default;

    /// Combines the catalogue and the rules. `zone` is the availability zone of
    /// this host.
    routing_table(catalogue const& catalogue, ruleset const& rules,
                  target_registry& registry, zone_name const& zone);

    /// Null if no such service is published.
    std::shared_ptr<service_route const>
    find(service_name const& service) const;

    std::vector<std::shared_ptr<service_route const>> const&
    services() const noexcept
    {
        return services_;
    }

    std::vector<replica_ptr> const& replicas() const noexcept
    {
        return replicas_;
    }

    /// Null if no such target is published.
    replica_ptr find(target_name const& target) const;

private:
    std::vector<std::shared_ptr<service_route const>> services_;
    std::vector<replica_ptr> replicas_;
    std::unordered_map<service_name, std::size_t> service_positions_;
    std::unordered_map<target_name, std::size_t> replica_positions_;
};

} // namespace kumquatramp

#endif
