// Which hosts serve, and the figures that sums over the fleet need.
#include <algorithm>
#include <base/rendezvous.hpp>
#include <fleet/fleet_view.hpp>

namespace kumquatramp::fleet
{

namespace
{

/// A fleet whose size is not yet known is taken for one of so many hosts.
constexpr int assumed_hosts = 20;
/// After this time the known size holds.
constexpr duration learning_time = 5s;
/// Sums over the fleet are divided by at least so many hosts, if there are as
/// many: in a partition more hosts serve than each part knows.
constexpr int least_divisor = 12;

/// A zone with fewer ready hosts than this sends its clients to all zones.
constexpr std::size_t enough_in_zone = 3;
/// The serving set has at least this processor share, in thousandths of a
/// core, and this multiple of what busy hosts have beside it.
constexpr std::uint32_t least_serving_weight = 2500;
constexpr std::uint32_t busy_factor = 2;
/// And at least so many hosts in each zone.
constexpr std::size_t least_serving_in_zone = 2;
/// A host of this weight belongs to the serving set of most fleets and does
/// not wait for news of others when it starts.
constexpr std::uint32_t certain_weight = least_serving_weight / 20;
/// The others wait so long for news: the first ones that they hear of may all
/// be weaker hosts.
constexpr duration settling_time = 1500ms;
/// Addresses that a client takes.
constexpr std::size_t most_addresses = 64;

} // namespace

std::vector<peer_state const*> fleet_view::serving_set() const
{
    std::map<std::string_view, std::vector<peer_state const*>> zones;
    std::uint32_t busy = 0;
    std::size_t candidates = 0;
    auto const add = [&](peer_state const& state)
    {
        busy += state.busy ? state.weight : 0;
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
    std::uint32_t const enough = least_serving_weight + busy * busy_factor;
    std::vector<peer_state const*> chosen;
    std::uint32_t weight = 0;
    // One host of each zone in turn, so that the zones bear alike.
    for (std::size_t turn = 0; chosen.size() < candidates; ++turn)
    {
        if (turn >= least_serving_in_zone && weight >= enough)
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
    return self_.weight >= certain_weight || now - started_ >= settling_time;
}

std::vector<std::string> fleet_view::directory(std::string_view zone) const
{
    std::vector<std::string> near;
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
            near.push_back(state->ip);
        }
    }
    if (all.empty())
    {
        // The set is about to change hands: whoever is ready takes clients.
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
    auto& chosen = near.size() >= enough_in_zone ? near : all;
    while (chosen.size() > most_addresses)
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
    return std::max(serving, std::min(known, least_divisor));
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
