// Concurrent offers of interleaved versions.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <config/config_store.hpp>
#include <fake_validator.hpp>
#include <thread>

using namespace kumquatramp;

TEST_CASE("offers from several threads never lower the active version")
{
    constexpr auto key = config_key::rules;
    constexpr std::uint64_t rounds = 2000;
    constexpr std::uint64_t thread_count = 4;
    fake_validator validator;
    config_store store(validator);
    std::atomic<int> regressions{0};
    auto const offer_all = [&](std::uint64_t thread)
    {
        config_stamp last;
        for (std::uint64_t round = 1; round <= rounds; ++round)
        {
            auto const version = round * thread_count + thread;
            auto const number = std::to_string(version);
            store.offer(key, config_version{version}, "same\n" + number);
            auto const seen = store.stamp(key);
            regressions += seen < last ? 1 : 0;
            regressions += seen.version.value() < version ? 1 : 0;
            last = seen;
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (std::uint64_t i = 0; i < thread_count; ++i)
    {
        threads.emplace_back(offer_all, i);
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    CHECK(regressions == 0);
    auto const highest = rounds * thread_count + thread_count - 1;
    CHECK(store.stamp(key).version.value() == highest);
    CHECK(*store.text(key) == "same\n" + std::to_string(highest));
}
