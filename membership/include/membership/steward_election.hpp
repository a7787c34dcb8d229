// Election of the host that may send to a cold target.
#ifndef KUMQUATRAMP_MEMBERSHIP_STEWARD_ELECTION_HPP
#define KUMQUATRAMP_MEMBERSHIP_STEWARD_ELECTION_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <config/member_entry.hpp>
#include <membership/membership_options.hpp>
#include <memory>
#include <mutex>
#include <span>

namespace kumquatramp
{

/// The steward of a target is the serving host with the highest rendezvous
/// weight for the target, once it has been that host for steward_hold_off
/// without interruption. Thread-safe.
///
/// A target never has two stewards at once, under these assumptions:
/// - A host acts as steward only while its lease is valid and
///   view_lease::in_quorum() holds.
/// - It calls reset() in each round in which either did not hold.
/// - The two hosts have the same voters.
/// - A voter's answer names every host that the voter has heard from within
///   suspicion_time. This holds for up to max_heartbeats members.
///
/// Proof: let h and g both be stewards at time t, and let h have the higher
/// weight, so that g has not seen h serving during the hold-off. h sent
/// requests to a majority of the voters in the period of length
/// view_lifetime + round that ends at t - view_lifetime - round, and g sent
/// requests to a majority after that period. At least one voter answered both,
/// h first, and so passed a heartbeat of h on to g that g had not seen. Then g
/// saw h serving, which contradicts the assumption.
///
/// A new incarnation starts a hold-off of its own and counts as serving from
/// its first heartbeat. Changes of the list are covered by the lease, since the
/// hold-off is longer than any lease under the previous list.
class steward_election
{
public:
    steward_election(host_name self, membership_options const& options);
    ~steward_election();

    /// Sets the serving hosts. Must be called in every round and on every
    /// change.
    void set_serving(std::span<member_entry const> serving, time_point now);

    /// Restarts the hold-off for all targets, after this host was isolated or
    /// paused.
    void reset(time_point now);

    /// Whether this host may warm the target now. The caller must also check
    /// that the view lease is valid and in quorum. Returns false if
    /// set_serving() was not called within view_lifetime; the hold-off then
    /// restarts.
    bool is_steward(target_name const& target, time_point now) const;

private:
    struct state;
    mutable std::mutex mutex_;
    std::unique_ptr<state> state_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
