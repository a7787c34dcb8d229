// Applies accepted configuration to the running node.
#ifndef KUMQUATRAMP_NODE_DETAILS_CONFIG_APPLIER_HPP
#define KUMQUATRAMP_NODE_DETAILS_CONFIG_APPLIER_HPP

#include "details/cold_send_permission.hpp"
#include "details/routing_view.hpp"
#include <base/time.hpp>
#include <burn/burn_rate_tracker.hpp>
#include <config/config_store.hpp>
#include <membership/member_table.hpp>
#include <membership/steward_election.hpp>
#include <membership/view_lease.hpp>
#include <mutex>
#include <node/actions.hpp>
#include <routing/target_registry.hpp>
#include <unordered_map>

namespace kumquatramp
{

/// Rebuilds routes when values change, and sets the bounds of each gate.
/// Thread-safe.
class config_applier
{
public:
    config_applier(zone_name zone, config_store const& store,
                   routing_view& routes, target_registry& registry,
                   member_table& members, view_lease& lease,
                   steward_election& stewards,
                   cold_send_permission const& permission,
                   burn_rate_tracker& burn);

    /// Applies the values that the store holds now; does nothing if they are
    /// unchanged. The store must hold a value of every key.
    void apply(time_point now, action_list& out);

    /// Recomputes the gates' bounds from membership, view lease and the ramps
    /// of returning availability zones.
    void refresh_bounds(time_point now, action_list& out);

private:
    void apply_members(time_point now);
    void update_connections(replica const& target, action_list& out);
    void track_zone_drains(ruleset const& rules, routing_table const& table,
                           time_point now);
    double zone_share(zone_name const& zone, duration ramp,
                      time_point now) const;

    zone_name const zone_;
    config_store const& store_;
    routing_view& routes_;
    target_registry& registry_;
    member_table& members_;
    view_lease& lease_;
    steward_election& stewards_;
    cold_send_permission const& permission_;
    burn_rate_tracker& burn_;

    std::mutex mutex_; // serializes changes
    // All below are guarded by mutex_.
    std::vector<keyed_stamp> applied_;
    std::unordered_map<zone_name, bool> zone_drained_;
    std::unordered_map<zone_name, time_point> zone_returned_;
    std::unordered_map<target_name, std::uint32_t> sent_connections_;
};

} // namespace kumquatramp

#endif
