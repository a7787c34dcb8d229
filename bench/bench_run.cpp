// Runs a deployment's mix of services under load.
#include "bench_run.hpp"
#include <algorithm>

namespace kumquatramp::bench
{

namespace
{

constexpr std::uint64_t bench_seed = 20261204;

/// Requests per second of a service under normal load, and the mean time of an
/// execution. The load is about a third of the capacity of its targets.
struct normal_load
{
    char const* service;
    double rate;
    duration service_time;
};

constexpr normal_load accra_loads[]{
    {"stock-finder", 300, 10ms},
    {"booking-desk", 100, 10ms},
    {"driver-app", 100, 5ms},
    {"laundry-tracker", 50, 5ms},
};

constexpr normal_load cymru_west_loads[]{
    {"fitting-counter", 250, 10ms},
    {"pattern-room", 40, 10ms},
    {"order-desk", 250, 100ms},
    {"tannery-feed", 100, 5ms},
};

std::span<normal_load const> loads_of(std::string const& deployment)
{
    return deployment == "accra" ? std::span(accra_loads)
                                 : std::span(cymru_west_loads);
}

scenarios::deployment sizes_for(std::string const& name)
{
    auto sizes = scenarios::find_deployment(name).value();
    for (auto& service : sizes.services)
    {
        for (auto const& load : loads_of(name))
        {
            if (service.name == load.service)
            {
                service.service_time = load.service_time;
            }
        }
    }
    return sizes;
}

void set_loads(scenarios::world& in, std::string const& deployment,
               double factor)
{
    for (auto const& load : loads_of(deployment))
    {
        in.load(load.service, load.rate * factor);
    }
}

void set_stragglers(scenarios::world& in, double share)
{
    for (auto const& service : in.sizes().services)
    {
        for (auto* const target : in.targets_of_service(service.name))
        {
            target->behaviour().straggle_share =
                service.idempotent ? share : 0.0;
        }
    }
}

std::uint32_t ideal_sends(scenarios::deployment const& sizes,
                          std::string const& name)
{
    for (auto const& service : sizes.services)
    {
        if (service.name == name)
        {
            return service.idempotent ? service.groups : 1;
        }
    }
    return 1;
}

} // namespace

std::vector<std::string> measured_services(std::string const& deployment)
{
    if (deployment == "accra")
    {
        return {"stock-finder", "booking-desk"};
    }
    return {"fitting-counter", "order-desk"};
}

std::vector<std::string> base_rules(std::string const& deployment)
{
    if (deployment == "accra")
    {
        return {"deadline stock-finder 1s"};
    }
    return {"priority fitting-counter 0", "deadline order-desk 10s"};
}

std::map<std::string, std::vector<measurement>>
run_bench(bench_setup const& setup)
{
    scenarios::world_options options;
    options.seed = bench_seed;
    options.choice = setup.choice;
    options.rules = base_rules(setup.deployment);
    options.rules.insert(options.rules.end(), setup.rules.begin(),
                         setup.rules.end());
    scenarios::world in(sizes_for(setup.deployment), options);
    auto spans = setup.spans;
    if (spans.empty())
    {
        spans.push_back(
            {time_point{} + warm_up, time_point{} + warm_up + measured_time});
    }
    in.run_until(time_point{} + 1s);
    set_loads(in, setup.deployment, std::min(1.0, setup.load));
    set_stragglers(in, setup.straggle_share);
    in.queue().at(time_point{} + warm_up - 5s,
                  [&] { set_loads(in, setup.deployment, setup.load); });
    for (auto const& each : setup.disturbances)
    {
        in.queue().at(time_point{} + each.at, [&] { each.apply(in); });
    }
    auto const last = std::max_element(spans.begin(), spans.end(),
                                       [](auto const& a, auto const& b)
                                       { return a.last < b.last; });
    in.run_until(last->last + 20s);
    std::map<std::string, std::vector<measurement>> measured;
    for (auto const& service : measured_services(setup.deployment))
    {
        for (auto const& span : spans)
        {
            auto const limit =
                service == "order-desk" ? order_time_limit : time_limit;
            measured[service].push_back(
                measure(in.log(), service, ideal_sends(in.sizes(), service),
                        span, limit));
        }
    }
    return measured;
}

} // namespace kumquatramp::bench
