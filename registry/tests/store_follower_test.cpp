// store_follower over paged listings, lost history and outages of the store.
#include "follower_fixture.hpp"
#include <algorithm>
#include <catch2/catch.hpp>

namespace kumquatramp::registry
{

using fixture = testing::follower_fixture;

TEST_CASE("the watch starts at the revision of the first page of a listing")
{
    fixture f;
    f.follower.tick(f.now);
    f.follower.on_answer({{{"a", "", false}, {"b", "", false}}, 10, true},
                         f.now);
    CHECK_FALSE(f.follower.synchronized());
    f.follower.tick(f.now);
    f.follower.on_answer({{{"c", "", false}}, 14, false}, f.now);
    f.follower.tick(f.now);
    CHECK(f.port.calls ==
          std::vector<std::string>{"list ", "list b", "watch 10"});
    CHECK(f.sink.events ==
          std::vector<std::string>{"begin", "+a", "+b", "+c", "end"});
    CHECK(f.follower.synchronized());
}

TEST_CASE("one call at a time, with a minimum interval after changes")
{
    fixture f;
    f.synchronize();
    f.advance(1s);
    CHECK(f.port.calls.empty());
    f.follower.on_answer({{{"x", "", true}}, 12, false}, f.now);
    f.follower.tick(f.now);
    CHECK(f.port.calls.empty());
    f.advance(400ms);
    CHECK(f.port.calls == std::vector<std::string>{"watch 12"});
    CHECK(f.sink.events == std::vector<std::string>{"-x"});
}

TEST_CASE("lost history leads to a new listing")
{
    fixture f;
    f.synchronize();
    f.follower.on_failure(store_failure::history_lost, "", f.now);
    f.follower.tick(f.now);
    CHECK(f.port.calls == std::vector<std::string>{"list "});
    CHECK(f.sink.events == std::vector<std::string>{"begin"});
    CHECK(f.follower.synchronized());
}

TEST_CASE("load pattern store outage: calls back off and resume soon after it")
{
    fixture f;
    f.synchronize();
    f.follower.on_failure(store_failure::unavailable, "reset", f.now);
    CHECK_FALSE(f.follower.in_contact());
    int calls = 0;
    duration longest{};
    time_point last = f.now;
    time_point const end = f.now + 10s;
    while (f.now < end)
    {
        f.advance(10ms);
        if (!f.port.calls.empty())
        {
            ++calls;
            longest = std::max(longest, f.now - last);
            last = f.now;
            f.port.calls.clear();
            f.follower.on_failure(store_failure::busy, "busy", f.now);
        }
    }
    CHECK(calls <= 15);
    // A new configuration must be in force within 3 s of the store's return.
    CHECK(longest < 1500ms);
    f.advance(1500ms);
    f.follower.on_answer({{}, 11, false}, f.now);
    CHECK(f.follower.in_contact());
    CHECK(std::count(f.log.events.begin(), f.log.events.end(), "store.lost") ==
          1);
    CHECK(std::count(f.log.events.begin(), f.log.events.end(),
                     "store.regained") == 1);
}

// Guards against a host that is held up by decoding configurations that have
// already been replaced.
TEST_CASE("of several values of an item in one answer only the last is applied")
{
    fixture f;
    f.synchronize();
    f.follower.on_answer({{{"a", "1", false},
                           {"b", "1", false},
                           {"a", "2", false},
                           {"c", "1", false},
                           {"c", "", true},
                           {"c", "2", false},
                           {"b", "", true},
                           {"a", "3", false}},
                          20,
                          false},
                         f.now);
    // Deletions end what was there before, so they are kept.
    CHECK(f.sink.events ==
          std::vector<std::string>{"+b", "-c", "+c", "-b", "+a"});
    CHECK(f.sink.values == std::vector<std::string>{"1", "", "2", "", "3"});
}

// Guards against a host that asks for the same changes again and again because
// their answer is too large or cannot be read, and learns of nothing else.
TEST_CASE("a watch whose answer cannot be used is followed by a listing")
{
    fixture f;
    f.synchronize();
    for (int i = 0; i < 5; ++i)
    {
        f.now += 400ms;
        f.follower.on_failure(store_failure::unusable, "too large", f.now);
        f.now = std::max(f.now, f.follower.next_due());
        f.follower.tick(f.now);
        CHECK(f.port.calls.back() == "list ");
        f.now += 400ms;
        f.follower.on_answer({{{"a", "", false}}, 30, false}, f.now);
        f.follower.tick(f.now);
        CHECK(f.port.calls.back() == "watch 30");
    }
}

// Guards against calls without a pause to a store whose answers can never be
// used.
TEST_CASE("unusable answers are not requested again without a pause")
{
    fixture f;
    f.synchronize();
    time_point const begin = f.now;
    int calls = 0;
    while (f.now < begin + 10s)
    {
        f.now += 1ms;
        f.follower.on_failure(store_failure::unusable, "malformed", f.now);
        f.now = std::max(f.now, f.follower.next_due());
        f.follower.tick(f.now);
        ++calls;
    }
    CHECK(calls <= 20);
}

// Guards against a host that lacks new configurations for longer than the
// contact bound after the answer to its watch was lost.
TEST_CASE("a watch whose answer is lost is repeated within the contact bound")
{
    duration const bound = GENERATE(2s, 4s, 5s);
    fixture f;
    store_follower follower({.contact_bound = bound}, f.port, f.sink, f.random,
                            f.log);
    follower.tick(f.now);
    follower.on_answer({{}, 10, false}, f.now);
    time_point const last_contact = f.now;
    follower.tick(f.now);
    f.now += f.port.last_wait + store_port::response_margin;
    follower.on_failure(store_failure::unavailable, "timed out", f.now);
    CHECK(follower.next_due() - last_contact < bound);
}

// Guards against a host that serves an old configuration after an outage: a
// call that was sent just before the store's return gets no answer and must not
// hold up the next one beyond the contact bound.
TEST_CASE("a call that hangs as the store returns is repeated within the "
          "contact bound")
{
    duration const bound = GENERATE(2s, 4s, 5s);
    int const busy_answers = GENERATE(0, 1, 3, 8);
    CAPTURE(busy_answers);
    fixture f;
    store_follower follower({.contact_bound = bound}, f.port, f.sink, f.random,
                            f.log);
    follower.tick(f.now);
    follower.on_answer({{}, 10, false}, f.now);
    for (int i = 0; i < busy_answers; ++i)
    {
        f.now = std::max(f.now, follower.next_due());
        follower.tick(f.now);
        f.now += 4ms;
        follower.on_failure(store_failure::busy, "busy", f.now);
    }
    f.now = std::max(f.now, follower.next_due());
    time_point const sent = f.now;
    follower.tick(sent);
    f.now += f.port.last_wait + store_port::response_margin;
    follower.on_failure(store_failure::unavailable, "timed out", f.now);
    CHECK(follower.next_due() - sent < bound);
}

// Guards against a host that calls a configuration confirmed when a part of a
// listing or a refusal has arrived.
TEST_CASE("only a complete answer shows that the sink is up to date")
{
    fixture f;
    time_point const never_current = f.sink.current_at;
    f.follower.tick(f.now);
    f.follower.on_answer({{{"a", "", false}}, 10, true}, f.now);
    CHECK(f.sink.current_at == never_current);
    f.follower.tick(f.now);
    f.follower.on_answer({{{"b", "", false}}, 10, false}, f.now);
    CHECK(f.sink.current_at == f.now);
    time_point const listed = f.now;
    f.advance(1s);
    f.follower.on_failure(store_failure::history_lost, "", f.now);
    CHECK(f.sink.current_at == listed);
}

TEST_CASE("a listing that fails midway resumes after its last key")
{
    fixture f;
    f.follower.tick(f.now);
    f.follower.on_answer({{{"a", "", false}}, 10, true}, f.now);
    f.follower.tick(f.now);
    f.follower.on_failure(store_failure::unavailable, "", f.now);
    f.advance(1s);
    CHECK(f.port.calls ==
          std::vector<std::string>{"list ", "list a", "list a"});
}

TEST_CASE("a paused follower makes no calls and resumes with a new listing")
{
    fixture f;
    f.synchronize();
    f.follower.pause();
    f.port.calls.clear();
    f.advance(30s);
    CHECK(f.port.calls.empty());
    CHECK_FALSE(f.follower.synchronized());
    f.follower.resume(f.now);
    f.follower.tick(f.now);
    CHECK(f.port.calls == std::vector<std::string>{"list "});
}

TEST_CASE("restart after a suspension cancels and repeats the open call")
{
    fixture f;
    f.synchronize();
    f.follower.restart(f.now);
    f.follower.tick(f.now);
    CHECK(f.port.calls == std::vector<std::string>{"cancel", "watch 10"});
}

} // namespace kumquatramp::registry
