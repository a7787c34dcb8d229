// Time-limited permission to act on a view of the configuration.
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
/// view_lifetime and while it is in contact with its peers. Thread-safe.
///
/// A view is confirmed by any of:
/// - The platform, if it answered with the highest version known here.
/// - A peer with the same stamps. The view is then as old as the peer's.
/// - Equal stamps on a majority of the voters. This keeps the fleet serving
///   while no host can reach the platform.
///
/// Ages count from before the request was sent, so that a pause between request
/// and answer can only make the view older. The page docs/VIEW_LEASE.md
/// describes the conditions and trade-offs of each source.
class view_lease
{
public:
    view_lease(host_name self, membership_options const& options);
    ~view_lease();

    /// Sets the number of listed members, including the local host. Until
    /// set_voters() is called, every member is a voter.
    void set_members(std::uint32_t count, time_point now);

    /// Sets the hosts of which a majority can confirm the view; see
    /// choose_voters(). Earlier contacts with other hosts are discarded.
    void set_voters(std::span<host_name const> voters, time_point now);

    /// Records that the platform answered requests sent at `request_time` for
    /// every key, with the versions that are in force here.
    ///
    /// Unless this host is the only member, the view counts as confirmed at the
    /// earlier of `request_time` and the last contact with a peer that knew of
    /// nothing newer. A host without peer contact is assumed to be isolated,
    /// and a platform that does not return a version that a peer has is assumed
    /// to be stale.
    void confirm_by_platform(time_point request_time);

    /// Records that the platform answered with an older version than the one in
    /// force. A stale platform confirms nothing until it catches up:
    /// confirmations of requests sent before `now` are ignored. What it
    /// confirmed earlier remains and keeps ageing.
    void reject_platform(time_point now);

    /// Records that a peer answered a request sent at `request_time`.
    /// `knows_newer` says that one of its stamps is newer than the one in force
    /// here.
    void record_contact(host_name const& peer, time_point request_time,
                        bool knows_newer);

    /// Records that a booted peer with equal stamps answered a request sent at
    /// `request_time` and reported that its own view was `age` old. Includes
    /// record_contact().
    void confirm_by_peer(host_name const& peer, time_point request_time,
                         duration age);

    /// Whether this host may send new work.
    bool valid(time_point now) const;

    /// Returns the age of the view; duration::max() if it was never confirmed.
    duration age(time_point now) const;

    /// Whether a majority of the voters answered requests sent within
    /// view_lifetime, whatever their stamps. The local host counts if it is a
    /// voter. A steward must be in quorum without interruption.
    bool in_quorum(time_point now) const;

private:
    struct state;
    mutable std::mutex mutex_;
    std::unique_ptr<state> state_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
