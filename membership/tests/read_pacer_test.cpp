// Tests the bound on platform reads by hosts that are not readers.
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <config/config_key.hpp>
#include <deque>
#include <membership/read_pacer.hpp>

using namespace kumquatramp;

TEST_CASE("reads by hosts with old views stay bounded in total and back off",
          "[pacer]")
{
    auto const size = GENERATE(std::size_t{18}, std::size_t{1000});
    seeded_random random{4};
    membership_options const options;
    std::deque<read_pacer> pacers;
    for (std::size_t i = 0; i < size; ++i)
    {
        pacers.emplace_back(options, random);
    }
    std::vector<std::size_t> reads_in_slice(6);
    constexpr duration slice = 10s;
    time_point const start{100s};
    for (auto now = start; now < start + 6 * slice; now += 100ms)
    {
        for (auto& pacer : pacers)
        {
            if (pacer.due(options.view_lifetime, size, now))
            {
                reads_in_slice[static_cast<std::size_t>(
                    (now - start) / slice)] += all_config_keys.size();
            }
        }
    }
    CHECK_FALSE(pacers[0].due(options.view_lifetime / 2, size, start));

    // The first read of each host comes in addition to the limited rate.
    auto const allowed = static_cast<std::size_t>(
        read_pacer::fleet_reads_per_second * (slice / 1s));
    CHECK(reads_in_slice[0] <= allowed + size * all_config_keys.size());
    for (std::size_t i = 1; i < reads_in_slice.size(); ++i)
    {
        CHECK(reads_in_slice[i] <= allowed);
    }
    CHECK(reads_in_slice[5] < reads_in_slice[0]);
}
