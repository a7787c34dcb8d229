// Guards against retry storms: extra attempts must stay within their ratio of
// the first attempts in any order, and cease when first attempts become rare.
#include <catch2/catch.hpp>
#include <limits/ratio_budget.hpp>
#include <random>
#include <thread>
#include <vector>

using namespace kumquatramp;

TEST_CASE("extra attempts <= ratio * first attempts + cap, in any interleaving")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        double const ratio = 0.01 * double(1 + random() % 20);
        double const cap = double(1 + random() % 10);
        ratio_budget budget{ratio, cap};
        double first_sends = 0;
        double extra_sends = 0;
        std::uint64_t extra_percent = 1;
        for (int i = 0; i < 20000; ++i)
        {
            // Alternates quiet periods, bursts and mixtures.
            extra_percent = i % 1000 == 0 ? random() % 100 : extra_percent;
            if (random() % 100 < extra_percent)
            {
                extra_sends += budget.spend() ? 1 : 0;
            }
            else
            {
                budget.earn();
                ++first_sends;
            }
            REQUIRE(extra_sends <= ratio * first_sends + cap);
        }
        REQUIRE(extra_sends > 0);
    }
}

TEST_CASE("the balance funds at most the cap, then extra attempts cease")
{
    ratio_budget budget{0.05, 5};
    for (int i = 0; i < 100000; ++i)
    {
        budget.earn();
    }
    // All targets are slow: every first attempt wants a hedge, and as answers
    // fail to arrive, fewer and fewer first attempts are made.
    int extra_sends = 0;
    for (int i = 0; i < 200; ++i)
    {
        budget.earn();
        extra_sends += budget.spend() ? 1 : 0;
    }
    REQUIRE(extra_sends <= 5 + 10);
    for (int i = 0; i < 1000; ++i)
    {
        extra_sends += budget.spend() ? 1 : 0;
    }
    REQUIRE(extra_sends <= 5 + 10);
}

TEST_CASE("threads that share a budget stay within its bound together")
{
    ratio_budget budget{0.1, 3};
    constexpr int sends_per_thread = 20000;
    std::vector<int> extra_sends(4);
    std::vector<std::thread> threads;
    threads.reserve(extra_sends.size());
    for (auto& thread_extra_sends : extra_sends)
    {
        threads.emplace_back(
            [&budget, &thread_extra_sends]
            {
                for (int i = 0; i < sends_per_thread; ++i)
                {
                    budget.earn();
                    thread_extra_sends += budget.spend() ? 1 : 0;
                }
            });
    }
    int sum = 0;
    for (std::size_t i = 0; i < threads.size(); ++i)
    {
        threads[i].join();
        sum += extra_sends[i];
    }
    REQUIRE(sum <= 0.1 * sends_per_thread * 4 + 3);
}
