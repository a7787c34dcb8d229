// Gossip cost and propagation time, from the current 18 hosts to 1000 hosts.
#include "simulated_fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

using namespace kumquatramp;

namespace
{

struct measurements
{
    double mean_bytes = 0; // sent per host and second
    double max_bytes = 0;  // sent per second by the host that sends most
    duration oldest_view{};
    duration version_propagation{};
    duration leaving_propagation{};
    std::size_t false_deaths = 0;
    std::size_t readers = 0;
    double reads = 0; // of one key, per second
};

constexpr duration warm_up_time = 15s;
constexpr duration measurement_time = 10s;

void measure_bytes(simulated_fleet& fleet, measurements& result)
{
    auto const reads = fleet.reads();
    for (auto& h : fleet.hosts())
    {
        h.bytes_sent = 0;
    }
    fleet.run_until(fleet.now() + measurement_time,
                    [&]
                    {
                        for (auto const& h : fleet.hosts())
                        {
                            result.oldest_view = std::max(
                                result.oldest_view, h.lease->age(fleet.now()));
                        }
                    });
    auto const seconds =
        std::chrono::duration<double>(measurement_time).count();
    for (auto const& h : fleet.hosts())
    {
        auto const rate = static_cast<double>(h.bytes_sent) / seconds;
        result.mean_bytes += rate / static_cast<double>(fleet.hosts().size());
        result.max_bytes = std::max(result.max_bytes, rate);
        result.readers += h.table->is_reader(fleet.now()) ? 1 : 0;
    }
    result.reads = static_cast<double>(fleet.reads() - reads) / seconds;
}

duration time_until(simulated_fleet& fleet, std::function<bool()> const& holds)
{
    auto const start = fleet.now();
    while (!holds() && fleet.now() - start < 30s)
    {
        fleet.run_until(fleet.now() + 100ms, [] {});
    }
    return fleet.now() - start;
}

bool knows_leaving(simulated_fleet& fleet, simulated_fleet::host const& h,
                   host_name const& leaver)
{
    auto const serving = h.table->serving(fleet.now());
    return std::none_of(serving.begin(), serving.end(),
                        [&](member_entry const& entry)
                        { return entry.name == leaver; });
}

measurements measure(std::size_t size, std::size_t zones)
{
    measurements result;
    simulated_fleet fleet{size, {}, 5, zones};
    auto& hosts = fleet.hosts();
    fleet.run_until(fleet.now() + warm_up_time, [] {});
    measure_bytes(fleet, result);

    fleet.publish();
    result.version_propagation =
        time_until(fleet,
                   [&]
                   {
                       return std::all_of(hosts.begin(), hosts.end(),
                                          [](auto const& h)
                                          { return h.version_in_force == 2; });
                   });

    auto& leaver = hosts[size / 2];
    leaver.leaving = true;
    result.leaving_propagation =
        time_until(fleet,
                   [&]
                   {
                       return std::all_of(hosts.begin(), hosts.end(),
                                          [&](auto const& h) {
                                              return knows_leaving(
                                                  fleet, h, leaver.entry.name);
                                          });
                   });

    for (auto const& member : hosts[1].table->members(fleet.now()))
    {
        result.false_deaths += member.state == liveness::dead ? 1 : 0;
    }
    return result;
}

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

void print(std::size_t size, measurements const& got)
{
    std::cout << size << " hosts: sent " << got.mean_bytes << " B/s mean, "
              << got.max_bytes << " B/s maximum; oldest view "
              << seconds(got.oldest_view) << " s; version propagated in "
              << seconds(got.version_propagation)
              << " s; leaving propagated in "
              << seconds(got.leaving_propagation) << " s; " << got.readers
              << " readers, " << got.reads << " reads/s; " << got.false_deaths
              << " live hosts considered dead\n";
}

void require_bounds(std::size_t size, std::size_t zones)
{
    auto const got = measure(size, zones);
    print(size, got);
    membership_options const options;
    CHECK(got.oldest_view < options.view_lifetime);
    CHECK(got.version_propagation < 5s);
    CHECK(got.leaving_propagation < 8 * options.round);
    CHECK(got.false_deaths == 0);
    CHECK(got.readers == options.readers_per_zone * zones);
}

} // namespace

TEST_CASE("propagation time and reader count stay bounded as the fleet grows",
          "[scale]")
{
    require_bounds(18, 3);
    require_bounds(256, 9);
}

// Takes about a minute. Run with: membership_tests "[thousand]"
TEST_CASE("a fleet of 1000 hosts stays within the bounds", "[.thousand]")
{
    require_bounds(1000, 9);
}
