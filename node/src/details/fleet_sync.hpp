// Keeps configuration, membership and the view lease in sync with the platform
// and the peers.
#ifndef KUMQUATRAMP_NODE_DETAILS_FLEET_SYNC_HPP
#define KUMQUATRAMP_NODE_DETAILS_FLEET_SYNC_HPP

#include "details/cold_send_permission.hpp"
#include "details/config_applier.hpp"
#include "details/grant_client.hpp"
#include "details/grant_issuer.hpp"
#include "details/platform_reader.hpp"
#include "details/warmth_gossip.hpp"
#include <config/platform_validator.hpp>
#include <membership/read_pacer.hpp>
#include <membership/shutdown_sequence.hpp>
#include <node/node_options.hpp>

namespace kumquatramp
{

/// Thread-safe. Event methods correspond to those of class node.
class fleet_sync
{
public:
    fleet_sync(node_options const& options, random_source& random,
               routing_view& routes, burn_rate_tracker& burn);

    void start(time_point now, action_list& out);
    void tick(time_point now, action_list& out);
    time_point next_tick(time_point now) const;

    void on_platform_value(config_key key, config_version version,
                           std::optional<std::string_view> text,
                           time_point asked, time_point now, action_list& out);
    void on_platform_failed(config_key key, time_point now);

    peer_digest on_peer_digest(peer_digest const& digest, time_point now,
                               action_list& out);
    void on_peer_answer(peer_digest const& digest, time_point asked,
                        time_point now, action_list& out);
    void on_config_update(host_name const& peer, config_update const& update,
                          time_point now, action_list& out);

    grant_answer on_grant_request(target_name const& target, time_point now);
    void on_grant_answer(member_entry const& peer, target_name const& target,
                         grant_answer const& answer, time_point asked,
                         time_point now);
    void on_grant_report(grant_report const& report, time_point now);

    grant_client& grants() noexcept { return grant_client_; }
    cold_send_permission const& permission() const noexcept
    {
        return permission_;
    }
    void shut_down(time_point now) { shutdown_.request(now); }
    bool booted(time_point now) const;
    bool leaving(time_point now) const;

    config_store const& store() const noexcept { return store_; }
    member_table const& members() const noexcept { return members_; }
    view_lease const& lease() const noexcept { return lease_; }
    target_registry const& registry() const noexcept { return registry_; }
    shutdown_sequence const& shutdown() const noexcept { return shutdown_; }

private:
    peer_digest make_digest(time_point now, bool answer);
    void merge_digest(peer_digest const& digest, time_point now,
                      action_list& out);
    bool peer_has_newer(peer_digest const& digest) const;
    void fetch_newer(peer_digest const& digest, action_list& out);
    bool has_all_values() const;
    bool reads_platform(time_point now) const;
    bool view_is_aging(time_point now) const;

    node_options const& options_;
    platform_validator const validator_;
    config_store store_;
    target_registry registry_;
    member_table members_;
    view_lease lease_;
    steward_election stewards_;
    cold_send_permission const permission_;
    shutdown_sequence shutdown_;
    routing_view& routes_;
    config_applier applier_;
    platform_reader reader_;
    read_pacer pacer_;
    warmth_gossip gossip_;
    grant_issuer grant_issuer_;
    grant_client grant_client_;

    mutable std::mutex mutex_;
    // All below are guarded by mutex_.
    time_point started_ = never;
    time_point next_round_ = never;
    // Whether a booted peer has had the same stamps as this host.
    bool synced_with_booted_peer_ = false;
};

} // namespace kumquatramp

#endif
