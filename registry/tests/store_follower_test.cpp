// store_follower over paged listings, lost history and outages of the store.
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <registry/store_follower.hpp>
#include <registry/store_port.hpp>
#include <registry/store_sink.hpp>
#include <string>
#include <vector>

namespace kumquatramp::registry
{

namespace
{

class recording_port final : public store_port
{
public:
    void list(std::string const& after) override
    {
        calls.push_back("list " + after);
    }
    void watch(std::uint64_t revision, duration wait) override
    {
        calls.push_back("watch " + std::to_string(revision));
        last_wait = wait;
    }
    void cancel() override { calls.emplace_back("cancel"); }

    std::vector<std::string> calls;
    duration last_wait{};
};

class recording_sink final : public store_sink
{
public:
    void begin_listing(listing_kind kind) override
    {
        events.emplace_back(kind == listing_kind::complete ? "begin"
                                                           : "begin restored");
    }
    void apply(store_item const& item, time_point) override
    {
        events.push_back((item.deleted ? "-" : "+") + item.key);
        values.push_back(item.value);
    }
    void end_listing(time_point) override { events.emplace_back("end"); }
    void on_current(time_point now) override { current_at = now; }

    std::vector<std::string> events;
    std::vector<std::string> values; ///< of the items applied
    time_point current_at{};         ///< of the last on_current
};

class recording_log final : public serving::event_sink
{
public:
    void note(std::string_view event, std::string_view,
              std::string_view) override
    {
        events.emplace_back(event);
    }
    std::vector<std::string> events;
};

struct fixture
{
    time_point now = time_point(1h);
    recording_port port;
    recording_sink sink;
    recording_log log;
    seeded_random random{1};
    store_follower follower{{}, port, sink, random, log};

    void advance(duration length)
    {
        now += length;
        follower.tick(now);
    }

    /// Completes the first listing.
    void synchronize()
    {
        follower.tick(now);
        follower.on_answer({{{"a", "", false}}, 10, false}, now);
        follower.tick(now);
        port.calls.clear();
        sink.events.clear();
        sink.values.clear();
    }
};

} // namespace

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
