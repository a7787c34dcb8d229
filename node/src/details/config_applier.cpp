// Derives routes and gate bounds from the current configuration.
#include "details/config_applier.hpp"
#include <algorithm>
#include <config/catalogue.hpp>
#include <membership/voters.hpp>
#include <rules/parse_rules.hpp>

namespace kumquatramp
{

namespace
{

// Traffic share at which a returning availability zone starts its ramp.
constexpr double initial_zone_share = 0.1;

// Connections per target that are opened before a send needs them.
constexpr std::uint32_t preopened_connections = 1;

} // namespace

config_applier::config_applier(zone_name zone, config_store const& store,
                               routing_view& routes, target_registry& registry,
                               member_table& members, view_lease& lease,
                               steward_election& stewards,
                               cold_send_permission const& permission,
                               burn_rate_tracker& burn)
    : zone_(std::move(zone))
    , store_(store)
    , routes_(routes)
    , registry_(registry)
    , members_(members)
    , lease_(lease)
    , stewards_(stewards)
    , permission_(permission)
    , burn_(burn)
{
}

void config_applier::apply(time_point now, action_list& out)
{
    {
        std::lock_guard const guard(mutex_);
        auto const stamps = store_.stamps();
        if (stamps == applied_)
        {
            return;
        }
        applied_ = stamps;
        apply_members(now);
        auto const rules = std::make_shared<ruleset const>(
            parse_rules(*store_.text(config_key::rules)).value());
        auto const published =
            parse_catalogue(*store_.text(config_key::catalogue)).value();
        auto const table = std::make_shared<routing_table const>(
            published, *rules, registry_, zone_);
        std::unordered_set<target_name> names;
        for (auto const& target : published.targets)
        {
            names.insert(target.name);
        }
        track_zone_drains(*rules, *table, now);
        routes_.replace(table, rules);
        registry_.retain(names);
        std::erase_if(sent_connections_, [&](auto const& sent)
                      { return !names.contains(sent.first); });
        for (auto const& service : table->services())
        {
            burn_.set_objective(service->entry.name, service->policy.objective,
                                service->policy.objective_latency);
        }
    }
    refresh_bounds(now, out);
}

void config_applier::apply_members(time_point now)
{
    auto const members = parse_members(*store_.text(config_key::members));
    if (!members || members.value().empty())
    {
        return;
    }
    members_.apply_list(members.value(), now);
    auto const& list = members.value();
    lease_.set_members(static_cast<std::uint32_t>(list.size()), now);
    lease_.set_voters(choose_voters(list), now);
}

void config_applier::track_zone_drains(ruleset const& rules,
                                       routing_table const& table,
                                       time_point now)
{
    for (auto const& target : table.replicas())
    {
        auto const& zone = target->entry.zone;
        bool const drained = rules.drains(zone);
        auto const [previous, inserted] = zone_drained_.emplace(zone, drained);
        if (!inserted && previous->second && !drained)
        {
            zone_returned_[zone] = now;
        }
        previous->second = drained;
    }
}

double config_applier::zone_share(zone_name const& zone, duration ramp,
                                  time_point now) const
{
    auto const returned = zone_returned_.find(zone);
    if (returned == zone_returned_.end() || ramp <= duration::zero())
    {
        return 1.0;
    }
    auto const elapsed = static_cast<double>((now - returned->second).count());
    auto const fraction = elapsed / static_cast<double>(ramp.count());
    return std::min(1.0,
                    initial_zone_share + (1.0 - initial_zone_share) * fraction);
}

void config_applier::update_connections(replica const& target, action_list& out)
{
    bool const closed = target.closed != closed_reason::none;
    auto const limit = closed ? 0 : target.gate->connection_share();
    auto const [sent, inserted] =
        sent_connections_.emplace(target.entry.name, limit);
    if (!inserted && sent->second == limit)
    {
        return;
    }
    sent->second = limit;
    out.push_back(set_connections{target.entry.name, target.entry.address,
                                  limit,
                                  std::min(limit, preopened_connections)});
}

void config_applier::refresh_bounds(time_point now, action_list& out)
{
    std::lock_guard const guard(mutex_);
    auto const serving = members_.serving(now);
    stewards_.set_serving(serving, now);
    auto const hosts = members_.host_count(now);
    auto const table = routes_.table();
    auto const ramp = routes_.rules()->zone_ramp();
    for (auto const& target : table->replicas())
    {
        target_bounds bounds;
        bounds.slots = target->entry.slots;
        bounds.connections = target->entry.connections;
        bounds.hosts = std::max<std::uint32_t>(1, hosts);
        bounds.closed = target->closed != closed_reason::none;
        bounds.share = zone_share(target->entry.zone, ramp, now);
        bounds.steward = !target->gate->seen().warm &&
                         permission_.held(target->entry.name, now);
        target->gate->configure(bounds, now);
        update_connections(*target, out);
    }
}

} // namespace kumquatramp
