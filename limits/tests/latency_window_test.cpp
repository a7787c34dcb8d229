// Compares the quantiles of a latency window with exact ones for small and
// large sample counts, and checks that old samples expire.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits/latency_window.hpp>
#include <random>
#include <vector>

using namespace kumquatramp;

namespace
{

time_point const start{1h};

/// Latencies around 6 ms, 2 in 100 of which are twenty times higher.
duration draw(std::mt19937_64& random)
{
    std::lognormal_distribution<double> usual(std::log(6.0), 0.4);
    std::chrono::duration<double, std::milli> latency(usual(random));
    latency *= random() % 100 < 2 ? 20 : 1;
    return std::chrono::duration_cast<duration>(latency);
}

} // namespace

TEST_CASE("tail quantiles of small sample counts are within one rank")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        for (std::size_t count : {20, 50, 100, 300, 1000})
        {
            for (double const p : {0.9, 0.95, 0.99})
            {
                CAPTURE(seed, count, p);
                std::mt19937_64 random(seed);
                latency_window window{10s};
                std::vector<duration> all;
                for (std::size_t i = 0; i < count; ++i)
                {
                    all.push_back(draw(random));
                    window.record(all.back(), start);
                }
                std::sort(all.begin(), all.end());
                auto const rank =
                    static_cast<std::size_t>(std::ceil(p * double(count)));
                auto const got = window.quantile(p, start);
                // A difference of one rank is allowed.
                REQUIRE(got >= all[std::max<std::size_t>(rank, 2) - 2]);
                REQUIRE(got <= all[std::min(rank, count - 1)]);
            }
        }
    }
}

TEST_CASE("quantiles of many samples lie in the expected ranges")
{
    std::mt19937_64 random(3);
    latency_window window{10s};
    for (int i = 0; i < 100000; ++i)
    {
        window.record(draw(random), start);
    }
    REQUIRE(window.quantile(0.95, start) > 9ms);
    REQUIRE(window.quantile(0.95, start) < 16ms);
    REQUIRE(window.quantile(0.999, start) > 50ms);
    REQUIRE(window.quantile(0.0, start) > 1ms);
    REQUIRE(window.quantile(0.0, start) <= window.quantile(0.95, start));
}

TEST_CASE("a window reports 0 for few samples and drops old ones")
{
    latency_window window{10s};
    for (std::uint32_t i = 1; i < latency_window::min_samples; ++i)
    {
        window.record(5ms, start);
    }
    REQUIRE(window.quantile(0.95, start) == 0ms);
    window.record(5ms, start);
    REQUIRE(window.quantile(0.95, start) == 5ms);
    REQUIRE(window.quantile(0.95, start + 19s) == 5ms);
    for (int i = 0; i < 30; ++i)
    {
        window.record(1ms, start + 19s);
    }
    REQUIRE(window.quantile(0.95, start + 21s) == 5ms);
    REQUIRE(window.quantile(0.95, start + 29s) == 1ms);
    REQUIRE(window.quantile(0.95, start + 100s) == 0ms);
}
