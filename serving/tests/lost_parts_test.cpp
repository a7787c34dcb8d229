// Load patterns in which parts of a query are skipped, late or lost.
#include "engine_fixture.hpp"
#include <catch2/catch.hpp>

namespace kumquatramp::serving
{

using testing::engine_fixture;

namespace
{

constexpr int shard_count = 10;

std::string shard_name(int number)
{
    return std::string("s").append(std::to_string(number));
}

/// The id that the fixture gives to the target of a service in a zone.
std::string target_id(std::string id, std::string const& zone)
{
    return id.append("-").append(zone);
}

std::vector<std::string> const zones{"zone-a", "zone-b", "zone-c"};

/// Ten shards of three targets each, s0 of one; nine are required.
struct fixture_with_lone_target final : engine_fixture
{
    explicit fixture_with_lone_target(
        serving_options options = default_options())
        : engine_fixture(options)
    {
        std::vector<std::string> names;
        for (int i = 0; i < shard_count; ++i)
        {
            names.push_back(shard_name(i));
            add_targets(names.back(),
                        i == 0 ? std::vector<std::string>{"zone-a"} : zones);
        }
        configure(names, 0.89);
        warm_up();
    }

    /// Feeds the latency estimate with queries that take 20 ms.
    void warm_up()
    {
        for (int i = 0; i < 40; ++i)
        {
            submit(++last_warm_up_, "/all/x");
            advance(20ms);
            reply_all_but();
            advance(80ms);
        }
        sent.clear();
    }

    /// Lets timers fire at their time.
    void advance_in_steps(duration length)
    {
        for (duration passed{}; passed < length; passed += 5ms)
        {
            advance(5ms);
        }
    }

    std::vector<std::string> targets_of(int shard) const
    {
        std::vector<std::string> names;
        names.reserve(zones.size());
        for (auto const& zone : zones)
        {
            names.push_back(target_id(shard_name(shard), zone));
        }
        return names;
    }

private:
    request_handle last_warm_up_ = 10'000;
};

} // namespace

TEST_CASE("load pattern slow shard: a skipped shard is sent when another one "
          "is overdue")
{
    fixture_with_lone_target fixture;
    auto const& lone = fixture.table.replicas("s0").front();
    lone->admitted_share = 0.01;
    int skipped = 0;
    for (request_handle h = 1; h <= 20; ++h)
    {
        fixture.sent.clear();
        fixture.submit(h, "/all/x");
        bool const skips = fixture.sends_to("s0-zone-a") == 0;
        skipped += skips ? 1 : 0;
        fixture.advance(20ms);
        fixture.reply_all_but(fixture.targets_of(4));
        // The targets of s4 are paused, that of the hedge as well.
        fixture.advance_in_steps(85ms);
        CHECK(fixture.sends_to("s0-zone-a") == 1);
        fixture.reply_all_but(fixture.targets_of(4));
        // The answer leaves before the latency objective.
        fixture.advance(40ms);
        CHECK(fixture.answers.contains(h));
        fixture.reply_all_but();
        fixture.advance(1s);
        lone->admitted_share = 1.0;
        fixture.warm_up();
        lone->admitted_share = 0.01;
    }
    CHECK(skipped >= 15);
}

TEST_CASE("load pattern lost answers: a part that was given up to spare the "
          "retry budget is sent again once the query needs it")
{
    fixture_with_lone_target fixture;
    // Spends more than half of the retry budget of s5.
    for (request_handle h = 1;
         fixture.engine.least_budget_left(fixture.now) > 10.0; ++h)
    {
        fixture.submit(h, "/s5/x");
        fixture.reply(fixture.sent.back(), reply_kind::broken);
        fixture.reply_all_but();
        REQUIRE(h < 400);
    }
    fixture.advance(100ms);
    fixture.sent.clear();
    fixture.submit(1000, "/all/x");
    auto const broken = [&](std::string const& shard)
    {
        for (auto const& zone : zones)
        {
            if (fixture.open_at(target_id(shard, zone)))
            {
                fixture.reply(target_id(shard, zone), reply_kind::broken);
                return;
            }
        }
        FAIL("nothing was sent to " << shard);
    };
    auto const sends = [&](std::string const& shard)
    {
        std::size_t count = 0;
        for (auto const& zone : zones)
        {
            count += fixture.sends_to(target_id(shard, zone));
        }
        return count;
    };
    broken("s5");
    CHECK(sends("s5") == 1);
    // Both targets that s6 may use lose their answers.
    broken("s6");
    broken("s6");
    CHECK(sends("s6") == 2);
    CHECK(sends("s5") == 2);
    fixture.reply_all_but();
    REQUIRE(fixture.answers.contains(1000));
    CHECK(fixture.answers.at(1000).missing_parts == 1);
}

TEST_CASE(
    "load pattern slow shard: a part that cannot be sent beside a late one "
    "is sent once the query needs it")
{
    fixture_with_lone_target fixture;
    auto const& lone = fixture.table.replicas("s0").front();
    fixture.submit(1, "/all/x");
    fixture.advance(20ms);
    // The part of s0 is refused, and its target has no room for a while.
    fixture.table.report_rate_limit(*lone, 0.0, fixture.now);
    fixture.reply("s0-zone-a", {.kind = reply_kind::not_executed,
                                .status = 503,
                                .stamp = "",
                                .body = "",
                                .rate_limit = 0.0});
    fixture.reply_all_but(fixture.targets_of(4));
    fixture.advance_in_steps(100ms);
    CHECK(fixture.sends_to("s0-zone-a") == 1);
    fixture.table.report_rate_limit(*lone, std::nullopt, fixture.now);
    for (auto const& t : fixture.targets_of(4))
    {
        if (fixture.open_at(t))
        {
            fixture.reply(t, reply_kind::broken);
        }
    }
    CHECK(fixture.sends_to("s0-zone-a") == 2);
    fixture.reply_all_but();
    REQUIRE(fixture.answers.contains(1));
    CHECK(fixture.answers.at(1).what == client_answer::form::merged);
    CHECK(fixture.answers.at(1).missing_parts == 1);
}

} // namespace kumquatramp::serving
