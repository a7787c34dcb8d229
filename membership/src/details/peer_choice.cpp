// Selection of gossip peers and of each zone's platform readers.
#include <algorithm>
#include <base/rendezvous.hpp>
#include <details/member_records.hpp>
#include <functional>
#include <membership/voters.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr std::size_t urgent_fanout_factor = 2;

// Number of hosts that use the same parent in the zone's tree.
constexpr std::size_t zone_tree_branching_factor = 3;

bool contains(std::span<member_entry const> entries, host_name const& name)
{
    return std::any_of(entries.begin(), entries.end(),
                       [&](member_entry const& entry)
                       { return entry.name == name; });
}

} // namespace

// In a large fleet, heartbeats of most members arrive too rarely for the
// members to count as live, so that suspect and unheard members are included.
bool member_table::state::eligible_for_zone_order(tracked_member const& member,
                                                  time_point now) const
{
    auto const state = state_of(member, now);
    return state == liveness::live ||
           (scale_.large &&
            (state == liveness::suspect || state == liveness::unheard));
}

// The hosts of the local zone in rendezvous order; the first are its readers.
std::vector<host_name> member_table::state::zone_order(time_point now) const
{
    auto const& zone = members_.at(self_).record.entry().zone;
    std::vector<std::pair<std::uint64_t, host_name>> weighted;
    for (auto const& [name, member] : members_)
    {
        bool const present = member.record.listed() || is_self(name);
        if (present && member.record.entry().zone == zone &&
            eligible_for_zone_order(member, now))
        {
            weighted.emplace_back(rendezvous_weight(zone.value(), name.value()),
                                  name);
        }
    }
    std::sort(weighted.begin(), weighted.end(), std::greater{});
    std::vector<host_name> order;
    order.reserve(weighted.size());
    for (auto& [weight, name] : weighted)
    {
        order.push_back(std::move(name));
    }
    return order;
}

std::vector<host_name> member_table::state::zone_readers(time_point now) const
{
    auto order = zone_order(now);
    order.resize(
        std::min<std::size_t>(order.size(), options_.readers_per_zone));
    return order;
}

bool member_table::state::is_reader(time_point now) const
{
    auto const chosen = zone_readers(now);
    return std::find(chosen.begin(), chosen.end(), self_) != chosen.end();
}

std::vector<member_entry> member_table::state::readers(time_point now) const
{
    std::vector<member_entry> entries;
    for (auto const& name : zone_readers(now))
    {
        if (!is_self(name))
        {
            entries.push_back(members_.at(name).record.entry());
        }
    }
    return entries;
}

std::vector<host_name> member_table::state::names() const
{
    std::vector<host_name> names;
    names.reserve(members_.size());
    for (auto const& [name, member] : members_)
    {
        names.push_back(name);
    }
    return names;
}

// Whether a listed member is dead or unheard. In a large fleet, unheard members
// are not silent, since heartbeats of most members arrive rarely.
bool member_table::state::is_silent(host_name const& name, time_point now) const
{
    auto const found = members_.find(name);
    if (is_self(name) || found == members_.end() ||
        !found->second.record.listed())
    {
        return false;
    }
    auto const state = state_of(found->second, now);
    return state == liveness::dead ||
           (state == liveness::unheard && !scale_.large);
}

bool member_table::state::is_reachable(host_name const& name,
                                       time_point now) const
{
    auto const found = members_.find(name);
    return !is_self(name) && found != members_.end() &&
           found->second.record.listed() && !is_silent(name, now);
}

void member_table::state::add_peer(std::vector<member_entry>& peers,
                                   std::optional<host_name> const& name) const
{
    if (name && !contains(peers, *name))
    {
        peers.push_back(members_.at(*name).record.entry());
    }
}

// The hosts of a zone form a tree with its readers at the top, so that a
// reader's load does not grow with the zone. A host selects at random between
// its parent and the parent's neighbour, so that a parent that just failed
// affects only half of its rounds.
void member_table::state::add_upstream(std::vector<member_entry>& peers,
                                       time_point now)
{
    auto const order = zone_order(now);
    auto const own = static_cast<std::size_t>(
        std::find(order.begin(), order.end(), self_) - order.begin());
    std::size_t const readers = options_.readers_per_zone;
    if (own < readers || own == order.size())
    {
        return;
    }
    auto const parent = (own - readers) / zone_tree_branching_factor;
    auto const other = std::min(parent ^ 1U, own - 1);
    add_peer(peers, order[random_.below(2) == 0 ? parent : other]);
}

void member_table::state::add_from_rotations(std::vector<member_entry>& peers,
                                             std::size_t count,
                                             bool voters_first, time_point now)
{
    auto const wanted = [&](host_name const& name)
    { return is_reachable(name, now) && !contains(peers, name); };
    if (voters_first)
    {
        while (peers.size() < count)
        {
            auto const name =
                voting_peers_.next([&] { return voters_; }, wanted);
            if (!name)
            {
                break;
            }
            add_peer(peers, name);
        }
    }
    while (peers.size() < count)
    {
        auto const name =
            reachable_peers_.next([&] { return names(); }, wanted);
        if (!name)
        {
            break;
        }
        add_peer(peers, name);
    }
}

// Adds a silent member, to detect healed partitions and new hosts.
void member_table::state::add_probe(std::vector<member_entry>& peers,
                                    time_point now)
{
    auto const wanted = [&](host_name const& name)
    { return is_silent(name, now) && !contains(peers, name); };
    add_peer(peers, silent_peers_.next([&] { return names(); }, wanted));
}

std::vector<member_entry> member_table::state::pick_peers(time_point now,
                                                          bool urgent)
{
    std::vector<member_entry> peers;
    add_upstream(peers, now);
    ++rounds_;
    bool const asks_voters =
        urgent && (voters_.size() < max_voters || is_reader(now));
    auto count = peers.size();
    if (asks_voters)
    {
        count += options_.fanout * urgent_fanout_factor;
    }
    else if (peers.empty() || (urgent && !scale_.large) ||
             rounds_ % scale_.rotation_interval_rounds == 0)
    {
        count += scale_.rotation_peers;
    }
    add_from_rotations(peers, count, asks_voters, now);
    if (rounds_ % scale_.probe_interval_rounds == 0 || peers.empty())
    {
        add_probe(peers, now);
    }
    // A host with too few reachable members contacts silent members instead.
    while (peers.size() < count)
    {
        auto const before = peers.size();
        add_probe(peers, now);
        if (peers.size() == before)
        {
            break;
        }
    }
    return peers;
}

} // namespace kumquatramp
