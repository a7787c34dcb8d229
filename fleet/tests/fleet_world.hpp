// Many fleet views in one process, with a network that can be cut.
#ifndef KUMQUATRAMP_FLEET_TESTS_FLEET_WORLD_HPP
#define KUMQUATRAMP_FLEET_TESTS_FLEET_WORLD_HPP

#include <base/seeded_random.hpp>
#include <fleet/fleet_view.hpp>
#include <functional>
#include <memory>
#include <serving/event_sink.hpp>
#include <string>
#include <vector>

namespace kumquatramp::fleet::testing
{

class silent_log final : public serving::event_sink
{
public:
    void note(std::string_view, std::string_view, std::string_view) override {}
};

/// Hosts with the given weights, spread over zones; virtual time.
class fleet_world
{
public:
    fleet_world(std::vector<std::uint32_t> weights, int zones,
                std::uint64_t seed);

    void start(std::size_t host);
    void kill(std::size_t host) { views_[host].reset(); }
    /// Starts a host again with a clock that is off by so much.
    void restart(std::size_t host, std::int64_t clock_ms);

    /// Runs all hosts for this time.
    void run(duration length);

    /// Messages from a to b pass only while this says so.
    std::function<bool(std::size_t from, std::size_t to)> passes =
        [](std::size_t, std::size_t) { return true; };

    fleet_view& view(std::size_t host) { return *views_[host]; }
    bool runs(std::size_t host) const { return views_[host] != nullptr; }
    std::size_t size() const { return views_.size(); }
    std::string ip(std::size_t host) const;
    std::string zone(std::size_t host) const;
    std::uint64_t messages() const { return messages_; }
    std::uint64_t states_sent() const { return states_; }
    std::size_t serving() const;
    time_point now() const { return now_; }

private:
    void deliver(std::size_t from,
                 std::vector<outgoing_message> const& messages);

    std::vector<std::uint32_t> weights_;
    int zones_;
    seeded_random random_;
    silent_log log_;
    std::vector<std::unique_ptr<fleet_view>> views_;
    time_point now_ = time_point(1h);
    std::uint64_t messages_ = 0;
    std::uint64_t states_ = 0;
};

} // namespace kumquatramp::fleet::testing

#endif
