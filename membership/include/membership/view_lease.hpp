// The right to act upon a view of the configuration, which ages.
#ifndef KUMQUATRAMP_MEMBERSHIP_VIEW_LEASE_HPP
#define KUMQUATRAMP_MEMBERSHIP_VIEW_LEASE_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <membership/membership_options.hpp>
#include <memory>
#include <mutex>
#include <span>

namespace kumquatramp
{

/// A host may send new work only while its view was confirmed within
/// view_lifetime, and only while it is in touch with its peers. Safe from
/// any thread.
///
/// Confirmed by: the platform, if it answered with the highest version known
/// here; a peer that has the same stamps, at the peer's own view age; or
/// equal stamps on a majority of the voters, which is what keeps the fleet
/// serving while the platform is down for all of it. Every age counts from
/// before the question was asked, so that a pause between question and
/// answer can only make the view older. Where each of these holds, and what
/// is given up, is on the page docs/VIEW_LEASE.md.
class view_lease
{
public:
    view_lease(host_name self, membership_options const& options);
    ~view_lease();

    /// The members of the list, the own host among them. Until
    /// set_voters() is called, every member is a voter.
    void set_members(std::uint32_t count, time_point now);

    /// The hosts of which a majority can confirm the view; see
    /// choose_voters(). Contacts with other hosts no longer count.
    void set_voters(std::span<host_name const> voters, time_point now);

    /// The platform answered a question asked at `asked`, for every key,
    /// with nothing newer or older than what is in force. It counts from the
    /// earlier of `asked` and the last contact with a peer that knew of
    /// nothing newer, unless this host is the only member: a host that hears
    /// nobody is taken to be the one that is cut off, and a platform that
    /// does not give what a peer has is taken to be stale.
    void confirm_by_platform(time_point asked);

    /// The platform answered with an older version than is in force: until
    /// it catches up its word counts for nothing. What it confirmed before
    /// goes on ageing. Confirmations asked before `now` no longer count.
    void reject_platform(time_point now);

    /// A peer answered a question asked at `asked`; `knows_newer` if one of
    /// its stamps is above the one in force here.
    void record_contact(host_name const& peer, time_point asked,
                        bool knows_newer);

    /// A booted peer with equal stamps answered a question asked at `asked`,
    /// saying that its own view was `age` old. Notes the contact as well.
    void confirm_by_peer(host_name const& peer, time_point asked, duration age);

    /// Whether this host may send new work.
    bool valid(time_point now) const;

    /// Age of the view; duration::max() if never confirmed.
    duration age(time_point now) const;

    /// Whether a majority of the voters, the own host counted if it is one,
    /// answered questions asked within view_lifetime, whatever their stamps.
    /// A steward must have been so without a break.
    bool in_quorum(time_point now) const;

private:
    struct state;
    mutable std::mutex mutex_;
    std::unique_ptr<state> state_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
