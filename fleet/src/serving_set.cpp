// The serving set, the client directory and the fleet size by which fleet-wide
// limits are divided.
#include <algorithm>
#include <base/rendezvous.hpp>
#include <fleet/fleet_view.hpp>

namespace kumquatramp::fleet
{

namespace
{

/// Least fleet size assumed during learning_time after the start.
constexpr int assumed_hosts = 20;
/// After this time the fleet size is taken from the known hosts.
constexpr duration learning_time = 5s;
/// Fleet-wide limits are divided by at least this many hosts, if that many are
/// known: in a partition more hosts serve than each side knows of.
constexpr int min_divisor = 12;

/// Clients of a zone with fewer ready hosts than this use hosts of all zones.
constexpr std::size_t min_ready_in_zone = 3;
/// Least processor share of the serving set, in thousandths of a core; the
/// share of all busy hosts times busy_factor is added to it.
constexpr std::uint32_t min_serving_weight = 2500;
constexpr std::uint32_t busy_factor = 2;
/// Least number of serving hosts in each zone, if the zone has as many.
constexpr std::size_t min_serving_per_zone = 2;
/// A host of at least this weight belongs to the serving set of most fleets, so
/// it does not wait for the states of other hosts when it starts.
constexpr std::uint32_t no_settling_weight = min_serving_weight / 20;
/// Lighter hosts wait this long after their start: the first hosts that they
/// learn of may all be weaker.
constexpr duration settling_time = 1500ms;
/// Most addresses that a client accepts in one directory answer.
constexpr std::size_t max_directory_addresses = 64;

} // namespace

std::vector<peer_state const*> fleet_view::serving_set() const
{
    std::map<std::string_view, std::vector<peer_state const*>> zones;
    std::uint32_t busy = 0;
    std::size_t candidates = 0;
    auto const add = [&](peer_state const& state)
    {
        busy += state.busy && state.live() ? state.weight : 0;
        if (!state.leaving && state.health == peer_health::alive)
        {
            zones[state.zone].push_back(&state);
            ++candidates;
        }
    };
    add(self_);
    for (auto const& [ip, p] : peers_)
    {
        add(p.state);
    }
    for (auto& [zone, hosts] : zones)
    {
        std::sort(hosts.begin(), hosts.end(),
                  [](peer_state const* a, peer_state const* b) {
                      return a->weight != b->weight ? a->weight > b->weight
                                                    : a->ip < b->ip;
                  });
    }
    std::uint32_t const required_weight =
        min_serving_weight + busy * busy_factor;
    std::vector<peer_state const*> chosen;
    std::uint32_t weight = 0;
    // Takes one host of each zone in turn, so that the zones share the load
    // evenly.
    for (std::size_t turn = 0; chosen.size() < candidates; ++turn)
    {
        if (turn >= min_serving_per_zone && weight >= required_weight)
        {
            break;
        }
        for (auto const& [zone, hosts] : zones)
        {
            if (turn < hosts.size())
            {
                chosen.push_back(hosts[turn]);
                weight += hosts[turn]->weight;
            }
        }
    }
    return chosen;
}

bool fleet_view::serves() const
{
    auto const set = serving_set();
    return std::find(set.begin(), set.end(), &self_) != set.end();
}

bool fleet_view::settled(time_point now) const
{
    return self_.weight >= no_settling_weight ||
           now - started_ >= settling_time;
}

std::vector<std::string> fleet_view::directory(std::string_view zone) const
{
    std::vector<std::string> same_zone;
    std::vector<std::string> all;
    for (peer_state const* state : serving_set())
    {
        if (!state->ready)
        {
            continue;
        }
        all.push_back(state->ip);
        if (state->zone == zone)
        {
            same_zone.push_back(state->ip);
        }
    }
    if (all.empty())
    {
        // No host of the serving set is ready, which happens while the set
        // changes: falls back to all ready hosts.
        for (auto const& [ip, p] : peers_)
        {
            if (p.state.ready && !p.state.leaving &&
                p.state.health == peer_health::alive)
            {
                all.push_back(ip);
            }
        }
        if (self_.ready && !self_.leaving)
        {
            all.push_back(self_.ip);
        }
    }
    auto& chosen = same_zone.size() >= min_ready_in_zone ? same_zone : all;
    while (chosen.size() > max_directory_addresses)
    {
        chosen.erase(chosen.begin() +
                     static_cast<std::ptrdiff_t>(random_.below(chosen.size())));
    }
    return std::move(chosen);
}

int fleet_view::hosts(time_point now) const
{
    int const known = static_cast<int>(peers_.size()) + 1;
    if (now - started_ < learning_time)
    {
        return std::max(known, assumed_hosts);
    }
    int const serving =
        1 + static_cast<int>(std::count_if(
                peers_.begin(), peers_.end(),
                [](auto const& entry) { return entry.second.state.ready; }));
    return std::max(serving, std::min(known, min_divisor));
}

int fleet_view::rank(std::string_view key, time_point) const
{
    std::uint64_t const own = rendezvous_weight(key, self_.ip);
    return static_cast<int>(
        std::count_if(peers_.begin(), peers_.end(),
                      [&](auto const& entry)
                      {
                          return entry.second.state.ready &&
                                 rendezvous_weight(key, entry.first) > own;
                      }));
}

int fleet_view::live_hosts() const
{
    return 1 + static_cast<int>(live_ips().size());
}

} // namespace kumquatramp::fleet
