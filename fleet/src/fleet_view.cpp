// Dissemination of updates, merging of states and handling of messages.
#include <algorithm>
#include <base/rendezvous.hpp>
#include <bit>
#include <fleet/fleet_view.hpp>

namespace kumquatramp::fleet
{

namespace
{

/// Updates per ping or ack, and states per push; each fits into one datagram.
constexpr std::size_t max_updates_per_message = 8;
constexpr std::size_t max_states_per_push = 24;
/// An update is sent this many times per doubling of the fleet size.
constexpr int transmissions_per_doubling = 3;

/// Ranges by which the states of larger fleets are compared: a difference costs
/// the states of its range and not those of the whole fleet.
constexpr std::size_t range_count = 64;
/// In smaller fleets the digests of the ranges are larger than the states.
constexpr std::size_t min_peers_for_ranges = 64;

std::size_t range_of(std::string_view ip)
{
    return stable_hash(ip) % range_count;
}

std::uint64_t state_digest(peer_state const& s)
{
    return rendezvous_weight(
        s.ip, std::to_string(s.incarnation) + '/' + std::to_string(s.version) +
                  '/' + std::to_string(static_cast<int>(s.health)));
}

} // namespace

fleet_view::fleet_view(peer_state self, std::vector<std::string> seeds,
                       random_source& random, serving::event_sink& log,
                       time_point now)
    : self_(std::move(self))
    , seeds_(std::move(seeds))
    , random_(random)
    , log_(log)
    , started_(now)
    , last_sequence_(static_cast<std::uint32_t>(random.next()))
{
    enqueue_update(self_.ip);
}

void fleet_view::set_seeds(std::vector<std::string> seeds)
{
    seeds_ = std::move(seeds);
}

void fleet_view::publish_self()
{
    ++self_.version;
    enqueue_update(self_.ip);
}

void fleet_view::set_ready(bool ready)
{
    if (self_.ready != ready)
    {
        self_.ready = ready;
        publish_self();
    }
}

void fleet_view::set_leaving()
{
    self_.leaving = true;
    publish_self();
}

void fleet_view::set_busy(bool busy)
{
    if (self_.busy != busy)
    {
        log_.note(busy ? "host.busy" : "host.idle", self_.ip,
                  "timer lateness crossed the threshold");
        self_.busy = busy;
        publish_self();
    }
}

void fleet_view::enqueue_update(std::string const& ip)
{
    int const times = transmissions_per_doubling *
                      static_cast<int>(std::bit_width(peers_.size() + 1));
    auto const known =
        std::find_if(pending_updates_.begin(), pending_updates_.end(),
                     [&](pending_update const& r) { return r.ip == ip; });
    if (known != pending_updates_.end())
    {
        known->transmissions_left = times;
        return;
    }
    pending_updates_.push_back({ip, times});
}

std::vector<peer_state> fleet_view::next_updates()
{
    // Updates with the most transmissions left go first.
    std::sort(pending_updates_.begin(), pending_updates_.end(),
              [](pending_update const& a, pending_update const& b)
              { return a.transmissions_left > b.transmissions_left; });
    std::vector<peer_state> states{self_};
    for (auto& r : pending_updates_)
    {
        if (states.size() > max_updates_per_message)
        {
            break;
        }
        --r.transmissions_left;
        if (auto const p = peers_.find(r.ip); p != peers_.end())
        {
            states.push_back(p->second.state);
        }
    }
    std::erase_if(pending_updates_, [](pending_update const& r)
                  { return r.transmissions_left <= 0; });
    return states;
}

void fleet_view::merge(peer_state const& state, bool disseminate,
                       time_point now)
{
    if (state.ip == self_.ip)
    {
        // A state of this host that is newer than its own either comes from an
        // earlier run (the clock went back over the restart) or reports the
        // host as suspect or dead. A higher incarnation or version overrides
        // it.
        if (state.incarnation > self_.incarnation)
        {
            self_.incarnation = state.incarnation + 1;
            publish_self();
        }
        else if (state.newer_than(self_))
        {
            self_.version = state.version;
            publish_self();
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
    p.changed_at = now;
    if (disseminate)
    {
        enqueue_update(state.ip);
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

std::string fleet_view::pick_random(std::vector<std::string> const& ips) const
{
    return ips.empty() ? std::string() : ips[random_.below(ips.size())];
}

std::vector<outgoing_message> fleet_view::tick(time_point now)
{
    ++period_count_;
    std::vector<outgoing_message> out;
    check_probes(now, out);
    check_suspects(now);
    probe_next(now, out);
    pull_next(out);
    std::erase_if(relays_, [&](auto const& entry)
                  { return now - entry.second.sent_at > 2 * protocol_period; });
    return out;
}

std::vector<std::uint64_t> fleet_view::range_digests() const
{
    if (peers_.size() < min_peers_for_ranges)
    {
        return {};
    }
    std::vector<std::uint64_t> digests(range_count, 0);
    digests[range_of(self_.ip)] ^= state_digest(self_);
    for (auto const& [ip, p] : peers_)
    {
        digests[range_of(ip)] ^= state_digest(p.state);
    }
    return digests;
}

std::uint64_t fleet_view::digest() const
{
    std::uint64_t sum = state_digest(self_);
    for (auto const& [ip, p] : peers_)
    {
        sum ^= state_digest(p.state);
    }
    return sum;
}

void fleet_view::answer_pull(std::string const& sender,
                             fleet_message const& message,
                             std::vector<outgoing_message>& out) const
{
    if (message.digest == digest())
    {
        return;
    }
    auto const own = range_digests();
    bool const by_range =
        !own.empty() && message.range_digests.size() == own.size();
    std::vector<peer_state> states{self_};
    auto const push = [&]
    {
        out.push_back(
            {sender,
             {.kind = message_kind::push, .states = std::move(states)}});
        states.clear();
    };
    for (auto const& [ip, p] : peers_)
    {
        std::size_t const range = range_of(ip);
        if (by_range && own[range] == message.range_digests[range])
        {
            continue;
        }
        states.push_back(p.state);
        if (states.size() >= max_states_per_push)
        {
            push();
        }
    }
    if (!states.empty())
    {
        push();
    }
}

std::vector<outgoing_message>
fleet_view::handle_message(std::string const& sender,
                           fleet_message const& message, time_point now)
{
    for (auto const& state : message.states)
    {
        // Pushed states are not disseminated: announce() sends to all live
        // hosts itself, and states that answer a pull reach other hosts by
        // their own pulls.
        merge(state, message.kind != message_kind::push, now);
    }
    std::vector<outgoing_message> out;
    switch (message.kind)
    {
    case message_kind::ping:
    {
        fleet_message ack{.kind = message_kind::ack,
                          .sequence = message.sequence,
                          .states = next_updates()};
        // Includes the sender's own state as known here, so that the sender can
        // refute a suspicion.
        auto const known = peers_.find(sender);
        if (known != peers_.end())
        {
            ack.states.push_back(known->second.state);
        }
        out.push_back({sender, std::move(ack)});
        break;
    }
    case message_kind::ack:
        if (auto const r = relays_.find(message.sequence); r != relays_.end())
        {
            out.push_back({r->second.requester,
                           {.kind = message_kind::ack,
                            .sequence = r->second.sequence,
                            .states = message.states}});
            relays_.erase(r);
        }
        probes_.erase(message.sequence);
        break;
    case message_kind::indirect_ping:
        relays_[++last_sequence_] = {sender, message.sequence, now};
        out.push_back({message.subject,
                       {.kind = message_kind::ping,
                        .sequence = last_sequence_,
                        .states = {self_}}});
        break;
    case message_kind::pull:
        answer_pull(sender, message, out);
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

void fleet_view::forgive_silence(time_point now)
{
    probes_.clear();
    for (auto& [ip, p] : peers_)
    {
        if (p.state.health == peer_health::suspect)
        {
            p.changed_at = now;
        }
    }
}

} // namespace kumquatramp::fleet
