// Who is alive: probes, suspicion and the comparison of all states.
#include <algorithm>
#include <fleet/fleet_view.hpp>

namespace kumquatramp::fleet
{

namespace
{

/// A ping without an ack for so long goes through others; two more rounds
/// without one make a suspect.
constexpr duration ack_timeout = 400ms;
constexpr duration indirect_timeout = 450ms;
/// Time that a suspect has to deny it: a rumour reaches a fleet of 150 and
/// the denial comes back.
constexpr duration suspect_timeout = 1500ms;
/// Dead hosts count in the fleet's size for so long: a host that is only cut
/// off may go on sending.
constexpr duration remembered_for = 60s;
/// Hosts that ping for another one, each of another zone.
constexpr std::size_t most_helpers = 4;
/// All states are compared with another host's at these rounds after the
/// start, and then at this interval.
constexpr std::uint64_t early_pulls[] = {1, 2, 4, 7};
constexpr std::uint64_t pull_every = 10;

} // namespace

void fleet_view::judge_probes(time_point now,
                              std::vector<outgoing_message>& out)
{
    std::vector<std::string> silent;
    for (auto it = probes_.begin(); it != probes_.end();)
    {
        probe& p = it->second;
        if (!p.indirect && now - p.sent >= ack_timeout)
        {
            p.indirect = true;
            p.sent = now;
            for (std::string const& helper : helpers_for(p.ip))
            {
                out.push_back({helper,
                               {.kind = message_kind::indirect_ping,
                                .number = it->first,
                                .subject = p.ip,
                                .states = {self_}}});
            }
        }
        else if (p.indirect && now - p.sent >= indirect_timeout)
        {
            silent.push_back(p.ip);
            it = probes_.erase(it);
            continue;
        }
        ++it;
    }
    for (auto const& ip : silent)
    {
        suspect(ip, now);
    }
}

std::vector<std::string> fleet_view::helpers_for(std::string const& ip) const
{
    // One of each zone: where two zones cannot reach each other, a host of a
    // third one can tell.
    std::map<std::string_view, std::vector<std::string>> zones;
    for (auto const& [helper, p] : peers_)
    {
        if (helper != ip && p.state.health == peer_health::alive)
        {
            zones[p.state.zone].push_back(helper);
        }
    }
    std::vector<std::string> chosen;
    chosen.reserve(zones.size());
    for (auto const& [zone, ips] : zones)
    {
        chosen.push_back(pick(ips));
    }
    while (chosen.size() > most_helpers)
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
    p->second.changed = now;
    spread(ip);
    log_.note("host.suspect", ip, "no answer, directly or through others");
}

void fleet_view::judge_suspects(time_point now)
{
    for (auto it = peers_.begin(); it != peers_.end();)
    {
        peer& p = it->second;
        duration const age = now - p.changed;
        if (p.state.health == peer_health::suspect && age >= suspect_timeout)
        {
            p.state.health = peer_health::dead;
            p.changed = now;
            spread(it->first);
            log_.note("host.lost", it->first, "suspected and did not deny it");
        }
        else if (p.state.health == peer_health::dead && age >= remembered_for)
        {
            it = peers_.erase(it);
            continue;
        }
        ++it;
    }
}

void fleet_view::probe_next(time_point now, std::vector<outgoing_message>& out)
{
    std::string target;
    if (rounds_ % 2 == 0)
    {
        // Every other probe goes to a host that clients use.
        std::vector<std::string> serving;
        for (auto const* s : serving_set())
        {
            if (s != &self_)
            {
                serving.push_back(s->ip);
            }
        }
        target = pick(serving);
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
            target = probe_order_.back();
            probe_order_.pop_back();
        }
    }
    auto const known = peers_.find(target);
    if (known != peers_.end() && known->second.state.live())
    {
        std::uint32_t const number = ++last_number_;
        probes_[number] = {target, now, false};
        out.push_back({target,
                       {.kind = message_kind::ping,
                        .number = number,
                        .states = take_rumours()}});
    }
    if (seeds_.empty())
    {
        return;
    }
    // Seeds that are not known to live may join parts of a fleet that lost
    // each other.
    std::string const& seed = seeds_[rounds_ % seeds_.size()];
    auto const p = peers_.find(seed);
    if (seed != self_.ip && (p == peers_.end() || !p->second.state.live()))
    {
        out.push_back({seed,
                       {.kind = message_kind::ping,
                        .number = ++last_number_,
                        .states = {self_}}});
    }
}

void fleet_view::pull_next(std::vector<outgoing_message>& out)
{
    bool const early = std::find(std::begin(early_pulls), std::end(early_pulls),
                                 rounds_) != std::end(early_pulls);
    if (!early && rounds_ % pull_every != 0)
    {
        return;
    }
    std::string target = pick(live_ips());
    if (target.empty())
    {
        target = pick(seeds_);
    }
    if (!target.empty() && target != self_.ip)
    {
        out.push_back({target,
                       {.kind = message_kind::pull,
                        .digest = digest(),
                        .states = {self_}}});
    }
}

} // namespace kumquatramp::fleet
