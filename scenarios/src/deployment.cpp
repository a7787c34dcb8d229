// The simulated deployments.
#include <scenarios/deployment.hpp>

namespace kumquatramp::scenarios
{

deployment accra()
{
    deployment sizes;
    sizes.zones = {"osu", "tema", "madina"};
    sizes.delays = {100us, 500us, 1ms};
    sizes.services = {
        {"stock-finder", true, 10, 3, 4, 80, 6ms, 4ms},
        {"booking-desk", false, 15, 3, 4, 80, 6ms, 4ms},
        {"driver-app", true, 1, 13, 6, 200, 1ms, 4ms},
        {"laundry-tracker", true, 1, 6, 6, 200, 1ms, 4ms},
    };
    return sizes;
}

deployment cymru_west()
{
    deployment sizes;
    sizes.zones = {"llan-a", "llan-b", "llan-c"};
    sizes.delays = {100us, 1500us, 3ms};
    sizes.services = {
        {"fitting-counter", true, 10, 3, 3, 70, 6ms, 4ms},
        {"pattern-room", true, 15, 3, 3, 70, 6ms, 4ms},
        {"order-desk", false, 1, 20, 3, 90, 1ms, 8ms},
        {"tannery-feed", true, 1, 10, 3, 90, 1ms, 4ms},
    };
    return sizes;
}

deployment small()
{
    deployment sizes;
    sizes.zones = {"osu", "tema", "madina"};
    sizes.hosts = 6;
    sizes.delays = {100us, 500us, 1ms};
    sizes.services = {
        {"stock-finder", true, 4, 3, 4, 80, 6ms, 4ms},
        {"booking-desk", false, 2, 3, 4, 80, 6ms, 4ms},
    };
    return sizes;
}

std::optional<deployment> find_deployment(std::string_view name)
{
    if (name == "accra")
    {
        return accra();
    }
    if (name == "cymru-west")
    {
        return cymru_west();
    }
    if (name == "small")
    {
        return small();
    }
    return std::nullopt;
}

std::vector<target_size> targets_of(deployment const& sizes)
{
    std::vector<target_size> targets;
    for (auto const& service : sizes.services)
    {
        for (std::uint32_t group = 0; group < service.groups; ++group)
        {
            for (std::uint32_t replica = 0; replica < service.replicas;
                 ++replica)
            {
                auto const zone = (group + replica) % sizes.zones.size();
                targets.push_back(
                    {target_name{service.name + "-" + std::to_string(group) +
                                 "-" + std::to_string(replica)},
                     zone_name{sizes.zones[zone]}, &service, group, replica});
            }
        }
    }
    return targets;
}

std::vector<host_size> hosts_of(deployment const& sizes)
{
    std::vector<host_size> hosts;
    for (std::uint32_t i = 0; i < sizes.hosts; ++i)
    {
        auto const zones = sizes.zones.size();
        auto const& zone = sizes.zones[i % zones];
        hosts.push_back({host_name{zone + "-" + std::to_string(i / zones + 1)},
                         zone_name{zone}});
    }
    return hosts;
}

} // namespace kumquatramp::scenarios
