// Tests admission under load: rate limits, priorities, fair sharing and
// arbitrary caller names.
#include <array>
#include <catch2/catch.hpp>
#include <details/caller_table.hpp>
#include <limits/admission.hpp>
#include <random>
#include <string>
#include <vector>

using namespace kumquatramp;

namespace
{

time_point const start{1h};
service_name const counter{"fitting-counter"};
service_name const desk{"order-desk"};
caller_name const caller{"gwalch"};
constexpr std::uint32_t no_limit = 100000;

/// Enters requests until one is refused; returns the number admitted.
std::uint32_t fill(admission_controller& controller,
                   service_name const& service, caller_name const& name,
                   std::uint8_t priority)
{
    std::uint32_t admitted = 0;
    while (!controller.enter(service, name, priority, no_limit, {}, start))
    {
        ++admitted;
    }
    return admitted;
}

} // namespace

TEST_CASE("a higher priority is admitted where lower ones are refused")
{
    admission_controller controller{100};
    std::uint32_t total = 0;
    for (int priority = 9; priority >= 0; --priority)
    {
        auto const more = fill(controller, counter, caller,
                               static_cast<std::uint8_t>(priority));
        REQUIRE(more > 0);
        total += more;
    }
    REQUIRE(total == 100);
    REQUIRE(controller.in_flight() == 100);
}

TEST_CASE("at twice the load lookups are admitted and orders are refused")
{
    // A request takes 10 ms, so 100 concurrent requests complete 10 per
    // millisecond. Lookups offer 4.5 per millisecond on average, orders 15.5.
    constexpr std::size_t service_time = 10;
    admission_controller controller{100};
    std::mt19937_64 random(11);
    std::array<std::vector<service_name>, service_time> running;
    std::uint32_t refused_lookups = 0;
    std::uint32_t refused_orders = 0;
    for (std::size_t ms = 0; ms < 10000; ++ms)
    {
        auto const now = start + std::chrono::milliseconds(ms);
        auto& ending = running[ms % service_time];
        for (auto const& service : ending)
        {
            controller.leave(service, caller);
        }
        ending.clear();
        auto const offer = [&](service_name const& service,
                               std::uint8_t priority, std::uint32_t& refused)
        {
            if (controller.enter(service, caller, priority, no_limit, {}, now))
            {
                ++refused;
                return;
            }
            ending.push_back(service);
        };
        for (auto orders = random() % 32; orders > 0; --orders)
        {
            offer(desk, 9, refused_orders);
        }
        for (auto lookups = random() % 10; lookups > 0; --lookups)
        {
            offer(counter, 0, refused_lookups);
        }
    }
    REQUIRE(refused_lookups == 0);
    REQUIRE(refused_orders > 0);
}

TEST_CASE("under scarcity a caller over its fair share is refused first")
{
    admission_controller controller{100};
    auto const greedy = fill(controller, counter, caller_name{"greedy"}, 0);
    REQUIRE(greedy == 100); // a single caller may use all capacity
    for (int i = 0; i < 20; ++i)
    {
        controller.leave(counter, caller_name{"greedy"});
    }
    REQUIRE_FALSE(controller.enter(counter, caller_name{"modest"}, 0, no_limit,
                                   {}, start));
    REQUIRE(controller.enter(counter, caller_name{"greedy"}, 0, no_limit, {},
                             start) == error_kind::overloaded);
    REQUIRE(fill(controller, counter, caller_name{"modest"}, 0) == 19);
}

TEST_CASE("the rate of a caller is enforced by a token bucket")
{
    admission_controller controller{100};
    auto const enter = [&](time_point now)
    { return controller.enter(counter, caller, 0, 9, 2.0, now); };
    REQUIRE_FALSE(enter(start));
    REQUIRE_FALSE(enter(start));
    REQUIRE(enter(start) == error_kind::rate_limited);
    REQUIRE_FALSE(enter(start + 500ms));
    REQUIRE(enter(start + 500ms) == error_kind::rate_limited);
    REQUIRE_FALSE(enter(start + 1h));
    REQUIRE_FALSE(enter(start + 1h));
    REQUIRE(enter(start + 1h) == error_kind::rate_limited);
}

TEST_CASE("names beyond the table capacity share entries and their rates")
{
    admission_controller controller{1000000};
    std::uint32_t admitted = 0;
    for (int i = 0; i < 50000; ++i)
    {
        caller_name const name{"made-up-" + std::to_string(i)};
        if (!controller.enter(counter, name, 0, no_limit, 1.0, start))
        {
            ++admitted;
        }
    }
    REQUIRE(admitted <= caller_table::capacity + caller_table::shared_entries);
    for (int i = 0; i < 50000; ++i)
    {
        controller.leave(counter, caller_name{"made-up-" + std::to_string(i)});
    }
    // Callers admitted through a shared entry also leave through it.
    REQUIRE(controller.in_flight() == 0);
    REQUIRE_FALSE(
        controller.enter(counter, caller, 0, no_limit, 1.0, start + 2s));
}
