// One run: a deployment of real nodes over a simulated environment.
#include <config/catalogue.hpp>
#include <config/platform_validator.hpp>
#include <rules/parse_rules.hpp>
#include <rules/ruleset.hpp>
#include <scenarios/world.hpp>

namespace kumquatramp::scenarios
{

namespace
{

// Interval at which the configuration in force on each host is recorded.
constexpr duration sample_period = 250ms;

// Difference between the clock offsets of consecutive hosts.
constexpr duration clock_offset_step = 1h;

constexpr std::size_t seed_hosts = 3;
constexpr std::uint64_t callers_seed_mask = 0x9e3779b97f4a7c15ULL;

std::vector<zone_name> zone_names(deployment const& sizes)
{
    std::vector<zone_name> names;
    for (auto const& zone : sizes.zones)
    {
        names.emplace_back(zone);
    }
    return names;
}

std::vector<member_entry> member_entries(deployment const& sizes)
{
    return parse_members(value_editor(sizes).members()).value();
}

target_behaviour behaviour_of(target_size const& target)
{
    auto const& size = *target.service;
    target_behaviour behaviour;
    behaviour.slots = size.slots;
    behaviour.queue = 2 * size.slots;
    behaviour.connections = size.connections;
    behaviour.connect_cost = size.connect_cost;
    behaviour.service_time = size.service_time;
    behaviour.places[1] = shard_index{target.group};
    return behaviour;
}

} // namespace

world::world(deployment sizes, world_options const& options)
    : sizes_(std::move(sizes))
    , editor_(sizes_)
    , network_(queue_, sizes_.delays, options.seed)
    , platform_(queue_, [this](auto key, auto version, auto const& text)
                { on_visible(key, version, text); })
    , parts_{queue_, network_, platform_, log_, targets_, hosts_}
    , callers_(parts_, zone_names(sizes_), options.seed ^ callers_seed_mask)
{
    for (auto const& rule : options.rules)
    {
        editor_.add_rule(rule);
    }
    for (auto const& service : sizes_.services)
    {
        log_.maps[service_name{service.name}] = editor_.maps(service.name);
    }
    make_targets(options.seed);
    publish_rules();
    publish_catalogue();
    publish_members();
    make_hosts(options);
    sample_configs();
}

world::~world() = default;

void world::make_targets(std::uint64_t seed)
{
    for (auto const& target : targets_of(sizes_))
    {
        network_.set_zone(target.name.value(), target.zone);
        target_sizes_.emplace(target.name, target);
        targets_.emplace(target.name, std::make_unique<fake_target>(
                                          queue_, log_, target.name,
                                          behaviour_of(target), ++seed));
    }
}

void world::make_hosts(world_options const& options)
{
    seeded_random random(options.seed);
    auto const entries = member_entries(sizes_);
    duration offset{0};
    for (auto const& entry : entries)
    {
        network_.set_zone(entry.name.value(), entry.zone);
        node_options settings;
        settings.self = entry;
        settings.fleet_key = "scenario";
        settings.choice = options.choice;
        settings.seeds.assign(entries.begin(), entries.begin() + seed_hosts);
        offset += clock_offset_step;
        hosts_.emplace(entry.name,
                       std::make_unique<host_driver>(parts_, settings, offset,
                                                     random.next()));
    }
    for (auto const& [name, host] : hosts_)
    {
        auto const wait = duration(random.below(100) * 1'000'000);
        queue_.after(wait, [&host = *host] { host.start(); });
    }
}

host_driver& world::host(std::string const& name)
{
    return *hosts_.at(host_name{name});
}

fake_target& world::target(std::string const& name)
{
    return *targets_.at(target_name{name});
}

std::vector<fake_target*> world::targets_of_service(std::string const& service)
{
    std::vector<fake_target*> found;
    for (auto const& [name, size] : target_sizes_)
    {
        if (size.service->name == service)
        {
            found.push_back(targets_.at(name).get());
        }
    }
    return found;
}

std::vector<fake_target*> world::targets_in_zone(std::string const& zone)
{
    std::vector<fake_target*> found;
    for (auto const& [name, size] : target_sizes_)
    {
        if (size.zone.value() == zone)
        {
            found.push_back(targets_.at(name).get());
        }
    }
    return found;
}

void world::load(std::string const& service, double rate)
{
    for (auto const& size : sizes_.services)
    {
        if (size.name == service)
        {
            callers_.set_load(service_name{service}, size.idempotent, rate);
            return;
        }
    }
    throw std::out_of_range("unknown service " + service);
}

void world::publish_rules()
{
    platform_.put(config_key::rules, editor_.rules());
}

void world::publish_catalogue()
{
    platform_.put(config_key::catalogue, editor_.catalogue());
}

void world::publish_members()
{
    platform_.put(config_key::members, editor_.members());
}

void world::restart_target(std::string const& name)
{
    auto& which = target(name);
    which.restart();
    for (auto const& [host_name, host] : hosts_)
    {
        host->on_target_restart(which.name());
    }
}

void world::cut_from_hosts(std::string const& host, bool cut)
{
    for (auto const& [name, other] : hosts_)
    {
        if (name.value() != host)
        {
            cut ? network_.cut(host, name.value())
                : network_.heal(host, name.value());
        }
    }
}

void world::cut_from_targets(std::string const& host, bool cut)
{
    for (auto const& [name, other] : targets_)
    {
        cut ? network_.cut(host, name.value())
            : network_.heal(host, name.value());
    }
}

void world::repartition(std::string const& service, std::uint32_t shards,
                        duration time)
{
    auto const version = editor_.add_map(service, shards);
    log_.maps[service_name{service}] = editor_.maps(service);
    auto const holders = targets_of_service(service);
    auto const step = time / static_cast<int>(holders.size());
    duration wait{0};
    for (auto* const holder : holders)
    {
        auto const shard =
            value_editor::shard_in(target_sizes_.at(holder->name()), shards);
        queue_.after(wait += step,
                     [holder, version, shard]
                     {
                         auto& behaviour = holder->behaviour();
                         behaviour.places[version] = shard_index{shard};
                         behaviour.holds.push_back({version, 1});
                     });
    }
    publish_catalogue();
}

void world::advance_index(std::string const& service, duration time)
{
    auto const holders = targets_of_service(service);
    auto const step = time / static_cast<int>(holders.size());
    duration wait{0};
    for (auto* const holder : holders)
    {
        queue_.after(wait += step,
                     [holder]
                     {
                         auto& holds = holder->behaviour().holds;
                         auto const next = snapshot_id{holds.back().map,
                                                       holds.back().index + 1};
                         holds = {holds.back(), next};
                     });
    }
}

bool world::ready(host_driver& host)
{
    return host.alive() && !host.frozen() && host.node()->ready(host.now());
}

void world::on_visible(config_key key, config_version version,
                       std::string const& text)
{
    if (!platform_validator{}.validate(key, text).empty())
    {
        return;
    }
    log_.publishes.push_back({queue_.now(), key, version});
    visible_[key] = text;
    if (visible_.contains(config_key::rules) &&
        visible_.contains(config_key::catalogue))
    {
        record_closings();
    }
}

void world::record_closings()
{
    auto const rules = parse_rules(visible_.at(config_key::rules)).value();
    auto const published =
        parse_catalogue(visible_.at(config_key::catalogue)).value();
    for (auto const& target : published.targets)
    {
        bool const closed = target.leaving || rules.drains(target.name) ||
                            rules.drains(target.zone);
        if (closed != closed_[target.name])
        {
            closed_[target.name] = closed;
            log_.closings.push_back({queue_.now(), target.name, closed});
        }
    }
}

void world::sample_configs()
{
    for (auto const& [name, host] : hosts_)
    {
        if (!ready(*host))
        {
            continue;
        }
        for (auto const& held : host->node()->status(host->now()).stamps)
        {
            log_.configs.push_back(
                {queue_.now(), name, held.key, held.stamp.version});
        }
    }
    queue_.after(sample_period, [this] { sample_configs(); });
}

} // namespace kumquatramp::scenarios
