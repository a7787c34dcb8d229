// Load pattern: requests that are in progress or come late when a host is shut
// down.
#include "engine_fixture.hpp"
#include <base/error_answer.hpp>
#include <catch2/catch.hpp>

namespace kumquatramp::serving
{

using testing::engine_fixture;

namespace
{

struct desk_fixture final : engine_fixture
{
    desk_fixture()
    {
        add_targets("desk", {"zone-a", "zone-b"});
        configure({"desk"}, 1.0);
    }

    int status_of(request_handle request) const
    {
        return answer_of(answers.at(request).error).http_status;
    }
};

} // namespace

TEST_CASE("load pattern planned stop: each request is answered before the host "
          "exits")
{
    desk_fixture fixture;
    fixture.submit(1, "/once/desk/x");
    fixture.submit(2, "/desk/x");
    fixture.engine.end_by(fixture.now + 300ms);
    fixture.submit(3, "/once/desk/x");
    fixture.advance(290ms);
    CHECK(fixture.answers.empty());
    fixture.advance(10ms);
    REQUIRE(fixture.answers.size() == 3);
    for (request_handle h = 1; h <= 3; ++h)
    {
        // It may have run.
        CHECK(fixture.status_of(h) == 504);
    }
    // A late reply has no effect.
    fixture.reply_all_but();
    CHECK(fixture.answers.size() == 3);
}

TEST_CASE(
    "load pattern planned stop: a request that cannot end before the host "
    "exits is refused and not sent")
{
    desk_fixture fixture;
    fixture.engine.end_by(fixture.now + 300ms);
    fixture.advance(295ms);
    fixture.submit(1, "/once/desk/x");
    fixture.submit(2, "/desk/x");
    CHECK(fixture.sent.empty());
    REQUIRE(fixture.answers.size() == 2);
    CHECK(fixture.answers.at(1).error == error_kind::leaving);
    CHECK(fixture.status_of(1) == 503);
    CHECK(fixture.answers.at(2).error == error_kind::leaving);
}

TEST_CASE("changed retry settings reach the budgets that are in use")
{
    desk_fixture fixture;
    fixture.submit(1, "/desk/x");
    auto options = engine_fixture::default_options();
    options.retry_slack = 0;
    options.retry_ratio = 0;
    fixture.engine.set_options(options);
    CHECK(fixture.engine.least_budget_left(fixture.now) <= 0.0);
}

} // namespace kumquatramp::serving
