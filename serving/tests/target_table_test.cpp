// State of targets and the choice among replicas.
#include "engine_fixture.hpp"
#include <catch2/catch.hpp>

namespace kumquatramp::serving
{

using testing::engine_fixture;

namespace
{

std::vector<std::string> const zones{"zone-a", "zone-b", "zone-c"};
constexpr duration usual = 20ms;

std::string chosen(engine_fixture& fixture)
{
    auto const t = fixture.table.choose("s", usual, {}, fixture.now);
    return t ? t->record.zone : "none";
}

std::shared_ptr<target> find(engine_fixture& fixture, std::string const& zone)
{
    for (auto const& t : fixture.table.replicas("s"))
    {
        if (t->record.zone == zone)
        {
            return t;
        }
    }
    return nullptr;
}

} // namespace

// Guards against requests to targets that left or drain because a registry that
// was restored from a copy still lists them as ready.
TEST_CASE("a restored registry does not bring back targets that left or drain")
{
    engine_fixture fixture;
    target_record const record{.id = "i-1",
                               .service = "s",
                               .address = "10.0.0.1:80",
                               .zone = "zone-a",
                               .incarnation_start_ms = 5};
    target_record draining = record;
    draining.draining = true;
    fixture.table.put(record, fixture.now);
    SECTION("it drains")
    {
        fixture.table.put(draining, fixture.now);
    }
    SECTION("it drained and left")
    {
        fixture.table.put(draining, fixture.now);
        fixture.table.remove("i-1", fixture.now);
    }
    SECTION("it left without draining")
    {
        fixture.table.remove("i-1", fixture.now);
        fixture.now += 10s;
        fixture.table.tick(fixture.now);
        REQUIRE(fixture.table.size() == 0);
    }
    fixture.table.put_restored(record, fixture.now);
    CHECK(chosen(fixture) == "none");
    target_record older = draining;
    older.incarnation_start_ms = 4;
    fixture.table.put_restored(older, fixture.now);
    CHECK(chosen(fixture) == "none");
    target_record newer = record;
    newer.incarnation_start_ms = 6;
    fixture.table.put_restored(newer, fixture.now);
    CHECK(chosen(fixture) == "zone-a");
    fixture.table.put_restored(older, fixture.now);
    CHECK(chosen(fixture) == "zone-a");
}

// Guards against requests to a target that left before this host could learn of
// it, and against a service without any target when all are new to this host.
TEST_CASE("a target known only from a copy is a last resort")
{
    engine_fixture fixture;
    fixture.table.put({.id = "i-1",
                       .service = "s",
                       .address = "10.0.0.1:80",
                       .zone = "zone-b"},
                      fixture.now);
    target_record const record{.id = "i-2",
                               .service = "s",
                               .address = "10.0.0.2:80",
                               .zone = "zone-a"};
    fixture.table.put_restored(record, fixture.now);
    for (int i = 0; i < 100; ++i)
    {
        CHECK(chosen(fixture) == "zone-b");
    }
    SECTION("it is used if there is no other")
    {
        fixture.table.remove("i-1", fixture.now);
        fixture.now += 4s;
        fixture.table.tick(fixture.now);
        CHECK(chosen(fixture) == "zone-a");
    }
    SECTION("it is an ordinary target once the registry confirms it")
    {
        fixture.table.put(record, fixture.now);
        CHECK(chosen(fixture) == "zone-a");
    }
}

// Guards against a target that is never used again although it reports to the
// registry itself once more.
TEST_CASE("a target that has left returns by its own report")
{
    engine_fixture fixture;
    target_record const record{.id = "i-1",
                               .service = "s",
                               .address = "10.0.0.1:80",
                               .zone = "zone-a"};
    fixture.table.put(record, fixture.now);
    fixture.table.remove("i-1", fixture.now);
    fixture.now += 10s;
    fixture.table.tick(fixture.now);
    SECTION("as a change")
    {
        fixture.table.put(record, fixture.now);
    }
    SECTION("as an entry of a copy that is newer than the departure")
    {
        fixture.now += 20s;
        fixture.table.tick(fixture.now);
        fixture.table.put_restored(record, fixture.now);
    }
    CHECK(chosen(fixture) == "zone-a");
}

// Guards against a zone that is evacuated again because a registry that was
// restored from a copy still says so.
TEST_CASE("a restored registry does not revive an evacuation")
{
    engine_fixture fixture;
    fixture.table.put({.id = "i-1",
                       .service = "s",
                       .address = "10.0.0.1:80",
                       .zone = "zone-a"},
                      fixture.now);
    fixture.table.evacuate("zone-a", fixture.now);
    fixture.table.end_evacuation("zone-a", fixture.now);
    fixture.table.evacuate_restored("zone-a", fixture.now);
    CHECK(chosen(fixture) == "zone-a");
    fixture.table.evacuate("zone-a", fixture.now);
    CHECK(chosen(fixture) == "none");
}

// Guards against requests to a target that said in an answer that it shuts
// down.
TEST_CASE("a target that announces its shutdown gets no further request")
{
    engine_fixture fixture;
    target_record record{.id = "i-1",
                         .service = "s",
                         .address = "10.0.0.1:80",
                         .zone = "zone-a",
                         .incarnation_start_ms = 5};
    fixture.table.put(record, fixture.now);
    REQUIRE(chosen(fixture) == "zone-a");
    fixture.table.mark_shutting_down(*find(fixture, "zone-a"));
    CHECK(chosen(fixture) == "none");
    SECTION("its registry entry still says that it is ready")
    {
        fixture.table.put(record, fixture.now);
        CHECK(chosen(fixture) == "none");
    }
    SECTION("its registry entry lapses and returns")
    {
        fixture.table.remove("i-1", fixture.now);
        CHECK(fixture.table.size() == 0);
        fixture.table.put(record, fixture.now);
        CHECK(chosen(fixture) == "none");
    }
    SECTION("a new incarnation under its id is another target")
    {
        record.incarnation_start_ms = 6;
        fixture.table.put(record, fixture.now);
        CHECK(chosen(fixture) == "zone-a");
    }
}

TEST_CASE(
    "a slow target is avoided for one in another zone and tried again later")
{
    engine_fixture fixture;
    fixture.add_targets("s", zones);
    CHECK(chosen(fixture) == "zone-a");
    auto const near = find(fixture, "zone-a");
    for (int i = 0; i < 10; ++i)
    {
        fixture.table.count_success(*near, 200ms, usual, fixture.now);
    }
    CHECK(chosen(fixture) != "zone-a");
    fixture.now += 20s;
    CHECK(chosen(fixture) == "zone-a");
}

TEST_CASE("a single slow reply does not mark a target as slow")
{
    engine_fixture fixture;
    fixture.add_targets("s", zones);
    fixture.table.count_success(*find(fixture, "zone-a"), 200ms, usual,
                                fixture.now);
    CHECK(chosen(fixture) == "zone-a");
}

TEST_CASE("a target with an overdue attempt is avoided")
{
    engine_fixture fixture;
    fixture.add_targets("s", zones);
    find(fixture, "zone-a")->overdue = 1;
    CHECK(chosen(fixture) != "zone-a");
}

TEST_CASE("failing targets are avoided unless all replicas fail")
{
    engine_fixture fixture;
    fixture.add_targets("s", zones);
    for (int i = 0; i < 5; ++i)
    {
        fixture.table.count_failure(*find(fixture, "zone-a"), fixture.now);
    }
    CHECK(chosen(fixture) != "zone-a");
    for (auto const& zone : zones)
    {
        for (int i = 0; i < 5; ++i)
        {
            fixture.table.count_failure(*find(fixture, zone), fixture.now);
        }
    }
    CHECK(chosen(fixture) != "none");
}

TEST_CASE("draining targets and evacuated zones receive no requests")
{
    engine_fixture fixture;
    fixture.add_targets("s", {"zone-a", "zone-b"});
    target_record leaving = find(fixture, "zone-a")->record;
    leaving.draining = true;
    fixture.table.put(leaving, fixture.now);
    CHECK(chosen(fixture) == "zone-b");
    fixture.table.evacuate("zone-b", fixture.now);
    CHECK(chosen(fixture) == "none");
    for (auto const& t : fixture.table.replicas("s"))
    {
        CHECK(fixture.table.time_to_usable(*t, fixture.now) == duration::max());
    }
    fixture.table.end_evacuation("zone-b", fixture.now);
    CHECK(chosen(fixture) == "zone-b");
}

TEST_CASE("an unlisted target is a last resort until its hold time has passed")
{
    engine_fixture fixture;
    fixture.add_targets("s", {"zone-a", "zone-b"});
    fixture.table.remove("s-zone-a", fixture.now);
    CHECK(chosen(fixture) == "zone-b");
    fixture.table.remove("s-zone-b", fixture.now);
    CHECK(chosen(fixture) != "none");

    SECTION("its registry entry returns")
    {
        target_record back = find(fixture, "zone-a")->record;
        fixture.now += 1s;
        fixture.table.put(back, fixture.now);
        CHECK(chosen(fixture) == "zone-a");
    }
    SECTION("its registry entry does not return")
    {
        fixture.now += 2s;
        fixture.table.tick(fixture.now);
        CHECK(chosen(fixture) == "none");
    }
}

TEST_CASE("a new incarnation under an old id starts with fresh state")
{
    engine_fixture fixture;
    fixture.add_targets("s", {"zone-a"});
    auto const old = find(fixture, "zone-a");
    for (int i = 0; i < 5; ++i)
    {
        fixture.table.count_failure(*old, fixture.now);
    }
    target_record again = old->record;
    again.incarnation_start_ms = 5;
    fixture.table.put(again, fixture.now);
    CHECK(old->listed == listing::gone);
    CHECK(find(fixture, "zone-a")->failures_in_row == 0);
    CHECK(fixture.table.replicas("s").size() == 1);
}

TEST_CASE("a complete listing removes targets that it does not contain")
{
    engine_fixture fixture;
    fixture.add_targets("s", zones);
    fixture.table.retain({"s-zone-b"}, fixture.now);
    fixture.now += 3s;
    fixture.table.tick(fixture.now);
    CHECK(fixture.table.size() == 1);
}

TEST_CASE("the admitted shares of a full target converge without communication")
{
    // 18 hosts send 260 requests/s to one target that serves 150 requests/s.
    constexpr int hosts = 18;
    constexpr double capacity = 150;
    constexpr double offered = 260;
    std::vector<std::unique_ptr<engine_fixture>> fixtures;
    for (int i = 0; i < hosts; ++i)
    {
        fixtures.push_back(std::make_unique<engine_fixture>(
            engine_fixture::default_options(), static_cast<unsigned>(i) + 1));
        fixtures.back()->add_targets("s", {"zone-a"}, 3);
    }
    double queue = 0;
    double max_late_queue = 0;
    constexpr duration step = 1ms;
    for (int ms = 0; ms < 20'000; ++ms)
    {
        queue = std::max(0.0, queue - capacity / 1000.0);
        for (auto& fixture : fixtures)
        {
            fixture->now += step;
            auto const t = find(*fixture, "zone-a");
            if (fixture->random.unit() >= offered / 1000.0 / hosts ||
                !fixture->table.admits(*t))
            {
                continue;
            }
            queue += 1;
            fixture->table.report_load(*t, static_cast<int>(queue), usual,
                                       150ms, fixture->now);
        }
        if (ms > 10'000)
        {
            max_late_queue = std::max(max_late_queue, queue);
        }
    }
    // The wait must stay within the latency objective of 150 ms.
    CHECK(max_late_queue / capacity < 0.150);
}

} // namespace kumquatramp::serving
