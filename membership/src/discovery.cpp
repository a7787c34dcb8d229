// Selection and ordering of the serving hosts for one caller.
#include <algorithm>
#include <base/rendezvous.hpp>
#include <membership/discovery.hpp>

namespace kumquatramp
{

namespace
{

using host_list = std::vector<member_entry const*>;

host_list hosts_not_leaving(std::span<member_entry const> serving)
{
    host_list hosts;
    for (auto const& entry : serving)
    {
        if (!entry.leaving)
        {
            hosts.push_back(&entry);
        }
    }
    return hosts;
}

// Keeps the `count` hosts with the highest rendezvous weights for the service.
void keep_service_hosts(host_list& hosts, service_name const& service,
                        std::uint32_t count)
{
    if (count == 0 || hosts.size() <= count)
    {
        return;
    }
    auto const heavier = [&](member_entry const* a, member_entry const* b)
    {
        return rendezvous_weight(service.value(), a->name.value()) >
               rendezvous_weight(service.value(), b->name.value());
    };
    std::sort(hosts.begin(), hosts.end(), heavier);
    hosts.resize(count);
}

void shuffle(std::span<member_entry const*> hosts, random_source& random)
{
    for (std::size_t left = hosts.size(); left > 1; --left)
    {
        std::swap(hosts[left - 1], hosts[random.below(left)]);
    }
}

// Moves the first host that is in another zone than the front to second place.
void place_other_zone_second(host_list& hosts)
{
    if (hosts.size() < 2)
    {
        return;
    }
    auto const other_zone =
        std::find_if(hosts.begin() + 1, hosts.end(),
                     [&](member_entry const* entry)
                     { return entry->zone != hosts.front()->zone; });
    if (other_zone != hosts.end())
    {
        std::rotate(hosts.begin() + 1, other_zone, other_zone + 1);
    }
}

void order_for_zone(host_list& hosts, std::optional<zone_name> const& zone,
                    random_source& random)
{
    shuffle(hosts, random);
    if (zone)
    {
        std::stable_partition(hosts.begin(), hosts.end(),
                              [&](member_entry const* entry)
                              { return entry->zone == *zone; });
    }
    place_other_zone_second(hosts);
}

} // namespace

discovery_answer discover(discovery_request const& request,
                          std::span<member_entry const> serving,
                          std::uint32_t service_hosts, duration lifetime,
                          random_source& random)
{
    auto hosts = hosts_not_leaving(serving);
    if (request.service)
    {
        keep_service_hosts(hosts, *request.service, service_hosts);
    }
    order_for_zone(hosts, request.zone, random);
    hosts.resize(std::min<std::size_t>(hosts.size(), request.max_hosts));

    discovery_answer answer;
    answer.lifetime = lifetime;
    for (auto const* entry : hosts)
    {
        answer.hosts.push_back(*entry);
    }
    return answer;
}

} // namespace kumquatramp
