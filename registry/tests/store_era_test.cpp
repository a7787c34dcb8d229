// store_follower when the store comes back with another history.
#include "follower_fixture.hpp"
#include <algorithm>
#include <catch2/catch.hpp>

namespace kumquatramp::registry
{

using fixture = testing::follower_fixture;

// Guards against a host that goes on by the revisions of a history that the
// store no longer has.
TEST_CASE("another era leads to a new listing, whatever kind of answer states "
          "it")
{
    fixture f;
    f.follower.on_era(3);
    f.synchronize();
    SECTION("changes: they are not applied")
    {
        f.follower.on_era(4);
        f.follower.on_answer({{{"x", "", false}}, 12, false}, f.now);
    }
    SECTION("a refusal")
    {
        f.follower.on_era(4);
        f.follower.on_failure(store_failure::busy, "busy", f.now);
    }
    SECTION("lost history")
    {
        f.follower.on_era(4);
        f.follower.on_failure(store_failure::history_lost, "", f.now);
    }
    SECTION("a later page of a listing")
    {
        f.follower.on_failure(store_failure::history_lost, "", f.now);
        f.follower.tick(f.now);
        f.follower.on_answer({{{"a", "", false}}, 12, true}, f.now);
        f.follower.tick(f.now);
        f.port.calls.clear();
        f.sink.events.clear();
        f.follower.on_era(4);
        f.follower.on_answer({{{"x", "", false}}, 12, false}, f.now);
    }
    CHECK(f.sink.events.empty());
    f.advance(1s);
    CHECK(f.port.calls == std::vector<std::string>{"list "});
    f.follower.on_era(4);
    f.follower.on_answer({{{"b", "", false}}, 5, false}, f.now);
    CHECK(f.sink.events ==
          std::vector<std::string>{"begin restored", "+b", "end"});
    f.follower.tick(f.now);
    CHECK(f.port.calls.back() == "watch 5");
}

// Guards against a store whose first era is 0, as if it stated none.
TEST_CASE("the era after 0 is another one")
{
    fixture f;
    f.follower.on_era(0);
    f.synchronize();
    f.follower.on_era(1);
    f.follower.on_failure(store_failure::history_lost, "", f.now);
    CHECK(f.follower.replaced_histories() == 1);
}

// Guards against calls without a pause to a store whose answers state one era
// and another by turns.
TEST_CASE("a store that changes its era with each answer is called with pauses")
{
    fixture f;
    f.synchronize();
    time_point const begin = f.now;
    int calls = 0;
    while (f.now < begin + 10s)
    {
        f.now += 1ms;
        f.follower.on_era(static_cast<std::uint64_t>(++calls % 2));
        f.follower.on_answer({{{"a", "", false}}, 10, false}, f.now);
        f.now = std::max(f.now, f.follower.next_due());
        f.follower.tick(f.now);
    }
    CHECK(calls <= 100);
}

// Guards against a listing that began as a complete one before the host knew
// that the store has been restored.
TEST_CASE("a first page that states another era is requested again")
{
    fixture f;
    f.follower.on_era(3);
    f.synchronize();
    f.follower.on_failure(store_failure::history_lost, "", f.now);
    f.follower.tick(f.now);
    f.follower.on_era(4);
    f.follower.on_answer({{{"b", "", false}}, 5, false}, f.now);
    f.advance(1s);
    CHECK(f.sink.events == std::vector<std::string>{"begin", "begin restored"});
}

// Guards against a host that never learns what the copy lacked for good, and
// against one that takes the copy for the truth at once.
TEST_CASE("a restored store is listed completely after the restore time")
{
    fixture f;
    f.follower.on_era(3);
    f.synchronize();
    time_point const returned = f.now;
    f.follower.on_era(4);
    f.follower.on_failure(store_failure::history_lost, "", f.now);
    f.follower.tick(f.now);
    f.follower.on_answer({{{"b", "", false}}, 5, false}, f.now);
    duration const restore_time = follower_options{}.restore_time;
    SECTION("in contact")
    {
        while (f.now < returned + restore_time)
        {
            f.follower.tick(f.now);
            REQUIRE(f.port.calls.back() == "watch 5");
            CHECK(f.now + f.port.last_wait <= returned + restore_time);
            f.now += f.port.last_wait;
            f.follower.on_answer({{}, 5, false}, f.now);
        }
    }
    SECTION("after an outage meanwhile")
    {
        f.advance(1s);
        f.follower.on_failure(store_failure::unavailable, "", f.now);
        f.now += 2 * restore_time;
    }
    CHECK(f.sink.events ==
          std::vector<std::string>{"begin restored", "+b", "end"});
    f.sink.events.clear();
    f.follower.tick(f.now);
    f.follower.on_answer({{{"c", "", false}}, 9, false}, f.now);
    CHECK(f.sink.events == std::vector<std::string>{"begin", "+c", "end"});
    f.advance(1s);
    CHECK(f.port.calls.back() == "watch 9");
    CHECK(f.port.last_wait > 1s);
}

// Guards against a copy that counts as the truth because the store was away for
// longer than the restore time before anything could be written again.
TEST_CASE("the restore time begins with the first listing of a restored store")
{
    fixture f;
    f.follower.on_era(3);
    f.synchronize();
    f.follower.on_era(4);
    for (int i = 0; i < 10; ++i)
    {
        f.follower.on_failure(store_failure::unavailable, "", f.now);
        f.advance(2s);
    }
    f.follower.on_answer({{{"b", "", false}}, 5, false}, f.now);
    CHECK(f.sink.events.back() == "end");
    CHECK(f.sink.events.front() == "begin restored");
    f.follower.tick(f.now);
    CHECK(f.port.calls.back() == "watch 5");
}

TEST_CASE("a host that starts takes a restored store as it is")
{
    fixture f;
    f.follower.on_era(3);
    f.follower.tick(f.now);
    f.follower.on_answer({{{"a", "", false}}, 10, true}, f.now);
    f.follower.tick(f.now);
    f.follower.on_era(4);
    f.follower.on_answer({{{"b", "", false}}, 5, false}, f.now);
    f.advance(1s);
    f.follower.on_answer({{{"b", "", false}}, 5, false}, f.now);
    CHECK(f.sink.events ==
          std::vector<std::string>{"begin", "+a", "begin", "+b", "end"});
}

// Guards against a store that has come back from a copy without a line in the
// log of the hosts that followed it.
TEST_CASE("a replaced history is logged with its evidence")
{
    fixture f;
    f.follower.on_era(3);
    f.synchronize();
    CHECK(f.follower.replaced_histories() == 0);
    SECTION("by the era that an answer states")
    {
        f.follower.on_era(3);
        CHECK(f.follower.replaced_histories() == 0);
        f.follower.on_era(4);
        CHECK(f.follower.replaced_histories() == 1);
    }
    SECTION("by a revision below those received")
    {
        f.follower.on_answer({{}, 9, false}, f.now);
        CHECK(f.follower.replaced_histories() == 1);
    }
    CHECK(f.log.events.back() == "store.history_replaced");
}

} // namespace kumquatramp::registry
