// Builds the routes from the catalogue and the rules.
#include <algorithm>
#include <config/catalogue.hpp>
#include <routing/routing_table.hpp>
#include <routing/target_registry.hpp>
#include <rules/ruleset.hpp>

namespace kumquatramp
{

namespace
{

closed_reason closed_by(target_entry const& entry, ruleset const& rules)
{
    if (entry.leaving)
    {
        return closed_reason::leaving;
    }
    if (rules.drains(entry.zone) || rules.drains(entry.name))
    {
        return closed_reason::drained;
    }
    return closed_reason::none;
}

map_route make_map_route(shard_map const& map)
{
    map_route route;
    route.version = map.version;
    route.shards.resize(map.shards);
    route.holders.resize(map.shards);
    return route;
}

std::shared_ptr<service_route> make_service_route(service_entry const& entry,
                                                  ruleset const& rules)
{
    auto route = std::make_shared<service_route>();
    route->entry = entry;
    route->policy = rules.policy_of(entry.name);
    for (auto const& map : entry.maps)
    {
        route->maps.push_back(make_map_route(map));
    }
    return route;
}

void add_to_shards(replica_ptr const& replica, service_route& route)
{
    for (auto const& placement : replica->entry.held_shards)
    {
        auto const map =
            std::find_if(route.maps.begin(), route.maps.end(),
                         [&](map_route const& candidate)
                         { return candidate.version == placement.map; });
        auto const shard = placement.shard.value();
        if (map != route.maps.end() && shard < map->shards.size())
        {
            map->shards[shard].push_back(replica);
            map->holders[shard].push_back(replica->entry.name);
        }
    }
}

} // namespace

std::string_view to_string(closed_reason reason) noexcept
{
    switch (reason)
    {
    case closed_reason::leaving:
        return "leaving";
    case closed_reason::drained:
        return "drained";
    case closed_reason::subset:
        return "subset";
    case closed_reason::none:
        break;
    }
    return "";
}

routing_table::routing_table(catalogue const& catalogue, ruleset const& rules,
                             target_registry& registry, zone_name const& zone)
{
    std::vector<std::shared_ptr<service_route>> routes;
    for (auto const& service : catalogue.services)
    {
        service_positions_[service.name] = routes.size();
        routes.push_back(make_service_route(service, rules));
    }
    for (auto const& target : catalogue.targets)
    {
        auto const new_replica = std::make_shared<replica const>(
            replica{target, registry.gate(target.name),
                    closed_by(target, rules), target.zone == zone});
        replica_positions_[target.name] = replicas_.size();
        replicas_.push_back(new_replica);
        auto const service = service_positions_.find(target.service);
        if (service != service_positions_.end())
        {
            add_to_shards(new_replica, *routes[service->second]);
        }
    }
    services_.assign(routes.begin(), routes.end());
}

std::shared_ptr<service_route const>
routing_table::find(service_name const& service) const
{
    auto const found = service_positions_.find(service);
    return found == service_positions_.end() ? nullptr
                                             : services_[found->second];
}

replica_ptr routing_table::find(target_name const& target) const
{
    auto const found = replica_positions_.find(target);
    return found == replica_positions_.end() ? nullptr
                                             : replicas_[found->second];
}

} // namespace kumquatramp
