// Runs all hosts one protocol period at a time; messages arrive without delay.
#include "fleet_simulation.hpp"
#include <algorithm>
#include <deque>

namespace kumquatramp::fleet::testing
{

namespace
{

constexpr std::uint64_t first_incarnation = 1'000'000;
constexpr std::size_t seed_count = 3;

} // namespace

fleet_simulation::fleet_simulation(std::vector<std::uint32_t> weights,
                                   int zones, std::uint64_t seed)
    : weights_(std::move(weights))
    , zones_(zones)
    , random_(seed)
    , views_(weights_.size())
{
}

std::string fleet_simulation::ip(std::size_t host) const
{
    return "10.0." + std::to_string(host / 256) + "." +
           std::to_string(host % 256);
}

std::string fleet_simulation::zone(std::size_t host) const
{
    return "zone-" + std::to_string(host % static_cast<std::size_t>(zones_));
}

void fleet_simulation::start(std::size_t host)
{
    restart(host, 0);
}

void fleet_simulation::restart(std::size_t host, std::int64_t clock_offset_ms)
{
    std::vector<std::string> seed_ips;
    for (std::size_t i = 0; i < std::min(seed_count, views_.size()); ++i)
    {
        seed_ips.push_back(ip(i));
    }
    auto const start_ms = (now_ - time_point(1h)) / 1ms + clock_offset_ms;
    views_[host] = std::make_unique<fleet_view>(
        peer_state{.ip = ip(host),
                   .zone = zone(host),
                   .incarnation =
                       first_incarnation + static_cast<std::uint64_t>(start_ms),
                   .weight = weights_[host]},
        std::move(seed_ips), random_, log_, now_);
    views_[host]->set_ready(true);
}

void fleet_simulation::deliver(std::size_t from,
                               std::vector<outgoing_message> const& messages)
{
    struct in_flight_message
    {
        std::size_t from;
        outgoing_message message;
    };
    std::deque<in_flight_message> queue;
    for (auto const& m : messages)
    {
        queue.push_back({from, m});
    }
    while (!queue.empty())
    {
        in_flight_message const t = std::move(queue.front());
        queue.pop_front();
        ++messages_;
        states_ += t.message.message.states.size();
        for (std::size_t to = 0; to < views_.size(); ++to)
        {
            if (ip(to) != t.message.to || !views_[to] ||
                !is_reachable(t.from, to))
            {
                continue;
            }
            for (auto& answer : views_[to]->handle_message(
                     ip(t.from), t.message.message, now_))
            {
                queue.push_back({to, std::move(answer)});
            }
        }
    }
}

void fleet_simulation::run(duration length)
{
    time_point const end = now_ + length;
    while (now_ < end)
    {
        now_ += fleet_view::protocol_period;
        for (std::size_t i = 0; i < views_.size(); ++i)
        {
            if (views_[i])
            {
                deliver(i, views_[i]->tick(now_));
            }
        }
    }
}

std::size_t fleet_simulation::serving() const
{
    return static_cast<std::size_t>(std::count_if(
        views_.begin(), views_.end(),
        [](auto const& v) { return v != nullptr && v->serves(); }));
}

} // namespace kumquatramp::fleet::testing
