// Rumours, merging and messages.
#include <algorithm>
#include <base/rendezvous.hpp>
#include <bit>
#include <fleet/fleet_view.hpp>

namespace kumquatramp::fleet
{

namespace
{

/// Rumours in one message, and states in one push: both fit a datagram.
constexpr std::size_t rumours_at_once = 8;
constexpr std::size_t states_at_once = 24;
/// Each rumour is told this often for each doubling of the fleet.
constexpr int tellings = 3;
} // namespace

fleet_view::fleet_view(peer_state self, std::vector<std::string> seeds,
                       random_source& random, serving::event_sink& log,
                       time_point now)
    : self_(std::move(self))
    , seeds_(std::move(seeds))
    , random_(random)
    , log_(log)
    , started_(now)
    , last_number_(static_cast<std::uint32_t>(random.next()))
{
    spread(self_.ip);
}

void fleet_view::set_seeds(std::vector<std::string> seeds)
{
    seeds_ = std::move(seeds);
}

void fleet_view::change_self()
{
    ++self_.version;
    spread(self_.ip);
}

void fleet_view::set_ready(bool ready)
{
    if (self_.ready != ready)
    {
        self_.ready = ready;
        change_self();
    }
}

void fleet_view::set_leaving()
{
    self_.leaving = true;
    change_self();
}

void fleet_view::set_busy(bool busy)
{
    if (self_.busy != busy)
    {
        log_.note(busy ? "host.busy" : "host.idle", self_.ip,
                  "by the lateness of its timers");
        self_.busy = busy;
        change_self();
    }
}

void fleet_view::spread(std::string const& ip)
{
    int const times =
        tellings * static_cast<int>(std::bit_width(peers_.size() + 1));
    auto const known =
        std::find_if(rumours_.begin(), rumours_.end(),
                     [&](rumour const& r) { return r.ip == ip; });
    if (known != rumours_.end())
    {
        known->left = times;
        return;
    }
    rumours_.push_back({ip, times});
}

std::vector<peer_state> fleet_view::take_rumours()
{
    // Those told least often go first.
    std::sort(rumours_.begin(), rumours_.end(),
              [](rumour const& a, rumour const& b) { return a.left > b.left; });
    std::vector<peer_state> states{self_};
    for (auto& r : rumours_)
    {
        if (states.size() > rumours_at_once)
        {
            break;
        }
        --r.left;
        if (auto const p = peers_.find(r.ip); p != peers_.end())
        {
            states.push_back(p->second.state);
        }
    }
    std::erase_if(rumours_, [](rumour const& r) { return r.left <= 0; });
    return states;
}

void fleet_view::merge(peer_state const& state, bool tell_on, time_point now)
{
    if (state.ip == self_.ip)
    {
        // What is said of this host and newer than its own word stems from an
        // earlier life of it; a suspicion is denied.
        if (state.incarnation > self_.incarnation)
        {
            self_.incarnation = state.incarnation + 1;
            change_self();
        }
        else if (state.newer_than(self_))
        {
            self_.version = state.version;
            change_self();
        }
        return;
    }
    auto const [it, added] = peers_.try_emplace(state.ip, peer{state, now});
    peer& p = it->second;
    if (!added && !state.newer_than(p.state))
    {
        return;
    }
    bool const was_live = !added && p.state.live();
    p.state = state;
    p.changed = now;
    if (tell_on)
    {
        spread(state.ip);
    }
    if (was_live != state.live())
    {
        log_.note(state.live() ? "host.found" : "host.lost", state.ip,
                  state.zone);
    }
}

std::vector<std::string> fleet_view::live_ips() const
{
    std::vector<std::string> ips;
    for (auto const& [ip, p] : peers_)
    {
        if (p.state.live())
        {
            ips.push_back(ip);
        }
    }
    return ips;
}

std::string fleet_view::pick(std::vector<std::string> const& ips) const
{
    return ips.empty() ? std::string() : ips[random_.below(ips.size())];
}

std::vector<outgoing_message> fleet_view::tick(time_point now)
{
    ++rounds_;
    std::vector<outgoing_message> out;
    judge_probes(now, out);
    judge_suspects(now);
    probe_next(now, out);
    pull_next(out);
    std::erase_if(relays_, [&](auto const& entry)
                  { return now - entry.second.sent > 2 * round; });
    return out;
}

std::uint64_t fleet_view::digest() const
{
    std::uint64_t sum = 0;
    auto const add = [&](peer_state const& s)
    {
        sum ^= rendezvous_weight(
            s.ip, std::to_string(s.incarnation) + '/' +
                      std::to_string(s.version) + '/' +
                      std::to_string(static_cast<int>(s.health)));
    };
    add(self_);
    for (auto const& [ip, p] : peers_)
    {
        add(p.state);
    }
    return sum;
}

std::vector<outgoing_message> fleet_view::hear(std::string const& sender,
                                               fleet_message const& message,
                                               time_point now)
{
    for (auto const& state : message.states)
    {
        // Whoever compares all it knows finds out without rumours.
        merge(state, message.kind != message_kind::push, now);
    }
    std::vector<outgoing_message> out;
    switch (message.kind)
    {
    case message_kind::ping:
    {
        fleet_message ack{.kind = message_kind::ack,
                          .number = message.number,
                          .states = take_rumours()};
        // The sender learns what is believed of it, so that it can deny it.
        auto const known = peers_.find(sender);
        if (known != peers_.end())
        {
            ack.states.push_back(known->second.state);
        }
        out.push_back({sender, std::move(ack)});
        break;
    }
    case message_kind::ack:
        if (auto const r = relays_.find(message.number); r != relays_.end())
        {
            out.push_back({r->second.requester,
                           {.kind = message_kind::ack,
                            .number = r->second.number,
                            .states = message.states}});
            relays_.erase(r);
        }
        probes_.erase(message.number);
        break;
    case message_kind::indirect_ping:
        relays_[++last_number_] = {sender, message.number, now};
        out.push_back({message.subject,
                       {.kind = message_kind::ping,
                        .number = last_number_,
                        .states = {self_}}});
        break;
    case message_kind::pull:
        if (message.digest != digest())
        {
            std::vector<peer_state> states{self_};
            for (auto const& [ip, p] : peers_)
            {
                states.push_back(p.state);
                if (states.size() >= states_at_once)
                {
                    out.push_back({sender,
                                   {.kind = message_kind::push,
                                    .states = std::move(states)}});
                    states.clear();
                }
            }
            if (!states.empty())
            {
                out.push_back({sender,
                               {.kind = message_kind::push,
                                .states = std::move(states)}});
            }
        }
        break;
    case message_kind::push:
        break;
    }
    return out;
}

std::vector<outgoing_message> fleet_view::announce() const
{
    std::vector<outgoing_message> out;
    for (auto const& ip : live_ips())
    {
        out.push_back({ip, {.kind = message_kind::push, .states = {self_}}});
    }
    return out;
}

void fleet_view::forget_probes()
{
    probes_.clear();
}

} // namespace kumquatramp::fleet
