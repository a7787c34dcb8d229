// Decides whether this host may send to a target while it is cold.
#ifndef KUMQUATRAMP_NODE_DETAILS_COLD_SEND_PERMISSION_HPP
#define KUMQUATRAMP_NODE_DETAILS_COLD_SEND_PERMISSION_HPP

#include <membership/steward_election.hpp>
#include <membership/view_lease.hpp>

namespace kumquatramp
{

/// Checked immediately before acting: a gate's bounds are only refreshed once
/// per round, and the process may have been stopped since. Thread-safe.
class cold_send_permission
{
public:
    cold_send_permission(view_lease const& lease,
                         steward_election const& stewards)
        : lease_(lease)
        , stewards_(stewards)
    {
    }

    /// Returns whether this host is the target's steward and holds a valid view
    /// lease in quorum.
    bool held(target_name const& target, time_point now) const
    {
        return lease_.valid(now) && lease_.in_quorum(now) &&
               stewards_.is_steward(target, now);
    }

private:
    view_lease const& lease_;
    steward_election const& stewards_;
};

} // namespace kumquatramp

#endif
