// Sums over hosts of the sends to a target that states a limit.
#include "engine_fixture.hpp"
#include <catch2/catch.hpp>
#include <deque>
#include <serving/stated_rate.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Most sends in any 4 s by hosts that all want to send all the time.
std::size_t most_in_window(double limit, int hosts)
{
    std::vector<stated_rate> shares(static_cast<std::size_t>(hosts));
    std::deque<time_point> sends;
    std::size_t most = 0;
    time_point const start(1h);
    for (time_point now = start; now < start + 20s; now += 5ms)
    {
        for (int i = 0; i < hosts; ++i)
        {
            auto& share = shares[static_cast<std::size_t>(i)];
            fleet_place const place{.rank = i, .hosts = hosts};
            share.update(limit, now);
            while (share.wait(place, now) == duration::zero())
            {
                share.spend(place, now);
                sends.push_back(now);
            }
        }
        while (!sends.empty() && sends.front() <= now - 4s)
        {
            sends.pop_front();
        }
        most = std::max(most, sends.size());
    }
    return most;
}

} // namespace

// Guards against hosts that each keep to a target's limit but not their sum.
TEST_CASE("the sends of all hosts keep to the limit that a target states")
{
    int const hosts = GENERATE(1, 2, 15, 18, 137);
    double const limit = GENERATE(0.5, 1.0, 3.0, 31.9, 400.0);
    CAPTURE(hosts, limit);
    double const allowed = 1.5 * limit * 4.0 + 5.0;
    auto const most = static_cast<double>(most_in_window(limit, hosts));
    CHECK(most <= allowed);
    // The limit is also made use of.
    CHECK(most >= 0.9 * limit * 4.0);
}

TEST_CASE("a limit of zero admits nothing until it is forgotten")
{
    stated_rate rate;
    time_point const now(1h);
    rate.update(0.0, now);
    CHECK(rate.wait({}, now + 9s) == duration::max());
    CHECK(rate.wait({}, now + 10s) == duration::zero());
}

TEST_CASE("the wait for a very small limit ends when the limit is forgotten")
{
    stated_rate rate;
    time_point const now(1h);
    rate.update(1e-300, now);
    CHECK(rate.wait({}, now) > duration::zero());
    CHECK(rate.wait({}, now) <= 10s);
}

TEST_CASE("an answer without a limit ends it")
{
    stated_rate rate;
    time_point const now(1h);
    rate.update(0.1, now);
    rate.spend({}, now);
    CHECK(rate.wait({}, now) > duration::zero());
    rate.update(std::nullopt, now);
    CHECK(rate.wait({}, now) == duration::zero());
}

// Guards against requests to a target beyond the rate that it states.
TEST_CASE("a target gets no more requests than it states, and the others serve")
{
    testing::engine_fixture fixture;
    fixture.add_targets("s0", {"zone-a", "zone-b"});
    fixture.configure({"s0"}, 1.0);
    auto const state_limit = [&]
    {
        for (auto const& t : fixture.table.replicas("s0"))
        {
            if (t->record.id == "s0-zone-a")
            {
                fixture.table.report_rate_limit(*t, 2.0, fixture.now);
            }
        }
    };
    for (request_handle handle = 1; handle <= 400; ++handle)
    {
        state_limit();
        fixture.submit(handle, "/s0/x");
        fixture.reply_all_but();
        fixture.advance(10ms);
    }
    CHECK(fixture.sends_to("s0-zone-a") <= 17);
    CHECK(fixture.sends_to("s0-zone-b") >= 383);
}

// Guards against requests that wait or waste sends although they cannot be
// served within the limits of their targets.
TEST_CASE("a query beyond the limits of its targets is refused at once")
{
    testing::engine_fixture fixture;
    fixture.add_targets("s0", {"zone-a"});
    fixture.add_targets("s1", {"zone-a"});
    fixture.configure({"s0", "s1"}, 1.0);
    auto const& limited = fixture.table.replicas("s1").front();
    fixture.table.report_rate_limit(*limited, 1.0, fixture.now);
    fixture.submit(1, "/all/x");
    fixture.reply_all_but();
    fixture.table.report_rate_limit(*limited, 1.0, fixture.now);
    fixture.sent.clear();
    fixture.submit(2, "/all/x");
    REQUIRE(fixture.answers.contains(2));
    CHECK(fixture.answers.at(2).error == error_kind::overloaded);
    CHECK(*fixture.answers.at(2).retry_after >= 500ms);
    CHECK(fixture.sent.empty());
}

} // namespace kumquatramp::serving
