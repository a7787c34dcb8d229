// Request summaries name the cause of failures; counters cover hedges and
// retries.
#include "engine_fixture.hpp"
#include <array>
#include <catch2/catch.hpp>
#include <set>

namespace kumquatramp::serving
{

using testing::engine_fixture;

namespace
{

std::vector<std::string> const zones{"zone-a", "zone-b", "zone-c"};
std::vector<std::string> const services{"s0", "s1", "s2", "s3", "s4"};

/// Outcomes of requests that are refused before any target is chosen.
std::set<std::string, std::less<>> const without_targets{
    "not_ready", "unknown_path", "overloaded", "no_target"};

/// Submits requests to targets that randomly answer, fail, refuse or do not
/// reply.
void run_random_requests(engine_fixture& fixture, std::uint64_t seed)
{
    seeded_random rng(seed);
    constexpr std::array paths{"/all/x", "/s1/x", "/once/s2/x", "/nowhere/x"};
    for (request_handle handle = 1; handle <= 200; ++handle)
    {
        fixture.submit(handle, paths[rng.below(paths.size())]);
        for (int step = 0; step < 6; ++step)
        {
            fixture.advance(std::chrono::milliseconds(rng.below(60)));
            auto const& service = services[rng.below(services.size())];
            auto const id = service + "-" + zones[rng.below(zones.size())];
            if (!fixture.open_at(id))
            {
                continue;
            }
            switch (rng.below(5))
            {
            case 0:
                fixture.reply(id, reply_kind::broken);
                break;
            case 1:
                fixture.reply(id, reply_kind::not_executed, 503);
                break;
            case 2:
                fixture.reply(id, reply_kind::answered, 500);
                break;
            default:
                fixture.reply_ok(id);
                break;
            }
        }
        if (rng.below(3) == 0)
        {
            fixture.engine.client_gone(handle, fixture.now);
        }
    }
    fixture.advance(2s);
}

} // namespace

TEST_CASE("a summary states how long ago the registry confirmed its version")
{
    engine_fixture fixture;
    fixture.add_targets("s0", {"zone-a"});
    fixture.configure({"s0"}, 1.0);
    fixture.engine.confirm_catalogue(fixture.now);
    fixture.advance(7s);
    fixture.submit(1, "/unknown/x");
    CHECK(fixture.summaries.at(1).version_age == 7s);
    fixture.submit(2, "/s0/x");
    fixture.advance(2s);
    CHECK(fixture.summaries.at(2).version_age == 7800ms);
}

TEST_CASE("the summary of every failed request names the cause by shard")
{
    auto const seed = GENERATE(range(1, 21));
    auto options = engine_fixture::default_options();
    options.told_share = 1.0;
    engine_fixture fixture(options, static_cast<std::uint64_t>(seed));
    for (auto const& service : services)
    {
        fixture.add_targets(service, zones);
    }
    fixture.configure(services, 0.8);
    run_random_requests(fixture, static_cast<std::uint64_t>(seed));
    CHECK(fixture.summaries.size() == 200);
    int failures = 0;
    for (auto const& [handle, summary] : fixture.summaries)
    {
        CAPTURE(seed, handle, summary.outcome, summary.details);
        CHECK_FALSE(summary.outcome.empty());
        if (summary.kind != summary_kind::failed)
        {
            continue;
        }
        ++failures;
        bool const named =
            summary.details.find("sent-to ") != std::string::npos ||
            summary.details.find("refused-by ") != std::string::npos ||
            summary.details.find("last: ") != std::string::npos;
        CHECK((named || without_targets.contains(summary.outcome)));
        if (summary.outcome != "unknown_path")
        {
            CHECK_FALSE(summary.route.empty());
            CHECK(summary.version == 1);
        }
    }
    CHECK(failures > 10);
}

TEST_CASE("hedges, retries and denials by the budget are counted")
{
    auto options = engine_fixture::default_options();
    engine_fixture fixture(options);
    fixture.add_targets("s0", zones);
    fixture.configure({"s0"}, 1.0);
    CHECK_FALSE(fixture.engine.least_budget_left(fixture.now));
    for (request_handle handle = 1; handle <= 20; ++handle)
    {
        fixture.submit(handle, "/s0/x");
        fixture.advance(20ms);
        fixture.reply_all_but();
    }
    CHECK(fixture.engine.counters().hedges == 0);
    CHECK(fixture.engine.counters().retries == 0);
    REQUIRE(fixture.engine.least_budget_left(fixture.now));
    double const before = *fixture.engine.least_budget_left(fixture.now);

    fixture.submit(21, "/s0/x");
    fixture.reply(fixture.sent.back(), reply_kind::broken);
    CHECK(fixture.engine.counters().retries == 1);
    fixture.reply_all_but();
    CHECK(*fixture.engine.least_budget_left(fixture.now) < before);

    fixture.submit(22, "/s0/x");
    fixture.advance(200ms);
    CHECK(fixture.engine.counters().hedges == 1);
    fixture.reply_all_but();

    for (request_handle handle = 23; handle <= 400; ++handle)
    {
        fixture.submit(handle, "/s0/x");
        fixture.reply(fixture.sent.back(), reply_kind::broken);
        fixture.reply_all_but();
    }
    CHECK(fixture.engine.counters().retries_denied > 0);
    CHECK(*fixture.engine.least_budget_left(fixture.now) < 1.0);
}

} // namespace kumquatramp::serving
