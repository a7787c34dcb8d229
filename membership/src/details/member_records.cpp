// Member records: the platform's list, received and sent heartbeats.
#include <algorithm>
#include <bit>
#include <details/member_records.hpp>
#include <membership/voters.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

// Limit for hosts that were heard of but are not listed; more are ignored.
constexpr std::size_t max_unlisted = 256;

// An update is sent first in this many digests for each doubling of the fleet's
// size.
constexpr std::uint32_t update_repeats_per_doubling = 3;

} // namespace

member_table::state::state(member_entry self, incarnation life,
                           membership_options const& options,
                           random_source& random)
    : self_(self.name)
    , options_(options)
    , scale_(compute_fleet_scale(options, 1))
    , random_(random)
    , own_heartbeat_{self.name, life, 0, false}
    , round_robin_cursor_(self.name)
    , reachable_peers_(self.name)
    , voting_peers_(self.name)
    , silent_peers_(self.name)
{
    members_.emplace(self_,
                     tracked_member{member_record(std::move(self), false)});
}

bool member_table::state::is_self(host_name const& name) const
{
    return name == self_;
}

liveness member_table::state::state_of(tracked_member const& member,
                                       time_point now) const
{
    auto const& entry = member.record.entry();
    if (is_self(entry.name))
    {
        return entry.leaving || own_heartbeat_.leaving ? liveness::leaving
                                                       : liveness::live;
    }
    return member.record.state(scale_.options, now);
}

void member_table::state::apply_list(std::span<member_entry const> list,
                                     time_point now)
{
    std::map<host_name, tracked_member> kept;
    for (auto const& entry : list)
    {
        auto known = members_.extract(entry.name);
        if (known.empty())
        {
            kept.emplace(entry.name,
                         tracked_member{member_record(entry, true)});
            continue;
        }
        known.mapped().record.set_entry(entry);
        kept.insert(std::move(known));
    }
    if (auto own = members_.extract(self_); !own.empty())
    {
        own.mapped().record.set_unlisted();
        kept.insert(std::move(own));
    }
    std::erase_if(members_, [&](auto const& pair)
                  { return pair.second.record.listed(); });
    kept.merge(members_);
    members_ = std::move(kept);
    voters_ = choose_voters(list);
    scale_ = compute_fleet_scale(options_, list.size());
    (void)now;
}

member_table::state::tracked_member*
member_table::state::find_or_add(host_name const& name, time_point now)
{
    if (auto const found = members_.find(name); found != members_.end())
    {
        return &found->second;
    }
    std::size_t unlisted = 0;
    for (auto& [other, member] : members_)
    {
        unlisted += member.record.listed() ? 0 : 1;
    }
    if (unlisted >= max_unlisted)
    {
        return nullptr;
    }
    member_entry entry;
    entry.name = name;
    auto const added = members_.emplace(
        name, tracked_member{member_record(std::move(entry), false)});
    (void)now;
    return &added.first->second;
}

void member_table::state::observe(heartbeat const& beat,
                                  member_record::source from, time_point now)
{
    if (is_self(beat.host))
    {
        return;
    }
    auto* const member = find_or_add(beat.host, now);
    if (member != nullptr &&
        member->record.observe(beat, from, scale_.options, now))
    {
        member->priority_sends_left = update_repeats();
    }
}

void member_table::state::merge(peer_digest const& digest, time_point now)
{
    for (auto const& beat : digest.heartbeats)
    {
        bool const self_reported =
            beat.host == digest.from && beat.life == digest.life;
        observe(beat,
                self_reported ? member_record::source::itself
                              : member_record::source::another,
                now);
    }
    std::erase_if(members_,
                  [&](auto const& pair)
                  {
                      auto const& record = pair.second.record;
                      return !record.listed() && !is_self(pair.first) &&
                             !record.heard_within(scale_.options.death_time,
                                                  now);
                  });
}

// Members whose heartbeat does not increase are not passed on, so that outdated
// heartbeats do not keep a dead host alive or revive it.
bool member_table::state::should_forward(tracked_member const& member,
                                         time_point now) const
{
    auto const& record = member.record;
    return record.listed() && record.has_incarnation() &&
           !is_self(record.entry().name) &&
           record.state(scale_.options, now) != liveness::dead;
}

