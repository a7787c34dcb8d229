// store_follower against random outages of the store: how late changes are
// known.
#include "simulated_store.hpp"
#include <algorithm>
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <registry/store_follower.hpp>
#include <registry/store_sink.hpp>
#include <serving/event_sink.hpp>
#include <string>

namespace kumquatramp::registry
{

namespace
{

using testing::condition;
using testing::phase;
using testing::simulated_store;

/// Records when each change was received.
class arrival_sink final : public store_sink
{
public:
    void begin_listing(listing_kind) override {}
    void apply(store_item const& item, time_point now) override
    {
        arrivals.emplace(std::stoul(item.key), now);
    }
    void end_listing(time_point) override {}
    void on_current(time_point) override {}

    std::map<std::size_t, time_point> arrivals;
};

class silent_log final : public serving::event_sink
{
public:
    void note(std::string_view, std::string_view, std::string_view) override {}
};

duration between(duration least, duration most, random_source& random)
{
    return least +
           std::chrono::duration_cast<duration>((most - least) * random.unit());
}

constexpr time_point start{1h};
constexpr duration length = 120s;

/// Sound spans with outages between them, each of one to three phases.
std::vector<phase> random_phases(random_source& random)
{
    std::vector<phase> phases;
    time_point at = start;
    while (at < start + length)
    {
        time_point const until = at + between(5s, 15s, random);
        phases.push_back({condition::sound, at, until});
        at = until;
        for (int n = 1 + static_cast<int>(random.unit() * 3); n > 0; --n)
        {
            auto const what =
                random.unit() < 0.5 ? condition::busy : condition::silent;
            time_point const end = at + between(100ms, 7s, random);
            phases.push_back({what, at, end});
            at = end;
        }
    }
    phases.push_back({condition::sound, at, never});
    return phases;
}

/// Changes in sound spans, many of them soon after an outage.
std::vector<time_point> random_changes(std::vector<phase> const& phases,
                                       random_source& random)
{
    std::vector<time_point> changes;
    for (auto const& p : phases)
    {
        if (p.what != condition::sound)
        {
            continue;
        }
        time_point at = p.begin + between(1ms, 1s, random);
        while (at < std::min(p.end, start + length))
        {
            changes.push_back(at);
            at += random.unit() < 0.5 ? between(1ms, 400ms, random)
                                      : between(400ms, 5s, random);
        }
    }
    return changes;
}

/// Runs a follower until the end and returns when each change was received.
std::map<std::size_t, time_point> arrivals(simulated_store& store,
                                           follower_options const& options,
                                           random_source& random)
{
    arrival_sink sink;
    silent_log log;
    store_follower follower(options, store, sink, random, log);
    time_point now = start;
    while (now < start + length)
    {
        store.now = now;
        store.run(follower, now);
        follower.tick(now);
        now = std::min(follower.next_due(), store.next_due());
    }
    return std::move(sink.arrivals);
}

/// Checks each change that should be known before the store's next outage.
void check_bounds(std::vector<phase> const& phases,
                  std::vector<time_point> const& changes,
                  std::map<std::size_t, time_point> const& known,
                  follower_options const& options, duration change_bound)
{
    for (std::size_t i = 0; i < changes.size(); ++i)
    {
        auto const sound =
            std::find_if(phases.begin(), phases.end(),
                         [&](phase const& p) { return changes[i] < p.end; });
        time_point const due = std::max(sound->begin + options.contact_bound,
                                        changes[i] + change_bound);
        if (due >= std::min(sound->end, start + length))
        {
            continue;
        }
        CAPTURE(i, (changes[i] - start) / 1ms, (sound->begin - start) / 1ms);
        REQUIRE(known.contains(i));
        CHECK((known.at(i) - start) / 1ms <= (due - start) / 1ms);
    }
}

} // namespace

// Guards against hosts that serve an old configuration, or send to targets that
// left, longer than the contact bound after the store is back.
TEST_CASE("after random outages changes are known within the contact bound")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        CAPTURE(seed);
        seeded_random random(seed);
        auto const phases = random_phases(random);
        auto const changes = random_changes(phases, random);
        simulated_store store(phases, changes, random);
        follower_options const options;
        check_bounds(phases, changes, arrivals(store, options, random), options,
                     store_follower::change_bound(options));
    }
}

// Guards against a host that uses a target after its removal because waiting
// watches are cut: that is no failure of the store and must not delay the next
// watch.
TEST_CASE("cut watches do not delay changes beyond the change bound")
{
    bool const with_outages = GENERATE(false, true);
    CAPTURE(with_outages);
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        CAPTURE(seed);
        seeded_random random(seed);
        auto const phases =
            with_outages ? random_phases(random)
                         : std::vector<phase>{{condition::sound, start, never}};
        auto const changes = random_changes(phases, random);
        simulated_store store(phases, changes, random);
        duration const least = between(50ms, 700ms, random);
        store.cut_after = {least, least + between(0ms, 2s, random)};
        follower_options const options;
        check_bounds(phases, changes, arrivals(store, options, random), options,
                     store_follower::change_bound(options));
    }
}

} // namespace kumquatramp::registry
