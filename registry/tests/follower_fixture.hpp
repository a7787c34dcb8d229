// A follower with a store, sink and log that record what happens.
#ifndef KUMQUATRAMP_REGISTRY_TESTS_FOLLOWER_FIXTURE_HPP
#define KUMQUATRAMP_REGISTRY_TESTS_FOLLOWER_FIXTURE_HPP

#include <base/seeded_random.hpp>
#include <registry/store_follower.hpp>
#include <registry/store_port.hpp>
#include <registry/store_sink.hpp>
#include <string>
#include <vector>

namespace kumquatramp::registry::testing
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

/// Its clock stands still except for advance().
struct follower_fixture
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

} // namespace kumquatramp::registry::testing

#endif
