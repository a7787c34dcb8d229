// Tests the staleness bound of the lease: no host sends on a view that was
// superseded more than 5 s ago, while hosts are paused, isolated or restarted
// and the platform is stale or down.
#include "fault_schedule.hpp"
#include "simulated_fleet.hpp"

#include <catch2/catch.hpp>

using namespace kumquatramp;

namespace
{

constexpr std::size_t fleet_size = 18;

void require_no_stale_sender(simulated_fleet& fleet)
{
    for (auto const& h : fleet.hosts())
    {
        if (fleet.may_send(h) && h.version_in_force < fleet.required_version())
        {
            FAIL(h.entry.name.value()
                 << " sends on version " << h.version_in_force << " of "
                 << fleet.required_version() << " at "
                 << fleet.now().time_since_epoch() / 1ms << " ms");
        }
    }
}

std::size_t count_senders(simulated_fleet& fleet)
{
    std::size_t count = 0;
    for (auto const& h : fleet.hosts())
    {
        count += fleet.may_send(h) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("no host sends on a view superseded more than 5 s ago under random "
          "faults",
          "[lease][property]")
{
    auto const seed = GENERATE(range(1, 41));
    simulated_fleet fleet{fleet_size, {}, static_cast<std::uint64_t>(seed)};
    fault_schedule faults{fleet};
    auto const check = [&]
    {
        INFO("seed " << seed << faults.trace());
        require_no_stale_sender(fleet);
    };
    fleet.run_until(fleet.now() + 5s, check);
    REQUIRE(count_senders(fleet) == fleet_size);
    for (int i = 0; i < 20; ++i)
    {
        faults.inject();
        fleet.run_until(fleet.now() + 100ms * (1 + fleet.random().below(60)),
                        check);
    }
}

TEST_CASE(
    "while the platform is down, a majority of the voters keeps serving and "
    "a minority stops",
    "[lease]")
{
    simulated_fleet fleet{fleet_size, {}, 7};
    auto const check = [&] { require_no_stale_sender(fleet); };
    fleet.run_until(fleet.now() + 5s, check);
    for (auto& h : fleet.hosts())
    {
        h.platform_reachable = false;
    }
    std::size_t min_senders = fleet_size;
    fleet.run_until(
        fleet.now() + 60s,
        [&] { min_senders = std::min(min_senders, count_senders(fleet)); });
    CHECK(min_senders == fleet_size);

    // Of two halves, the one with a majority of the voters keeps serving.
    for (std::size_t i = 0; i < fleet_size / 2; ++i)
    {
        fleet.assign_group(i, 1);
    }
    fleet.run_until(fleet.now() + 10s, check);
    CHECK(count_senders(fleet) == fleet_size / 2);

    // Of three thirds, none has a majority.
    for (std::size_t i = 0; i < fleet_size; ++i)
    {
        fleet.assign_group(i, static_cast<int>(i % 3));
    }
    fleet.run_until(fleet.now() + 10s, check);
    CHECK(count_senders(fleet) == 0);

    for (std::size_t i = 0; i < fleet_size; ++i)
    {
        fleet.assign_group(i, 0);
    }
    fleet.run_until(fleet.now() + 10s, check);
    CHECK(count_senders(fleet) == fleet_size);
}

TEST_CASE("isolated hosts do not keep each other's views fresh",
          "[lease][property]")
{
    auto const seed = GENERATE(range(1, 11));
    INFO("seed " << seed);
    simulated_fleet fleet{fleet_size, {}, static_cast<std::uint64_t>(seed)};
    fleet.run_until(fleet.now() + 5s, [] {});
    auto const isolated_at = fleet.now();
    auto const group_size = 2 + fleet.random().below(max_voters / 2 - 1);
    for (std::size_t i = 0; i < group_size; ++i)
    {
        fleet.assign_group(i, 1);
        fleet.hosts()[i].platform_reachable = false;
    }
    fleet.run_until(isolated_at + 20s,
                    [&]
                    {
                        // Messages in flight when the group was isolated may
                        // still arrive.
                        auto const min_age = fleet.now() - isolated_at - 100ms;
                        for (std::size_t i = 0; i < group_size; ++i)
                        {
                            CHECK(fleet.hosts()[i].lease->age(fleet.now()) >=
                                  min_age);
                        }
                    });
}

TEST_CASE("a host without peer contact does not trust the platform", "[lease]")
{
    simulated_fleet fleet{fleet_size, {}, 3};
    fleet.run_until(fleet.now() + 5s, [] {});
    fleet.assign_group(4, 1);
    fleet.run_until(fleet.now() + 4s, [] {});
    CHECK_FALSE(fleet.may_send(fleet.hosts()[4]));
    fleet.assign_group(4, 0);
    fleet.run_until(fleet.now() + 4s, [] {});
    CHECK(fleet.may_send(fleet.hosts()[4]));
}

TEST_CASE("a confirmation received after a pause counts from its request time",
          "[lease]")
{
    view_lease lease{host_name{"a"}, {}};
    lease.set_members(2, time_point{});
    time_point const request_time{100s};
    auto const resume_time = request_time + 10s;
    lease.confirm_by_platform(request_time);
    lease.confirm_by_peer(host_name{"b"}, request_time, 0ms);
    CHECK_FALSE(lease.valid(resume_time));

    lease.confirm_by_peer(host_name{"b"}, resume_time, -20s); // a forged age
    CHECK_FALSE(lease.valid(resume_time + 4s));
}
