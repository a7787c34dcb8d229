// Each request's end tells its cause; the counters tell what was decided.
#include "engine_world.hpp"
#include <array>
#include <catch2/catch.hpp>
#include <set>

namespace kumquatramp::serving
{

using testing::engine_world;

namespace
{

std::vector<std::string> const zones{"zone-a", "zone-b", "zone-c"};
std::vector<std::string> const services{"s0", "s1", "s2", "s3", "s4"};

/// Outcomes that a route and its targets have nothing to do with.
std::set<std::string, std::less<>> const without_targets{
    "not_ready", "unknown_path", "overloaded", "no_target"};

/// Plays requests against targets that answer, fail, refuse or are silent.
void play(engine_world& world, std::uint64_t seed)
{
    seeded_random dice(seed);
    constexpr std::array paths{"/all/x", "/s1/x", "/once/s2/x", "/nowhere/x"};
    for (request_handle handle = 1; handle <= 200; ++handle)
    {
        world.submit(handle, paths[dice.below(paths.size())]);
        for (int step = 0; step < 6; ++step)
        {
            world.advance(std::chrono::milliseconds(dice.below(60)));
            auto const& service = services[dice.below(services.size())];
            auto const id = service + "-" + zones[dice.below(zones.size())];
            if (!world.open_at(id))
            {
                continue;
            }
            switch (dice.below(5))
            {
            case 0:
                world.reply(id, reply_kind::broken);
                break;
            case 1:
                world.reply(id, reply_kind::not_executed, 503);
                break;
            case 2:
                world.reply(id, reply_kind::answered, 500);
                break;
            default:
                world.reply_ok(id);
                break;
            }
        }
        if (dice.below(3) == 0)
        {
            world.engine.client_gone(handle, world.now);
        }
    }
    world.advance(2s);
}

} // namespace

TEST_CASE("every request that fails tells of each shard what came of it")
{
    auto const seed = GENERATE(range(1, 21));
    auto options = engine_world::default_options();
    options.told_share = 1.0;
    engine_world world(options, static_cast<std::uint64_t>(seed));
    for (auto const& service : services)
    {
        world.add_targets(service, zones);
    }
    world.configure(services, 0.8);
    play(world, static_cast<std::uint64_t>(seed));
    CHECK(world.stories.size() == 200);
    int failures = 0;
    for (auto const& [handle, story] : world.stories)
    {
        CAPTURE(seed, handle, story.outcome, story.details);
        CHECK_FALSE(story.outcome.empty());
        if (story.kind != summary_kind::failed)
        {
            continue;
        }
        ++failures;
        bool const named =
            story.details.find("sent-to ") != std::string::npos ||
            story.details.find("refused-by ") != std::string::npos ||
            story.details.find("last: ") != std::string::npos;
        CHECK((named || without_targets.contains(story.outcome)));
        if (story.outcome != "unknown_path")
        {
            CHECK_FALSE(story.route.empty());
            CHECK(story.version == 1);
        }
    }
    CHECK(failures > 10);
}

TEST_CASE("hedges, retries and what the budget denied are counted")
{
    auto options = engine_world::default_options();
    engine_world world(options);
    world.add_targets("s0", zones);
    world.configure({"s0"}, 1.0);
    CHECK_FALSE(world.engine.least_budget_left(world.now));
    for (request_handle handle = 1; handle <= 20; ++handle)
    {
        world.submit(handle, "/s0/x");
        world.advance(20ms);
        world.reply_all_but();
    }
    CHECK(world.engine.counters().hedges == 0);
    CHECK(world.engine.counters().retries == 0);
    REQUIRE(world.engine.least_budget_left(world.now));
    double const before = *world.engine.least_budget_left(world.now);

    world.submit(21, "/s0/x");
    world.reply(world.sent.back(), reply_kind::broken);
    CHECK(world.engine.counters().retries == 1);
    world.reply_all_but();
    CHECK(*world.engine.least_budget_left(world.now) < before);

    world.submit(22, "/s0/x");
    world.advance(200ms);
    CHECK(world.engine.counters().hedges == 1);
    world.reply_all_but();

    for (request_handle handle = 23; handle <= 400; ++handle)
    {
        world.submit(handle, "/s0/x");
        world.reply(world.sent.back(), reply_kind::broken);
        world.reply_all_but();
    }
    CHECK(world.engine.counters().retries_denied > 0);
    CHECK(*world.engine.least_budget_left(world.now) < 1.0);
}

} // namespace kumquatramp::serving
