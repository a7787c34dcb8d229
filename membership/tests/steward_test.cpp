// Tests that no target has two stewards under random faults, and that each
// target gets a steward.
#include "fault_schedule.hpp"
#include "simulated_fleet.hpp"

#include <catch2/catch.hpp>

using namespace kumquatramp;

namespace
{

std::vector<target_name> make_targets()
{
    constexpr std::size_t count = 12;
    std::vector<target_name> targets;
    targets.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        targets.emplace_back("target-" + std::to_string(i));
    }
    return targets;
}

bool may_warm(simulated_fleet& fleet, simulated_fleet::host const& h,
              target_name const& target)
{
    return fleet.may_send(h) && h.lease->in_quorum(fleet.now()) &&
           h.election->is_steward(target, fleet.now());
}

std::string find_stewards(simulated_fleet& fleet, target_name const& target,
                          std::size_t& count)
{
    std::string names;
    count = 0;
    for (auto const& h : fleet.hosts())
    {
        if (may_warm(fleet, h, target))
        {
            ++count;
            names += " " + h.entry.name.value();
        }
    }
    return names;
}

} // namespace

TEST_CASE("no target has two stewards under random faults",
          "[steward][property]")
{
    auto const seed = GENERATE(range(1, 16));
    auto const size = GENERATE(std::size_t{5}, std::size_t{18});
    simulated_fleet fleet{size, {}, static_cast<std::uint64_t>(seed)};
    fault_schedule faults{fleet};
    auto const targets = make_targets();
    auto const check = [&]
    {
        for (auto const& target : targets)
        {
            std::size_t count = 0;
            auto const names = find_stewards(fleet, target, count);
            if (count > 1)
            {
                INFO("seed " << seed << faults.trace());
                FAIL(target.value()
                     << " has the stewards" << names << " at "
                     << fleet.now().time_since_epoch() / 1ms << " ms");
            }
        }
    };
    for (int i = 0; i < 25; ++i)
    {
        fleet.run_until(fleet.now() + 100ms * (1 + fleet.random().below(90)),
                        check);
        faults.inject();
    }
}

TEST_CASE(
    "each target has one steward soon after start-up and the loss of a host",
    "[steward]")
{
    membership_options const options;
    auto const size = GENERATE(std::size_t{3}, std::size_t{5}, std::size_t{18});
    simulated_fleet fleet{size, options, 11};
    auto const settling_time =
        options.death_time + options.steward_hold_off + 5s;
    auto const targets = make_targets();
    for (std::size_t lost = 0; lost < size / 3; ++lost)
    {
        fleet.run_until(fleet.now() + settling_time, [] {});
        for (auto const& target : targets)
        {
            std::size_t count = 0;
            find_stewards(fleet, target, count);
            INFO(size << " hosts, " << lost << " lost");
            CHECK(count == 1);
        }
        fleet.hosts()[lost].alive = false;
    }
}
