// Age of the view according to each source of confirmation.
//
// Each source gives a time on this host's clock such that everything published
// before it is in force here. The latest of them determines the age.
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

// Earlier than any time that a clock returns; means that no event occurred.
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
        // Send time of the latest request that it answered.
        time_point answered_at = not_yet;
        // Send time of the latest request that it answered with equal stamps.
        time_point equal_stamps_at = not_yet;
    };

    host_name self;
    duration lifetime{};
    std::uint32_t member_count = 1;
    bool every_peer_votes = true;
    // Used unless every_peer_votes.
    std::unordered_set<host_name> voters;
    std::unordered_map<host_name, contact> contacts;

    // Latest contact with a peer that knew of nothing newer.
    time_point up_to_date_contact_at = not_yet;
    // Latest confirmation by the platform.
    time_point platform_confirmed_at = not_yet;
    // Latest time for which a peer confirmed the view.
    time_point peer_confirmed_at = not_yet;

    // Confirmations of platform requests sent earlier are ignored.
    time_point platform_valid_from = not_yet;

    // Derived by refresh() on each change, so that reading them is cheap.
    time_point confirmed_at = not_yet;
    time_point quorum_at = not_yet;

    bool is_voter(host_name const& host) const;
    std::size_t voter_count() const;
    std::size_t answers_needed() const;
    time_point platform_instant() const;
    time_point majority_instant(time_point contact::*instant) const;
    void refresh();
};

bool view_lease::state::is_voter(host_name const& host) const
{
    return every_peer_votes || voters.contains(host);
}

std::size_t view_lease::state::voter_count() const
{
    return every_peer_votes ? member_count : voters.size();
}

// Number of other voters that must answer for a majority.
std::size_t view_lease::state::answers_needed() const
{
    auto const majority = voter_count() / 2 + 1;
    return is_voter(self) ? majority - 1 : majority;
}

time_point view_lease::state::platform_instant() const
{
    return member_count > 1
               ? std::min(platform_confirmed_at, up_to_date_contact_at)
               : platform_confirmed_at;
}

// Returns the latest time t such that a majority of the voters, counting this
// host if it is one, answered requests sent at t or later. `instant` selects
// whether all answers count or only those with equal stamps. Returns not_yet
// for a host without peers: it cannot ask anyone, so that only the platform can
// confirm its view.
time_point
view_lease::state::majority_instant(time_point contact::*instant) const
{
    auto const needed = answers_needed();
    std::vector<time_point> latest;
    for (auto const& [host, item] : contacts)
    {
        if (is_voter(host))
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
    confirmed_at = std::max({platform_instant(), peer_confirmed_at,
                             majority_instant(&contact::equal_stamps_at)});
    quorum_at = majority_instant(&contact::answered_at);
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

void view_lease::confirm_by_platform(time_point request_time)
{
    std::lock_guard const guard(mutex_);
    if (request_time < state_->platform_valid_from)
    {
        return;
    }
    state_->platform_confirmed_at =
        std::max(state_->platform_confirmed_at, request_time);
    state_->refresh();
}

void view_lease::reject_platform(time_point now)
{
    std::lock_guard const guard(mutex_);
    state_->platform_valid_from = std::max(state_->platform_valid_from, now);
}

void view_lease::record_contact(host_name const& peer, time_point request_time,
                                bool knows_newer)
{
    std::lock_guard const guard(mutex_);
    if (peer == state_->self)
    {
        return;
    }
    if (!knows_newer)
    {
        state_->up_to_date_contact_at =
            std::max(state_->up_to_date_contact_at, request_time);
    }
    if (state_->is_voter(peer))
    {
        auto& contact_state = state_->contacts[peer];
        contact_state.answered_at =
            std::max(contact_state.answered_at, request_time);
    }
    state_->refresh();
}

void view_lease::confirm_by_peer(host_name const& peer, time_point request_time,
                                 duration age)
{
    record_contact(peer, request_time, false);
    std::lock_guard const guard(mutex_);
    if (peer == state_->self)
    {
        return;
    }
    if (state_->is_voter(peer))
    {
        auto& contact_state = state_->contacts[peer];
        contact_state.equal_stamps_at =
            std::max(contact_state.equal_stamps_at, request_time);
    }
    if (age != duration::max())
    {
        state_->peer_confirmed_at =
            std::max(state_->peer_confirmed_at,
                     request_time - std::max(age, duration::zero()));
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
    return age_of(state_->confirmed_at, now);
}

bool view_lease::in_quorum(time_point now) const
{
    std::lock_guard const guard(mutex_);
    if (state_->answers_needed() == 0)
    {
        return true;
    }
    return age_of(state_->quorum_at, now) <= state_->lifetime;
}

} // namespace kumquatramp
