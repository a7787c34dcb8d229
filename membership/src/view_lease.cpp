// Ages of the view by each source of confirmation.
//
// Each source gives an instant, on this host's own time line, such that all
// that was published before it is in force here. The latest one counts.
#include <algorithm>
#include <functional>
#include <membership/view_lease.hpp>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace kumquatramp
{

namespace
{

// Before every instant that a clock gives; means "not yet".
constexpr time_point not_yet = time_point::min();

duration age_of(time_point instant, time_point now)
{
    if (instant == not_yet)
    {
        return duration::max();
    }
    return std::max(now - instant, duration::zero());
}

} // namespace

struct view_lease::state
{
    struct contact
    {
        time_point heard = not_yet; // latest question that it answered
        time_point equal = not_yet; // the same, with equal stamps
    };

    host_name self;
    duration lifetime{};
    std::uint32_t member_count = 1;
    bool every_peer_votes = true;
    std::unordered_set<host_name> voters; // if not every peer votes
    std::unordered_map<host_name, contact> contacts;

    time_point heard = not_yet;    // latest contact that knew nothing newer
    time_point platform = not_yet; // latest confirmation by the platform
    time_point peers = not_yet;    // latest instant confirmed by a peer

    time_point platform_floor = not_yet; // questions asked earlier are void

    // Derived by refresh() at each change, so that reading them is cheap.
    time_point confirmed = not_yet;
    time_point quorum = not_yet;

    bool votes(host_name const& host) const;
    std::size_t voter_count() const;
    std::size_t answers_needed() const;
    time_point by_platform() const;
    time_point by_majority(time_point contact::*instant) const;
    void refresh();
};

bool view_lease::state::votes(host_name const& host) const
{
    return every_peer_votes || voters.contains(host);
}

std::size_t view_lease::state::voter_count() const
{
    return every_peer_votes ? member_count : voters.size();
}

// Voters other than this host that make up a majority with it.
std::size_t view_lease::state::answers_needed() const
{
    auto const majority = voter_count() / 2 + 1;
    return votes(self) ? majority - 1 : majority;
}

time_point view_lease::state::by_platform() const
{
    return member_count > 1 ? std::min(platform, heard) : platform;
}

// The earliest instant of the latest ones that make up a majority. A host
// that is alone has nobody to ask and is confirmed by the platform only.
time_point view_lease::state::by_majority(time_point contact::*instant) const
{
    auto const needed = answers_needed();
    std::vector<time_point> latest;
    for (auto const& [host, item] : contacts)
    {
        if (votes(host))
        {
            latest.push_back(item.*instant);
        }
    }
    if (needed == 0 || latest.size() < needed)
    {
        return not_yet;
    }
    auto const last = latest.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(latest.begin(), last, latest.end(), std::greater{});
    return *last;
}

void view_lease::state::refresh()
{
    confirmed = std::max({by_platform(), peers, by_majority(&contact::equal)});
    quorum = by_majority(&contact::heard);
}

view_lease::view_lease(host_name self, membership_options const& options)
    : state_(std::make_unique<state>())
{
    state_->self = std::move(self);
    state_->lifetime = options.view_lifetime;
}

view_lease::~view_lease() = default;

void view_lease::set_members(std::uint32_t count, time_point /*now*/)
{
    std::lock_guard const guard(mutex_);
    state_->member_count = std::max<std::uint32_t>(count, 1);
    state_->refresh();
}

void view_lease::set_voters(std::span<host_name const> voters,
                            time_point /*now*/)
{
    std::lock_guard const guard(mutex_);
    state_->every_peer_votes = false;
    state_->voters = {voters.begin(), voters.end()};
    std::erase_if(state_->contacts, [&](auto const& item)
                  { return !state_->voters.contains(item.first); });
    state_->refresh();
}

void view_lease::confirm_by_platform(time_point asked)
{
    std::lock_guard const guard(mutex_);
    if (asked < state_->platform_floor)
    {
        return;
    }
    state_->platform = std::max(state_->platform, asked);
    state_->refresh();
}

void view_lease::reject_platform(time_point now)
{
    std::lock_guard const guard(mutex_);
    state_->platform_floor = std::max(state_->platform_floor, now);
}

void view_lease::record_contact(host_name const& peer, time_point asked,
                                bool knows_newer)
{
    std::lock_guard const guard(mutex_);
    if (peer == state_->self)
    {
        return;
    }
    if (!knows_newer)
    {
        state_->heard = std::max(state_->heard, asked);
    }
    if (state_->votes(peer))
    {
        auto& known = state_->contacts[peer];
        known.heard = std::max(known.heard, asked);
    }
    state_->refresh();
}

void view_lease::confirm_by_peer(host_name const& peer, time_point asked,
                                 duration age)
{
    record_contact(peer, asked, false);
    std::lock_guard const guard(mutex_);
    if (peer == state_->self)
    {
        return;
    }
    if (state_->votes(peer))
    {
        auto& known = state_->contacts[peer];
        known.equal = std::max(known.equal, asked);
    }
    if (age != duration::max())
    {
        state_->peers =
            std::max(state_->peers, asked - std::max(age, duration::zero()));
    }
    state_->refresh();
}

bool view_lease::valid(time_point now) const
{
    return age(now) <= state_->lifetime;
}

duration view_lease::age(time_point now) const
{
    std::lock_guard const guard(mutex_);
    return age_of(state_->confirmed, now);
}

bool view_lease::in_quorum(time_point now) const
{
    std::lock_guard const guard(mutex_);
    if (state_->answers_needed() == 0)
    {
        return true;
    }
    return age_of(state_->quorum, now) <= state_->lifetime;
}

} // namespace kumquatramp