std::uint32_t member_table::state::update_repeats() const
{
    auto const doublings = std::bit_width(members_.size());
    return update_repeats_per_doubling * static_cast<std::uint32_t>(doublings);
}

void member_table::state::add_updates(std::vector<heartbeat>& beats,
                                      std::size_t max_beats, time_point now)
{
    std::vector<tracked_member*> updates;
    for (auto& [name, member] : members_)
    {
        if (member.priority_sends_left > 0 && should_forward(member, now))
        {
            updates.push_back(&member);
        }
    }
    auto const urgency = [](tracked_member const* member) {
        return std::pair(member->record.leaving(), member->priority_sends_left);
    };
    std::stable_sort(updates.begin(), updates.end(),
                     [&](tracked_member const* a, tracked_member const* b)
                     { return urgency(a) > urgency(b); });
    for (auto* member : updates)
    {
        if (beats.size() >= max_beats)
        {
            return;
        }
        --member->priority_sends_left;
        beats.push_back(member->record.beat());
    }
}

void member_table::state::add_round_robin(std::vector<heartbeat>& beats,
                                          std::size_t max_beats, time_point now)
{
    std::vector<host_name> present;
    present.reserve(beats.size());
    for (auto const& beat : beats)
    {
        present.push_back(beat.host);
    }
    auto next = members_.upper_bound(round_robin_cursor_);
    for (std::size_t seen = 0; seen < members_.size(); ++seen, ++next)
    {
        if (beats.size() >= max_beats)
        {
            return;
        }
        if (next == members_.end())
        {
            next = members_.begin();
        }
        round_robin_cursor_ = next->first;
        bool const sent = std::find(present.begin(), present.end(),
                                    next->first) != present.end();
        if (!sent && should_forward(next->second, now))
        {
            beats.push_back(next->second.record.beat());
        }
    }
}

std::vector<heartbeat>
member_table::state::next_heartbeats(bool leaving, time_point now, bool answer)
{
    ++own_heartbeat_.count;
    own_heartbeat_.leaving = own_heartbeat_.leaving || leaving;
    auto const max_beats =
        answer ? scale_.heartbeats : scale_.request_heartbeats;
    std::vector<heartbeat> beats{own_heartbeat_};
    add_updates(beats, max_beats, now);
    add_round_robin(beats, max_beats, now);
    return beats;
}

std::vector<member_state> member_table::state::members(time_point now) const
{
    std::vector<member_state> all;
    for (auto const& [name, member] : members_)
    {
        if (!member.record.listed() && !is_self(name))
        {
            continue;
        }
        auto const life =
            is_self(name) ? own_heartbeat_.life : member.record.life();
        all.push_back({member.record.entry(), life, state_of(member, now)});
    }
    return all;
}

// A host that is not listed does not take part, since the others do not know
// it. Until a list is received, the local host is its own only member.
bool member_table::state::counts_as_member(host_name const& name,
                                           tracked_member const& member) const
{
    return member.record.listed() || (is_self(name) && voters_.empty());
}

std::vector<member_entry> member_table::state::serving(time_point now) const
{
    std::vector<member_entry> hosts;
    for (auto const& [name, member] : members_)
    {
        auto const state = state_of(member, now);
        bool const present = state == liveness::live ||
                             state == liveness::suspect ||
                             (state == liveness::unheard && scale_.large);
        if (present && counts_as_member(name, member))
        {
            hosts.push_back(member.record.entry());
        }
    }
    return hosts;
}

std::uint32_t member_table::state::host_count(time_point now) const
{
    std::uint32_t count = 0;
    for (auto const& [name, member] : members_)
    {
        auto const& record = member.record;
        bool const counts = record.listed() || is_self(name) ||
                            record.heard_within(scale_.options.death_time, now);
        count += counts ? 1 : 0;
    }
    return count;
}

std::optional<member_entry>
member_table::state::find(host_name const& name) const
{
    auto const found = members_.find(name);
    if (found == members_.end() ||
        (!found->second.record.listed() && !is_self(name)))
    {
        return std::nullopt;
    }
    return found->second.record.entry();
}

} // namespace kumquatramp
