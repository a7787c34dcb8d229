// store_follower against a store that is restored from a copy.
#include "restorable_store.hpp"
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <registry/store_follower.hpp>
#include <registry/store_sink.hpp>
#include <serving/event_sink.hpp>
#include <string>
#include <utility>

namespace kumquatramp::registry
{

namespace
{

using testing::restorable_store;

constexpr time_point start{1h};
constexpr duration step = 1ms;

/// Records when each value of a key was received. Values of a key rise.
class arrival_sink final : public store_sink
{
public:
    void begin_listing(listing_kind) override {}
    void apply(store_item const& item, time_point now) override
    {
        if (!item.deleted)
        {
            arrivals[item.key].emplace(std::stoul(item.value), now);
        }
    }
    void end_listing(time_point) override {}
    void on_current(time_point) override {}

    /// When a value or a later one of the key was first received.
    time_point known_at(std::string const& key, std::uint64_t value)
    {
        time_point first = never;
        auto const& values = arrivals[key];
        for (auto it = values.lower_bound(value); it != values.end(); ++it)
        {
            first = std::min(first, it->second);
        }
        return first;
    }

    std::map<std::string, std::map<std::uint64_t, time_point>> arrivals;
};

class silent_log final : public serving::event_sink
{
public:
    void note(std::string_view, std::string_view, std::string_view) override {}
};

/// A write that the store has acknowledged and kept.
struct kept_write
{
    std::string key;
    std::uint64_t value;
    time_point at;
};

struct restore_plan
{
    duration age{};             ///< of the copy
    duration away{};            ///< from the loss to the return
    bool written_first = false; ///< what was lost is written before the return
};

struct simulation
{
    explicit simulation(std::uint64_t seed)
        : random(seed)
        , follower(options, store, sink, random, log)
    {
        store.now = start;
        for (int i = 0; i < 8; ++i)
        {
            write();
        }
    }

    time_point now() const { return store.now; }

    void advance(duration length)
    {
        for (time_point const end = now() + length; now() < end;)
        {
            store.run(follower);
            follower.tick(now());
            store.now += step;
        }
    }

    void write() { write("k" + std::to_string(random.below(8))); }

    void write(std::string const& key)
    {
        store.put(key, std::to_string(++last_value));
        kept.push_back({key, last_value, now()});
    }

    /// Goes on for `length` with a write now and then.
    void advance_with_writes(duration length)
    {
        for (time_point const end = now() + length; now() < end;)
        {
            advance(std::chrono::milliseconds(1 + random.below(400)));
            write();
        }
    }

    void play(restore_plan const& plan)
    {
        store.go_away();
        time_point const copied_at = now() - plan.age;
        auto const lost = store.restore(copied_at);
        std::erase_if(kept,
                      [&](kept_write const& w) { return w.at > copied_at; });
        advance(plan.away);
        auto const write_again = [&]
        {
            write("new"); // a key that no host has seen
            for (auto const& item : lost)
            {
                write(item.key);
            }
        };
        if (plan.written_first)
        {
            write_again();
            write();
        }
        store.come_back();
        returned_at = now();
        if (!plan.written_first)
        {
            advance(std::chrono::milliseconds(random.below(1500)));
            write_again();
        }
    }

    /// Checks all writes that are due by now.
    void check_arrivals()
    {
        duration const change_bound = store_follower::change_bound(options);
        for (auto const& w : kept)
        {
            time_point const due = std::max(
                w.at + change_bound, returned_at + options.contact_bound);
            if (due > now())
            {
                continue;
            }
            CAPTURE(w.key, w.value, (w.at - start) / 1ms);
            CHECK(sink.known_at(w.key, w.value) <= due);
        }
    }

    follower_options options;
    seeded_random random;
    restorable_store store;
    arrival_sink sink;
    silent_log log;
    store_follower follower;
    std::vector<kept_write> kept;
    std::uint64_t last_value = 0;
    time_point returned_at = start;
};

} // namespace

// Guards against a host that keeps an old configuration because what the store
// lost was written again below the revision that the host had received.
TEST_CASE("a change of a restored store is not missed")
{
    simulation s(1);
    s.advance(1s);
    // Without the header only a lower revision shows what has happened, so the
    // changes must not all be written again before the return.
    auto const [states_era, written_first] = GENERATE(
        std::pair(true, true), std::pair(true, false), std::pair(false, false));
    s.store.states_era = states_era;
    CAPTURE(states_era, written_first);
    s.write();
    s.write();
    s.advance(1s);
    s.play({.age = 1500ms, .away = 200ms, .written_first = written_first});
    s.advance(s.options.contact_bound + 2s);
    CHECK(s.sink.known_at("new", 1) <=
          s.returned_at + s.options.contact_bound + 2s);
    s.check_arrivals();
}

// Guards against the same with copies of any age, writes before, during and
// after, and several restores one after the other.
TEST_CASE("after random restores changes are known within the bounds")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        CAPTURE(seed);
        simulation s(seed);
        s.advance(500ms);
        for (int i = 0; i < 4; ++i)
        {
            s.advance_with_writes(
                std::chrono::milliseconds(1000 + s.random.below(9000)));
            s.play({.age = std::chrono::milliseconds(s.random.below(10000)),
                    .away = std::chrono::milliseconds(s.random.below(5000)),
                    .written_first = s.random.below(2) == 0});
            s.advance_with_writes(s.options.contact_bound + 2s);
            s.check_arrivals();
        }
    }
}

} // namespace kumquatramp::registry
