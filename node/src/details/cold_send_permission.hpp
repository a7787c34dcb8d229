// The right to send to a target while it is cold.
#ifndef KUMQUATRAMP_NODE_DETAILS_COLD_SEND_PERMISSION_HPP
#define KUMQUATRAMP_NODE_DETAILS_COLD_SEND_PERMISSION_HPP

#include <membership/steward_election.hpp>
#include <membership/view_lease.hpp>

namespace kumquatramp
{

/// Asked at the moment of acting: a gate's bounds are as old as the last
/// round, and the process may have been stopped since. Safe from any thread.
class cold_send_permission
{
public:
    cold_send_permission(view_lease const& lease,
                         steward_election const& stewards)
        : lease_(lease)
        , stewards_(stewards)
    {
    }

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
