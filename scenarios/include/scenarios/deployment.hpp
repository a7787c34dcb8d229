// The sizes of the simulated deployments, and their hosts and targets.
#ifndef KUMQUATRAMP_SCENARIOS_DEPLOYMENT_HPP
#define KUMQUATRAMP_SCENARIOS_DEPLOYMENT_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <optional>
#include <scenarios/fake_network.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp::scenarios
{

struct service_size
{
    std::string name;
    bool idempotent = true;
    std::uint32_t groups = 1;   ///< shards
    std::uint32_t replicas = 3; ///< per shard, in rotating zones
    std::uint32_t slots = 4;
    std::uint32_t connections = 80;
    duration connect_cost = 6ms;
    duration service_time = 4ms;
};

struct deployment
{
    std::vector<std::string> zones;
    std::uint32_t hosts = 16; ///< named ZONE-1, ZONE-2, ...
    network_delays delays;
    std::vector<service_size> services;
};

/// Adwoa Linen Hire, with the availability zones osu, tema and madina.
deployment accra();

/// Gwalch Menig, with the availability zones llan-a, llan-b and llan-c.
deployment cymru_west();

/// A query service of 4 shards and a booking service of 2 over 6 hosts, for
/// tests that need many runs.
deployment small();

/// Returns nullopt if the name is unknown.
std::optional<deployment> find_deployment(std::string_view name);

/// A target of the deployment.
struct target_size
{
    target_name name; ///< SERVICE-GROUP-REPLICA
    zone_name zone;
    service_size const* service; ///< part of the deployment
    std::uint32_t group = 0;
    std::uint32_t replica = 0;
};

std::vector<target_size> targets_of(deployment const& sizes);

/// A host of the deployment.
struct host_size
{
    host_name name;
    zone_name zone;
};

std::vector<host_size> hosts_of(deployment const& sizes);

} // namespace kumquatramp::scenarios

#endif
