// Serializes the published values.
#include <algorithm>
#include <scenarios/value_editor.hpp>

namespace kumquatramp::scenarios
{

namespace
{

constexpr int first_host_port = 10'000;
constexpr int first_peer_port = 20'000;
constexpr int first_target_port = 30'000;

std::string address(std::size_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

std::string service_line(service_size const& service,
                         std::map<std::uint64_t, std::uint32_t> const& maps)
{
    auto line = "service " + service.name + " run " +
                (service.idempotent ? "idempotent" : "once");
    for (auto const& [version, shards] : maps)
    {
        line += " shards " + number(shards) + " map " + number(version);
    }
    return line + "\n";
}

std::string target_line(target_size const& target, std::size_t position,
                        std::map<std::uint64_t, std::uint32_t> const& maps,
                        bool leaving)
{
    auto const& service = *target.service;
    std::string places;
    for (auto const& [version, shards] : maps)
    {
        places += places.empty() ? "" : ",";
        places += number(version) + "/" +
                  number(value_editor::shard_in(target, shards));
    }
    return "target " + target.name.value() + " service " + service.name +
           " availability_zone " + target.zone.value() + " address " +
           address(first_target_port + position) + " slots " +
           number(service.slots) + " connections " +
           number(service.connections) + " connect_cost " +
           number(static_cast<std::uint64_t>(service.connect_cost / 1ms)) +
           "ms state " + (leaving ? "leaving" : "live") + " holds " + places +
           "\n";
}

} // namespace

value_editor::value_editor(deployment const& sizes)
    : sizes_(sizes)
{
    for (auto const& service : sizes.services)
    {
        maps_[service.name] = {{1, service.groups}};
    }
}

void value_editor::add_rule(std::string const& rule)
{
    if (std::find(rules_.begin(), rules_.end(), rule) == rules_.end())
    {
        rules_.push_back(rule);
    }
}

void value_editor::remove_rule(std::string const& rule)
{
    std::erase(rules_, rule);
}

void value_editor::set_leaving(target_name const& target, bool leaving)
{
    leaving_targets_.erase(target);
    if (leaving)
    {
        leaving_targets_.insert(target);
    }
}

void value_editor::set_leaving(host_name const& host, bool leaving)
{
    leaving_hosts_.erase(host);
    if (leaving)
    {
        leaving_hosts_.insert(host);
    }
}

std::uint64_t value_editor::add_map(std::string const& service,
                                    std::uint32_t shards)
{
    auto& maps = maps_.at(service);
    auto const version = maps.rbegin()->first + 1;
    maps[version] = shards;
    return version;
}

void value_editor::drop_old_maps(std::string const& service)
{
    auto& maps = maps_.at(service);
    maps.erase(maps.begin(), std::prev(maps.end()));
}

std::string value_editor::rules() const
{
    std::string text = "# Rules of a scenario.\n";
    for (auto const& rule : rules_)
    {
        text += rule + " # Scenario: asked for by its step\n";
    }
    return text;
}

std::string value_editor::catalogue() const
{
    std::string text;
    for (auto const& service : sizes_.services)
    {
        text += service_line(service, maps_.at(service.name));
    }
    std::size_t position = 0;
    for (auto const& target : targets_of(sizes_))
    {
        text += target_line(target, position++, maps_.at(target.service->name),
                            leaving_targets_.contains(target.name));
    }
    return text;
}

std::string value_editor::members() const
{
    std::string text;
    std::size_t position = 0;
    for (auto const& host : hosts_of(sizes_))
    {
        text +=
            member_line(host, position++, leaving_hosts_.contains(host.name));
    }
    return text;
}

std::uint32_t value_editor::shard_in(target_size const& target,
                                     std::uint32_t shards)
{
    if (shards == target.service->groups)
    {
        return target.group;
    }
    // Every shard has a holder if there are at least as many targets as shards.
    return (target.group + target.replica * target.service->groups) % shards;
}

std::string member_line(host_size const& host, std::size_t position,
                        bool leaving)
{
    return "member " + host.name.value() + " availability_zone " +
           host.zone.value() + " callers " +
           address(first_host_port + position) + " peers " +
           address(first_peer_port + position) + " state " +
           (leaving ? "leaving" : "live") + "\n";
}

} // namespace kumquatramp::scenarios
