// Simulation of many hosts in one process, over a network that can be cut.
#ifndef KUMQUATRAMP_FLEET_TESTS_FLEET_SIMULATION_HPP
#define KUMQUATRAMP_FLEET_TESTS_FLEET_SIMULATION_HPP

#include <base/seeded_random.hpp>
#include <fleet/fleet_view.hpp>
#include <functional>
#include <memory>
#include <serving/event_sink.hpp>
#include <string>
#include <vector>

namespace kumquatramp::fleet::testing
{

class null_log final : public serving::event_sink
{
public:
    void note(std::string_view, std::string_view, std::string_view) override {}
};

/// Hosts with the given weights, distributed over zones, under virtual time.
/// The first three hosts are the seeds.
class fleet_simulation
{
public:
    fleet_simulation(std::vector<std::uint32_t> weights, int zones,
                     std::uint64_t seed);

    void start(std::size_t host);
    void kill(std::size_t host) { views_[host].reset(); }
    /// Restarts a host with a clock that is off by `clock_offset_ms`.
    void restart(std::size_t host, std::int64_t clock_offset_ms);

    /// Runs all hosts for `length` of virtual time.
    void run(duration length);

    /// Whether messages between two hosts are delivered.
    std::function<bool(std::size_t from, std::size_t to)> is_reachable =
        [](std::size_t, std::size_t) { return true; };

    fleet_view& view(std::size_t host) { return *views_[host]; }
    bool is_running(std::size_t host) const { return views_[host] != nullptr; }
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
    null_log log_;
    std::vector<std::unique_ptr<fleet_view>> views_;
    time_point now_ = time_point(1h);
    std::uint64_t messages_ = 0;
    std::uint64_t states_ = 0;
};

} // namespace kumquatramp::fleet::testing

#endif
