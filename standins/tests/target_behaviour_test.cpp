// A stand-in target executes, sheds and collapses as its settings specify.
#include <catch2/catch.hpp>
#include <standins/target/execution_slots.hpp>
#include <standins/target/query_filter.hpp>

using namespace kumquatramp;
using namespace kumquatramp::standins;

namespace
{

steady_time_point far_deadline()
{
    return std::chrono::steady_clock::now() + std::chrono::hours(1);
}
steady_time_point past_deadline()
{
    return std::chrono::steady_clock::now() - std::chrono::hours(1);
}

target_settings settings(std::string_view line)
{
    return parse_target_line(line).value();
}

} // namespace

TEST_CASE("a target sheds executions that get no slot by their deadline")
{
    execution_slots slots(settings("slots=1 queue=1"));
    REQUIRE(slots.acquire_slot(far_deadline()).verdict ==
            admission_verdict::admitted);
    REQUIRE(slots.acquire_slot(past_deadline()).verdict ==
            admission_verdict::shed);
    slots.release_slot();
    REQUIRE(slots.acquire_slot(far_deadline()).verdict ==
            admission_verdict::admitted);
}

TEST_CASE("a cold target collapses under overload and keeps failing once idle")
{
    execution_slots slots(settings("slots=4 warm_after=9 cold_slots=1"));
    REQUIRE(slots.acquire_slot(far_deadline()).verdict ==
            admission_verdict::admitted);
    REQUIRE(slots.acquire_slot(far_deadline()).verdict ==
            admission_verdict::collapsed);
    slots.release_slot();
    auto const admission = slots.acquire_slot(far_deadline());
    REQUIRE(admission.verdict == admission_verdict::collapsed);
    REQUIRE(admission.cold);
}

TEST_CASE("a restart makes a warm target cold")
{
    execution_slots slots(settings("warm_after=1"));
    REQUIRE(slots.acquire_slot(far_deadline()).cold);
    slots.release_slot();
    REQUIRE_FALSE(slots.acquire_slot(far_deadline()).cold);
    slots.release_slot();
    auto changed = slots.settings();
    REQUIRE(changed.set("restart", "1"));
    slots.apply_settings(changed);
    REQUIRE(slots.acquire_slot(far_deadline()).cold);
}

TEST_CASE("a draining target refuses; invalid settings change nothing")
{
    auto drained = settings("drain=1");
    REQUIRE_FALSE(drained.set("slots", "0"));
    REQUIRE_FALSE(drained.set("colour", "white"));
    REQUIRE(drained.slots == 4);
    execution_slots slots(drained);
    REQUIRE(slots.acquire_slot(far_deadline()).verdict ==
            admission_verdict::draining);
}

TEST_CASE("the shards of a map partition the stock list without gap or overlap")
{
    std::vector<stock_item> stock(7);
    for (auto& item : stock)
    {
        item.article = "napkin";
        item.quantity = 5;
    }
    stock[3].booked["2026-12-12"] = 5;
    unsigned found = 0;
    for (std::uint32_t shard = 0; shard < 3; ++shard)
    {
        auto const json =
            search(stock, {shard, 3}, {1, 1}, R"({"date":"2026-12-12"})");
        found += (*json)["items"].size();
    }
    REQUIRE(found == 6);
    REQUIRE_FALSE(search(stock, {0, 3}, {1, 1}, "[1"));
}
