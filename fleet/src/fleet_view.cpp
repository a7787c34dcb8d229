// Gossip of heartbeats.
#include <algorithm>
#include <base/rendezvous.hpp>
#include <fleet/fleet_view.hpp>

namespace kumquatramp::fleet
{

namespace
{

/// A heartbeat that stands still for so long means a dead host: three rounds
/// of gossip reach a fleet of 150 from every host, with one more for loss.
constexpr duration death_after = 3s;
/// Dead hosts count in the fleet's size for so long: a host that is only cut
/// off may go on sending.
constexpr duration remembered_for = 60s;
/// Hosts told in each round; beside them one seed.
constexpr std::size_t fanout = 2;
/// Hosts that one message tells of; keeps it within a datagram.
constexpr std::size_t most_news = 24;
/// A fleet whose size is not yet known is taken for one of so many hosts.
constexpr int assumed_hosts = 20;
/// After so long without news of others the known size holds.
constexpr duration learning_time = 5s;
/// A zone with fewer ready hosts than this sends its clients to all zones.
constexpr std::size_t enough_in_zone = 2;
/// Addresses that a client takes.
constexpr std::size_t most_addresses = 64;

} // namespace

fleet_view::fleet_view(peer_state self, std::vector<std::string> seeds,
                       random_source& random, serving::belief_log& log,
                       time_point now)
    : self_(std::move(self))
    , seeds_(std::move(seeds))
    , random_(random)
    , log_(log)
    , started_(now)
{
}

void fleet_view::set_seeds(std::vector<std::string> seeds)
{
    seeds_ = std::move(seeds);
}

std::vector<std::string> fleet_view::next_round(time_point now)
{
    ++self_.heartbeat;
    std::vector<std::string> live;
    for (auto it = peers_.begin(); it != peers_.end();)
    {
        peer& p = it->second;
        duration const silent = now - p.heard;
        if (p.live && silent >= death_after)
        {
            p.live = false;
            log_.note("host.lost", it->first, "its heartbeat stands still");
        }
        if (silent >= remembered_for)
        {
            it = peers_.erase(it);
            continue;
        }
        if (p.live)
        {
            live.push_back(it->first);
        }
        ++it;
    }
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < fanout && !live.empty(); ++i)
    {
        std::size_t const at = random_.below(live.size());
        chosen.push_back(std::move(live[at]));
        live.erase(live.begin() + static_cast<std::ptrdiff_t>(at));
    }
    if (!seeds_.empty())
    {
        // A seed beside them joins parts of the fleet that lost each other.
        std::string const& seed = seeds_[seed_turn_++ % seeds_.size()];
        if (seed != self_.ip &&
            std::find(chosen.begin(), chosen.end(), seed) == chosen.end())
        {
            chosen.push_back(seed);
        }
    }
    return chosen;
}

std::vector<peer_state> fleet_view::news(time_point now) const
{
    std::vector<peer const*> others;
    for (auto const& [ip, p] : peers_)
    {
        if (p.live && now - p.heard < death_after)
        {
            others.push_back(&p);
        }
    }
    if (others.size() > most_news)
    {
        std::partial_sort(
            others.begin(),
            others.begin() + static_cast<std::ptrdiff_t>(most_news),
            others.end(),
            [](peer const* a, peer const* b) { return a->heard > b->heard; });
        others.resize(most_news);
    }
    std::vector<peer_state> states{self_};
    for (peer const* p : others)
    {
        states.push_back(p->state);
    }
    return states;
}

void fleet_view::merge(std::string_view sender,
                       std::span<peer_state const> states, time_point now)
{
    for (auto const& state : states)
    {
        if (state.ip == self_.ip)
        {
            // An older life of this host is still told of: outlive it.
            self_.incarnation = std::max(
                self_.incarnation,
                state.incarnation + (state.heartbeat > self_.heartbeat ? 1 : 0));
            continue;
        }
        take(state, state.ip == sender, now);
    }
}

void fleet_view::take(peer_state const& state, bool direct, time_point now)
{
    auto [it, added] = peers_.try_emplace(state.ip);
    peer& p = it->second;
    // A host's own word holds even if its clock went back over a restart.
    bool const restarted =
        direct && state.incarnation != p.state.incarnation;
    if (!added && !restarted && !state.newer_than(p.state))
    {
        return;
    }
    bool const was_live = p.live;
    p.state = state;
    p.heard = now;
    p.live = true;
    if (!was_live)
    {
        log_.note("host.found", state.ip, state.zone);
    }
}

std::vector<std::string> fleet_view::directory(std::string_view zone,
                                               time_point now) const
{
    std::vector<std::string> near;
    std::vector<std::string> all;
    auto const add = [&](peer_state const& state)
    {
        if (!state.ready || state.leaving)
        {
            return;
        }
        all.push_back(state.ip);
        if (state.zone == zone)
        {
            near.push_back(state.ip);
        }
    };
    add(self_);
    for (auto const& [ip, p] : peers_)
    {
        if (p.live && now - p.heard < death_after)
        {
            add(p.state);
        }
    }
    auto& chosen = near.size() >= enough_in_zone ? near : all;
    while (chosen.size() > most_addresses)
    {
        chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(
                                          random_.below(chosen.size())));
    }
    return std::move(chosen);
}

int fleet_view::hosts(time_point now) const
{
    int const known = static_cast<int>(peers_.size()) + 1;
    return now - started_ < learning_time ? std::max(known, assumed_hosts)
                                          : known;
}

int fleet_view::rank(std::string_view key, time_point) const
{
    std::uint64_t const own = rendezvous_weight(key, self_.ip);
    return static_cast<int>(std::count_if(
        peers_.begin(), peers_.end(), [&](auto const& entry)
        { return rendezvous_weight(key, entry.first) > own; }));
}

int fleet_view::live_hosts(time_point now) const
{
    return 1 + static_cast<int>(std::count_if(
                   peers_.begin(), peers_.end(), [&](auto const& entry) {
                       return entry.second.live &&
                              now - entry.second.heard < death_after;
                   }));
}

} // namespace kumquatramp::fleet
