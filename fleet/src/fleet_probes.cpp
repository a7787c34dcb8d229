// Failure detection (probes and suspicion) and anti-entropy pulls.
#include <algorithm>
#include <fleet/fleet_view.hpp>

namespace kumquatramp::fleet
{

namespace
{

/// A ping without an ack for ack_timeout is repeated through proxies; without
/// an ack for indirect_timeout after that the host becomes suspect. Both are
/// checked once per protocol period.
constexpr duration ack_timeout = 400ms;
constexpr duration indirect_timeout = 450ms;
/// Time that a suspect has to refute the suspicion: enough for the update to
/// reach all of a fleet of 150 hosts and for the refutation to come back.
constexpr duration suspect_timeout = 1500ms;
/// Dead hosts count towards the fleet size for this long, since a host that is
/// only cut off may still send requests.
constexpr duration dead_retention = 60s;
/// Maximum number of hosts, each of a different zone, that are asked to ping a
/// host that did not answer.
constexpr std::size_t max_proxies = 4;
/// Protocol periods after the start in which all states are compared with
/// those of another host, and the interval, in periods, of further comparisons.
constexpr std::uint64_t early_pull_periods[] = {1, 2, 4, 7};
constexpr std::uint64_t pull_interval_periods = 10;

} // namespace

void fleet_view::check_probes(time_point now,
                              std::vector<outgoing_message>& out)
{
    std::vector<std::string> unresponsive;
    for (auto it = probes_.begin(); it != probes_.end();)
    {
        probe& p = it->second;
        if (!p.indirect && now - p.sent_at >= ack_timeout)
        {
            p.indirect = true;
            p.sent_at = now;
            for (std::string const& proxy : choose_proxies(p.ip))
            {
                out.push_back({proxy,
                               {.kind = message_kind::indirect_ping,
                                .sequence = it->first,
                                .subject = p.ip,
                                .states = {self_}}});
            }
        }
        else if (p.indirect && now - p.sent_at >= indirect_timeout)
        {
            unresponsive.push_back(p.ip);
            it = probes_.erase(it);
            continue;
        }
        ++it;
    }
    for (auto const& ip : unresponsive)
    {
        suspect(ip, now);
    }
}

std::vector<std::string> fleet_view::choose_proxies(std::string const& ip) const
{
    // One host of each zone: if two zones cannot reach each other, a host of a
    // third zone still reaches both.
    std::map<std::string_view, std::vector<std::string>> zones;
    for (auto const& [proxy, p] : peers_)
    {
        if (proxy != ip && p.state.health == peer_health::alive)
        {
            zones[p.state.zone].push_back(proxy);
        }
    }
    std::vector<std::string> chosen;
    chosen.reserve(zones.size());
    for (auto const& [zone, ips] : zones)
    {
        chosen.push_back(pick_random(ips));
    }
    while (chosen.size() > max_proxies)
    {
        chosen.erase(chosen.begin() +
                     static_cast<std::ptrdiff_t>(random_.below(chosen.size())));
    }
    return chosen;
}

void fleet_view::suspect(std::string const& ip, time_point now)
{
    auto const p = peers_.find(ip);
    if (p == peers_.end() || p->second.state.health != peer_health::alive)
    {
        return;
    }
    p->second.state.health = peer_health::suspect;
    p->second.changed_at = now;
    enqueue_update(ip);
    log_.note("host.suspect", ip, "no ack, direct or through other hosts");
}

void fleet_view::check_suspects(time_point now)
{
    for (auto it = peers_.begin(); it != peers_.end();)
    {
        peer& p = it->second;
        duration const age = now - p.changed_at;
        if (p.state.health == peer_health::suspect && age >= suspect_timeout)
        {
            p.state.health = peer_health::dead;
            p.changed_at = now;
            enqueue_update(it->first);
            log_.note("host.lost", it->first, "suspicion not refuted in time");
        }
        else if (p.state.health == peer_health::dead && age >= dead_retention)
        {
            it = peers_.erase(it);
            continue;
        }
        ++it;
    }
}

void fleet_view::probe_next(time_point now, std::vector<outgoing_message>& out)
{
    std::string destination;
    if (period_count_ % 2 == 0)
    {
        // Every second probe goes to a host of the serving set, which clients
        // use.
        std::vector<std::string> serving;
        for (auto const* s : serving_set())
        {
            if (s != &self_)
            {
                serving.push_back(s->ip);
            }
        }
        destination = pick_random(serving);
    }
    else
    {
        if (probe_order_.empty())
        {
            probe_order_ = live_ips();
            for (std::size_t i = probe_order_.size(); i > 1; --i)
            {
                std::swap(probe_order_[i - 1], probe_order_[random_.below(i)]);
            }
        }
        if (!probe_order_.empty())
        {
            destination = probe_order_.back();
            probe_order_.pop_back();
        }
    }
    auto const known = peers_.find(destination);
    if (known != peers_.end() && known->second.state.live())
    {
        std::uint32_t const sequence = ++last_sequence_;
        probes_[sequence] = {destination, now, false};
        out.push_back({destination,
                       {.kind = message_kind::ping,
                        .sequence = sequence,
                        .states = next_updates()}});
    }
    if (seeds_.empty())
    {
        return;
    }
    // Also pings a seed that is not known to be live: an answer rejoins the
    // parts of a fleet after a partition.
    std::string const& seed = seeds_[period_count_ % seeds_.size()];
    auto const p = peers_.find(seed);
    if (seed != self_.ip && (p == peers_.end() || !p->second.state.live()))
    {
        out.push_back({seed,
                       {.kind = message_kind::ping,
                        .sequence = ++last_sequence_,
                        .states = {self_}}});
    }
}

void fleet_view::pull_next(std::vector<outgoing_message>& out)
{
    bool const early =
        std::find(std::begin(early_pull_periods), std::end(early_pull_periods),
                  period_count_) != std::end(early_pull_periods);
    if (!early && period_count_ % pull_interval_periods != 0)
    {
        return;
    }
    std::string destination = pick_random(live_ips());
    if (destination.empty())
    {
        destination = pick_random(seeds_);
    }
    if (!destination.empty() && destination != self_.ip)
    {
        out.push_back({destination,
                       {.kind = message_kind::pull,
                        .digest = digest(),
                        .states = {self_},
                        .range_digests = range_digests()}});
    }
}

} // namespace kumquatramp::fleet
