// Probes, rumours and the serving set.
#include <algorithm>
#include <base/rendezvous.hpp>
#include <bit>
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
/// Rumours in one message, and states in one push: both fit a datagram.
constexpr std::size_t rumours_at_once = 8;
constexpr std::size_t states_at_once = 24;
/// Each rumour is told this often for each doubling of the fleet.
constexpr int tellings = 3;
/// All states are compared with another host's at these rounds after the
/// start, and then at this interval.
constexpr std::uint64_t early_pulls[] = {1, 2, 4, 7};
constexpr std::uint64_t pull_every = 10;

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
/// Without news of others a host decides alone after this time.
constexpr duration settling_time = 1500ms;
/// Addresses that a client takes.
constexpr std::size_t most_addresses = 64;

bool live(peer_state const& s)
{
    return s.health != peer_health::dead;
}

} // namespace

fleet_view::fleet_view(peer_state self, std::vector<std::string> seeds,
                       random_source& random, serving::belief_log& log,
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
    bool const was_live = !added && live(p.state);
    p.state = state;
    p.changed = now;
    if (tell_on)
    {
        spread(state.ip);
    }
    if (was_live != live(state))
    {
        log_.note(live(state) ? "host.found" : "host.lost", state.ip,
                  state.zone);
    }
}

std::vector<std::string> fleet_view::live_ips() const
{
    std::vector<std::string> ips;
    for (auto const& [ip, p] : peers_)
    {
        if (live(p.state))
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
    if (known != peers_.end() && live(known->second.state))
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
    if (seed != self_.ip && (p == peers_.end() || !live(p->second.state)))
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
    return self_.weight >= certain_weight || live_hosts() > 1 ||
           now - started_ >= settling_time;
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
