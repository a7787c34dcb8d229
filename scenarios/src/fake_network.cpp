// Simulated network delays and partitions.
#include <algorithm>
#include <scenarios/fake_network.hpp>

namespace kumquatramp::scenarios
{

namespace
{

// Each message takes its base delay plus up to this fraction of it.
constexpr double jitter = 0.2;

std::pair<std::string, std::string> ordered(std::string const& a,
                                            std::string const& b)
{
    return {std::min(a, b), std::max(a, b)};
}

} // namespace

fake_network::fake_network(event_queue& queue, network_delays const& delays,
                           std::uint64_t seed)
    : queue_(queue)
    , delays_(delays)
    , random_(seed)
{
}

void fake_network::set_zone(std::string const& endpoint, zone_name const& zone)
{
    zones_[endpoint] = zone;
}

void fake_network::send(std::string const& from, std::string const& to,
                        event_queue::job arrival)
{
    auto const wait = delay(from, to);
    if (cuts_.empty())
    {
        queue_.after(wait, std::move(arrival));
        return;
    }
    if (!connected(from, to))
    {
        return;
    }
    queue_.after(wait,
                 [this, from, to, arrival = std::move(arrival)]
                 {
                     if (connected(from, to))
                     {
                         arrival();
                     }
                 });
}

void fake_network::cut(std::string const& a, std::string const& b)
{
    cuts_.insert(ordered(a, b));
}

void fake_network::heal(std::string const& a, std::string const& b)
{
    cuts_.erase(ordered(a, b));
}

bool fake_network::connected(std::string const& a, std::string const& b) const
{
    return !cuts_.contains(ordered(a, b));
}

duration fake_network::delay(std::string const& from, std::string const& to)
{
    auto const a = zones_.find(from);
    auto const b = zones_.find(to);
    auto base = delays_.between_zones;
    if (a == zones_.end() || b == zones_.end())
    {
        base = delays_.to_callers;
    }
    else if (a->second == b->second)
    {
        base = delays_.within_zone;
    }
    auto const factor = 1.0 + jitter * random_.unit();
    return duration(
        static_cast<duration::rep>(static_cast<double>(base.count()) * factor));
}

} // namespace kumquatramp::scenarios
